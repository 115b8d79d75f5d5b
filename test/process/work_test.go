package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/test/standin"
)

// urgentStartBound is the users' bound on the time until urgent work starts.
const urgentStartBound = 1600 * time.Millisecond

const workDocument = `team: kita
share: 1
upper_limit: 6
queues:
  - name: proofs
    pool: renderers
    class: urgent
    max_queued: 500
  - name: plates
    pool: renderers
    class: long
`

// workCluster starts daemons in the zones given, one target of 8 slots in each
// zone, and a team with an upper limit of 6.
func workCluster(t *testing.T, zones []string) (*cluster, []*standin.Target) {
	t.Helper()
	c := startCluster(t, zones, false)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", workDocument)
	var targets []*standin.Target
	seen := make(map[string]bool)
	for _, zone := range zones {
		if !seen[zone] {
			seen[zone] = true
			targets = append(targets, c.startTarget(standin.Config{VM: "renderer-" + zone, Pool: "renderers", Zone: zone, Slots: 8}))
		}
	}
	for _, n := range c.nodes {
		c.eventuallyServes(n, "proofs", "kita", inForceBound)
	}
	return c, targets
}

// peakRunning returns the greatest number of runs at the same time over all
// targets.
func peakRunning(targets []*standin.Target) int {
	type change struct {
		at int64
		by int
	}
	var changes []change
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			changes = append(changes, change{run.Started, 1})
			if run.Ended != 0 {
				changes = append(changes, change{run.Ended, -1})
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.by - b.by
	})
	now, peak := 0, 0
	for _, c := range changes {
		now += c.by
		peak = max(peak, now)
	}
	return peak
}

// flood sends requests from the callers to a node until ctx ends and counts those
// answered.
func (c *cluster) flood(ctx context.Context, n *node, callers int, answered *atomic.Int64) *sync.WaitGroup {
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				got, err := c.call(call, n, http.MethodPost, "/v1/queues/proofs/requests", "kita",
					map[string]string{"Sapphirering-Deadline-Ms": "2000"}, []byte(`{"work_ms":60}`))
				cancel()
				if err == nil && got.status == http.StatusOK {
					answered.Add(1)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return &done
}

// TestWorkUpperLimit floods every entry VM with the requests of one team that has
// jobs as well, while an entry VM and the leader are killed and restarted: the
// targets never run more at once than the upper limit.
func TestWorkUpperLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := workCluster(t, []string{"a", "a", "b", "b", "c"})
	c.waitVoters(c.nodes[0], 5)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := make([]atomic.Int64, len(c.nodes))
	var floods []*sync.WaitGroup
	for i, n := range c.nodes {
		floods = append(floods, c.flood(ctx, n, 8, &counts[i]))
	}
	for range 10 {
		c.call(ctx, c.nodes[0], http.MethodPost, "/v1/queues/plates/jobs", "kita", nil, []byte(`{"work_ms":300}`))
	}
	time.Sleep(2 * time.Second)
	leader := c.leader(c.nodes[4])
	restarted := c.nodes[1]
	if restarted == leader {
		restarted = c.nodes[2]
	}
	restarted.kill()
	restarted.start(false)
	time.Sleep(time.Second)
	leader.kill()
	leader.start(false)
	time.Sleep(4 * time.Second)
	before := int64(0)
	for i := range counts {
		before += counts[i].Load()
	}
	time.Sleep(2 * time.Second)
	cancel()
	after := int64(0)
	for i := range counts {
		floods[i].Wait()
		after += counts[i].Load()
	}
	t.Logf("answered %d, peak at the targets %d of 6", after, peakRunning(targets))
	is.True(peakRunning(targets) <= 6)
	is.True(peakRunning(targets) >= 4) // the flood came close to the limit
	is.True(after > before)            // requests were answered after the failures
}

