package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/test/standin"
)

const kitaDocument = `team: kita
share: 1
upper_limit: 8
queues:
  - name: proofs
    pool: renderers
    class: urgent
  - name: plates
    pool: renderers
    class: long
`

// TestWholePath serves one request and one job through three daemons in three
// availability zones; the target is in one of them only.
func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	first := c.nodes[0]
	c.mustTool(first, "pool", "create", "renderers")
	c.addTeam(first, "kita", kitaDocument)
	target := c.startTarget(standin.Config{VM: "renderer-1", Pool: "renderers", Zone: "a", Slots: 4, Work: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, n := range c.nodes {
		body := []byte("proof for " + n.name)
		var got answer
		eventually(t, 10*time.Second, "request through "+n.name, func() error {
			var err error
			got, err = c.call(ctx, n, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, body)
			if err == nil && got.status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", got.status, got.body)
			}
			return err
		})
		is.Equal(string(got.body), standin.Digest(got.id, body)) // the answer belongs to the request
	}
	got, err := c.call(ctx, c.nodes[1], http.MethodPost, "/v1/queues/plates/jobs", "kita", nil, []byte(`{"work_ms":100}`))
	is.NoErr(err)
	is.Equal(got.status, http.StatusCreated)
	var job struct{ ID, State string }
	is.NoErr(json.Unmarshal(got.body, &job))
	eventually(t, 20*time.Second, "the job is done", func() error {
		got, err := c.call(ctx, c.nodes[2], http.MethodGet, "/v1/jobs/"+job.ID, "kita", nil, nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(got.body, &job); err != nil {
			return err
		}
		if job.State != "done" {
			return fmt.Errorf("job is %s", job.State)
		}
		return nil
	})
	runs := 0
	for _, run := range target.Record().Runs {
		if run.RequestID == job.ID {
			runs++
		}
	}
	is.Equal(runs, 1)
}
