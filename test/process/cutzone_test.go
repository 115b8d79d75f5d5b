package process

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/entry"
	"sapphirering/test/standin"
)

// With this document the entry VMs keep a quarter of the upper limit for a cut: 4
// of 16 units, spread over 3 entry VMs.
const openQueueDocument = `team: desk
share: 1
upper_limit: 16
queues:
  - {name: walk-in, pool: renderers, class: urgent, open: true, max_deadline_ms: 5000}
  - {name: by-key, pool: renderers, class: urgent, max_deadline_ms: 5000}
`

const (
	deskLimit   = 16
	cutDuration = 8 * time.Second
	cutRequests = 20
)

// TestOpenQueueGoesOnInCutZone cuts an availability zone off for longer than its
// lease: its open queue keeps serving within the kept part, keyed work is refused
// as not run, and the upper limit holds over both sides of the cut.
func TestOpenQueueGoesOnInCutZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, true)
	c.waitVoters(c.nodes[0], 3)
	c.mustTool(c.nodes[0], "pool", "create", "-wait", "renderers")
	c.addTeam(c.nodes[0], "desk", openQueueDocument)
	var targets []*standin.Target
	for _, zone := range []string{"a", "b", "c"} {
		targets = append(targets, c.startTarget(standin.Config{
			VM: "renderer-" + zone, Pool: "renderers", Zone: zone, Slots: 16, Work: 20 * time.Millisecond,
		}))
	}
	cut := c.nodes[2]
	eventually(t, inForceBound, "the entry VM keeps a part of the limit", func() error {
		out, err := c.tool(c.nodes[0], "explain", "team", "desk")
		if err == nil && !strings.Contains(out, "VM "+cut.name+" keeps") {
			err = fmt.Errorf("no kept part: %s", out)
		}
		return err
	})
	for _, n := range c.nodes {
		c.eventuallyServes(n, "walk-in", "", inForceBound)
	}
	c.links.setCut(cut.name, true)
	time.Sleep(cutDuration)
	for i := range cutRequests {
		body := []byte(fmt.Sprintf("walk-in %d", i))
		got, err := c.call(context.Background(), cut, http.MethodPost, "/v1/queues/walk-in/requests", "", nil, body)
		is.NoErr(err)
		is.Equal(got.outcome, entry.OutcomeAnswered) // the open queue still serves in the cut zone
		is.Equal(string(got.body), standin.Digest(got.id, body))
		got, err = c.call(context.Background(), cut, http.MethodPost, "/v1/queues/by-key/requests", "desk", nil, body)
		is.NoErr(err)
		is.Equal(got.outcome, entry.OutcomeNotRun) // the cut entry VM cannot check a key
		is.Equal(countRuns(targets, got.id), 0)
	}
	c.eventuallyServes(c.nodes[0], "by-key", "desk", inForceBound)
	c.links.setCut(cut.name, false)
	c.eventuallyServes(cut, "by-key", "desk", inForceBound)
	var runs []standin.Run
	for _, target := range targets {
		runs = append(runs, target.Record().Runs...)
	}
	is.True(mostAtOnce(runs) <= deskLimit)
}