// TestWorkJobsSurvive kills two voters that drive running tasks at the same time,
// after jobs were acknowledged: each job ends, and those not repeatable run at
// most once.
func TestWorkJobsSurvive(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := workCluster(t, []string{"a", "a", "b", "b", "c"})
	c.waitVoters(c.nodes[0], 5)
	var jobs []string
	once := make(map[string]bool)
	for i := range 40 {
		repeatable := "yes"
		if i%4 == 0 {
			repeatable = "no"
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		got, err := c.call(ctx, c.nodes[i%5], http.MethodPost, "/v1/queues/plates/jobs", "kita",
			map[string]string{"Sapphirering-Repeatable": repeatable}, []byte(`{"work_ms":700}`))
		cancel()
		if err != nil || got.status != http.StatusCreated {
			continue
		}
		var job struct{ ID string }
		is.NoErr(json.Unmarshal(got.body, &job))
		jobs = append(jobs, job.ID)
		once[job.ID] = repeatable == "no"
	}
	is.True(len(jobs) >= 30)
	eventually(t, 10*time.Second, "jobs run", func() error {
		if running := tasksRunning(targets); running < 4 {
			return fmt.Errorf("%d run", running)
		}
		return nil
	})
	// The first entry VM of a zone drives the tasks of its targets; the second
	// one stays alive to take them over.
	leader := c.leader(c.nodes[4])
	t.Logf("killed while %d tasks run; leader %s", tasksRunning(targets), leader.name)
	c.nodes[0].kill()
	c.nodes[2].kill()
	states := make(map[string]int)
	eventually(t, 25*time.Second, "every acknowledged job ends", func() error {
		clear(states)
		for _, id := range jobs {
			got, err := c.call(context.Background(), c.nodes[4], http.MethodGet, "/v1/jobs/"+id, "kita", nil, nil)
			if err != nil {
				return err
			}
			var job struct{ State, Reason string }
			if err := json.Unmarshal(got.body, &job); err != nil {
				return err
			}
			states[job.State]++
			if job.State == "queued" || job.State == "running" || job.State == "" {
				return fmt.Errorf("job %s is %q: %s", id, job.State, job.Reason)
			}
		}
		return nil
	})
	runs := make(map[string]int)
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			runs[run.RequestID]++
		}
	}
	for _, id := range jobs {
		if once[id] {
			is.True(runs[id] <= 1) // not repeatable
		}
	}
	t.Logf("%d jobs acknowledged: %v", len(jobs), states)
	is.True(peakRunning(targets) <= 6)
}

// jobState reads a job through a node and returns its state and the VMs of its
// attempts.
func (c *cluster) jobState(n *node, id string) (state string, vms []string, err error) {
	got, err := c.call(context.Background(), n, http.MethodGet, "/v1/jobs/"+id, "kita", nil, nil)
	if err != nil {
		return "", nil, err
	}
	var job struct {
		State    string
		Attempts []struct{ VM string }
	}
	if err := json.Unmarshal(got.body, &job); err != nil {
		return "", nil, err
	}
	for _, a := range job.Attempts {
		vms = append(vms, a.VM)
	}
	return job.State, vms, nil
}

func (c *cluster) submitJob(n *node, body string) string {
	c.t.Helper()
	got, err := c.call(context.Background(), n, http.MethodPost, "/v1/queues/plates/jobs", "kita", nil, []byte(body))
	if err != nil || got.status != http.StatusCreated {
		c.t.Fatalf("submit job: status %d: %s: %v", got.status, got.body, err)
	}
	var job struct{ ID string }
	if err := json.Unmarshal(got.body, &job); err != nil {
		c.t.Fatal(err)
	}
	return job.ID
}

func (c *cluster) waitJob(n *node, id, state string, within time.Duration) []string {
	c.t.Helper()
	var vms []string
	eventually(c.t, within, "job is "+state, func() error {
		got, attemptVMs, err := c.jobState(n, id)
		vms = attemptVMs
		if err == nil && got != state {
			err = fmt.Errorf("job is %s", got)
		}
		return err
	})
	return vms
}

// TestWorkCancelAndUrgent measures when urgent work starts while another entry VM
// uses the whole limit, cancels a batch of jobs, and measures urgent starts again
// while long jobs fill the limit.
func TestWorkCancelAndUrgent(t *testing.T) {
	is := is.New(t)
	c, targets := workCluster(t, []string{"a", "b", "c"})

	worstWhileFlooded := c.urgentWhileFlooded(c.nodes[0], c.nodes[1])
	t.Logf("worst of 9 urgent starts while another entry VM uses the whole limit: %s", worstWhileFlooded)
	is.True(worstWhileFlooded < urgentStartBound)

	var batch []string
	for range 100 {
		batch = append(batch, c.submitJob(c.nodes[0], `{"work_ms":400}`))
	}
	body, err := json.Marshal(map[string][]string{"jobs": batch})
	is.NoErr(err)
	got, err := c.call(context.Background(), c.nodes[1], http.MethodPost, "/v1/jobs/cancel", "kita", nil, body)
	is.NoErr(err)
	is.Equal(got.status, http.StatusAccepted)
	eventually(t, 10*time.Second, "every job of the batch is cancelled or done", func() error {
		for _, id := range batch {
			state, _, err := c.jobState(c.nodes[2], id)
			if err != nil || state != "cancelled" && state != "done" {
				return fmt.Errorf("job %s is %s: %v", id, state, err)
			}
		}
		return nil
	})
	got, err = c.call(context.Background(), c.nodes[2], http.MethodGet, "/v1/jobs?state=cancelled", "kita", nil, nil)
	is.NoErr(err)
	var list struct{ Jobs []struct{ ID string } }
	is.NoErr(json.Unmarshal(got.body, &list))
	is.True(len(list.Jobs) > 50) // most of the batch was cancelled before it ran

	for range 12 {
		c.submitJob(c.nodes[0], `{"work_ms":20000}`)
	}
	eventually(t, 10*time.Second, "long jobs fill their part of the limit", func() error {
		if running := tasksRunning(targets); running < 4 {
			return fmt.Errorf("%d run", running)
		}
		return nil
	})
	worst := time.Duration(0)
	for i := range 9 {
		started := time.Now()
		got, err := c.call(context.Background(), c.nodes[i%3], http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte(`{"work_ms":1}`))
		is.NoErr(err)
		is.Equal(got.status, http.StatusOK)
		worst = max(worst, time.Since(started))
	}
	t.Logf("worst of 9 urgent starts under a full limit: %s", worst)
	is.True(worst < urgentStartBound)
	is.True(peakRunning(targets) <= 6)
	out := c.mustTool(c.nodes[1], "explain", "team", "kita")
	is.True(len(out) > 0)
}

// urgentWhileFlooded sends urgent requests to one entry VM while another one uses
// the whole limit. Between requests it pauses, so that the entry VM returns its
// units. It returns the longest time to an answer.
func (c *cluster) urgentWhileFlooded(flooded, other *node) time.Duration {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var answered atomic.Int64
	done := c.flood(ctx, flooded, 16, &answered)
	defer func() {
		cancel()
		done.Wait()
	}()
	time.Sleep(time.Second)
	worst := time.Duration(0)
	for range 9 {
		started := time.Now()
		got, err := c.call(ctx, other, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte(`{"work_ms":1}`))
		if err != nil || got.status != http.StatusOK {
			c.t.Fatalf("urgent request: status %d: %s: %v", got.status, got.body, err)
		}
		worst = max(worst, time.Since(started))
		time.Sleep(400 * time.Millisecond)
	}
	return worst
}

func tasksRunning(targets []*standin.Target) int {
	running := 0
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			if run.Task && run.Ended == 0 {
				running++
			}
		}
	}
	return running
}

// TestWorkFailingWorkers submits a job that fails at every target: it is parked
// after attempts at different targets, and the tool explains it.
func TestWorkFailingWorkers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a"}, false)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", workDocument)
	for i := range 3 {
		c.startTarget(standin.Config{VM: fmt.Sprintf("broken-%d", i), Pool: "renderers", Zone: "a", Slots: 4, FailAll: true})
	}
	id := c.submitJob(c.nodes[0], `{"work_ms":5}`)
	vms := c.waitJob(c.nodes[0], id, "parked", 15*time.Second)
	slices.Sort(vms)
	is.Equal(vms, []string{"broken-0", "broken-1", "broken-2"})
	out := c.mustTool(c.nodes[0], "explain", "job", id)
	t.Log(out)
	is.True(len(out) > 0)
}
