package process

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/entry"
	"sapphirering/test/standin"
)

const requestLimit = 12

const requestDocument = `team: kita
share: 1
upper_limit: 12
queues:
  - name: proofs
    pool: renderers
    class: urgent
  - name: walkin
    pool: renderers
    class: normal
    open: true
`

// startServing starts a daemon and a target in each of three zones and waits until
// every entry VM serves.
func startServing(t *testing.T, cuttable bool) (*cluster, []*standin.Target) {
	t.Helper()
	c := startCluster(t, []string{"a", "b", "c"}, cuttable)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", requestDocument)
	c.waitVoters(c.nodes[0], 3)
	var targets []*standin.Target
	for _, zone := range []string{"a", "b", "c"} {
		targets = append(targets, c.startTarget(standin.Config{VM: "renderer-" + zone, Pool: "renderers", Zone: zone, Slots: 6}))
	}
	for _, n := range c.nodes {
		c.eventuallyServes(n, "proofs", "kita", inForceBound)
	}
	return c, targets
}

// waitAnswers waits until callers have received count answers, so that a failure
// caused next hits running requests.
func (l *loadGenerator) waitAnswers(count int) {
	l.c.t.Helper()
	eventually(l.c.t, inForceBound, fmt.Sprintf("%d answers", count), func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if got := totals(l.counts).answers; got < count {
			return fmt.Errorf("%d answers", got)
		}
		return nil
	})
}

// answers returns how many answers callers have received so far.
func (l *loadGenerator) answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return totals(l.counts).answers
}

// TestRequestShutdownCutsNothing sends SIGTERM to every daemon in turn under load
// and restarts it: no request is cut off or refused.
func TestRequestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := startServing(t, false)
	load := newLoadGenerator(c, "proofs", "kita")
	load.workMS = 100
	stop := load.run(8)
	for _, n := range c.nodes {
		load.waitAnswers(load.answers() + 20)
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not exit", n.name)
		}
		is.Equal(n.cmd.ProcessState.ExitCode(), 0)
		n.start(false)
		n.waitReady()
		c.eventuallyServes(n, "proofs", "kita", inForceBound)
	}
	sum := totals(stop())
	load.audit(t, targets, requestLimit)
	is.Equal(sum.broken, 0) // no request in flight is cut
	is.Equal(sum.other, 0)
	is.Equal(sum.notRun, 0) // the balancer stopped sending before requests were refused
}

// TestRequestOnceThroughKills sends requests that may run only once, and resends
// them through all entry VMs, while an entry VM and a target are killed.
func TestRequestOnceThroughKills(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := startServing(t, false)
	load := newLoadGenerator(c, "proofs", "kita")
	load.repeatable, load.resend, load.workMS = false, true, 50
	stop := load.run(8)
	load.waitAnswers(20)
	leader := c.leader(c.nodes[0])
	leader.kill()
	load.waitAnswers(load.answers() + 20)
	targets[2].Close()
	load.waitAnswers(load.answers() + 20)
	leader.start(false)
	leader.waitReady()
	load.waitAnswers(load.answers() + 20)
	stop()
	load.audit(t, targets, requestLimit)
	is.True(totals(load.counts).answers > 60)
}

// TestRequestLeavingTarget makes a target leave under load while one entry VM of
// its zone is stopped (SIGSTOP): the target gets no new work 4 s after leaving.
func TestRequestLeavingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "a", "b"}, false)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", requestDocument)
	c.waitVoters(c.nodes[0], 3)
	leaving := c.startTarget(standin.Config{VM: "renderer-a", Pool: "renderers", Zone: "a", Slots: 6})
	other := c.startTarget(standin.Config{VM: "renderer-b", Pool: "renderers", Zone: "b", Slots: 6})
	for _, n := range c.nodes {
		c.eventuallyServes(n, "proofs", "kita", inForceBound)
	}
	load := newLoadGenerator(c, "proofs", "kita")
	// After 1 s callers give up on the frozen entry VM and use the others.
	load.client.Timeout = time.Second
	stop := load.run(6)
	load.waitAnswers(20)
	frozen := c.nodes[1]
	frozen.signal(syscall.SIGSTOP)
	leaving.Leave()
	time.Sleep(1500 * time.Millisecond)
	load.waitAnswers(load.answers() + 100) // the other daemons serve meanwhile
	time.Sleep(3500 * time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	load.waitAnswers(load.answers() + 20)
	stop()
	load.audit(t, []*standin.Target{leaving, other}, requestLimit)
	record := leaving.Record()
	last := int64(0)
	for _, run := range record.Runs {
		last = max(last, run.Started)
	}
	t.Logf("last start %d ms after leaving", (last-record.LeftAt)/1000)
	is.True(time.Duration(last-record.LeftAt)*time.Microsecond < 4*time.Second)
}

// TestRequestTargetFailures closes targets before, during and after the body of
// requests that may be repeated: other targets answer these, and no request that
// was refused as not run has run.
func TestRequestTargetFailures(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := startServing(t, false)
	load := newLoadGenerator(c, "proofs", "kita")
	load.workMS = 200
	stop := load.run(16)
	load.waitAnswers(20)
	for _, target := range targets[:2] {
		target.Close()
		load.waitAnswers(load.answers() + 20)
	}
	stop()
	load.audit(t, targets, requestLimit)
	is.Equal(totals(load.counts).broken, 0)
	eventually(t, inForceBound, "a request runs past its deadline and its outcome is unknown", func() error {
		got, err := c.call(context.Background(), c.nodes[0], http.MethodPost, "/v1/queues/proofs/requests", "kita",
			map[string]string{"Sapphirering-Deadline-Ms": "300"}, []byte(`{"work_ms":3000}`))
		is.NoErr(err)
		is.True(got.outcome != entry.OutcomeAnswered) // cannot be answered by its deadline
		if ran := countRuns(targets, got.id); got.outcome == entry.OutcomeNotRun {
			is.Equal(ran, 0) // a request reported as not run did not run
			return fmt.Errorf("refused: %s", got.body)
		} else if ran == 0 {
			return fmt.Errorf("outcome %s without a run", got.outcome)
		}
		return nil
	})
}

// countRuns counts the runs of a request at all targets.
func countRuns(targets []*standin.Target, id string) int {
	runs := 0
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			if run.RequestID == id {
				runs++
			}
		}
	}
	return runs
}

// TestRequestKeyedWorkInCutZone cuts one zone off: it refuses keyed work as not
// run, and serves again once the links are restored.
func TestRequestKeyedWorkInCutZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, targets := startServing(t, true)
	cut := c.nodes[2]
	c.links.setCut(cut.name, true)
	eventually(t, inForceBound, "keyed work is refused in the cut zone", func() error {
		got, err := c.call(context.Background(), cut, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("cut"))
		if err == nil && (got.status != http.StatusServiceUnavailable || got.outcome != entry.OutcomeNotRun) {
			err = fmt.Errorf("status %d, outcome %s", got.status, got.outcome)
		}
		return err
	})
	before := len(targets[2].Record().Runs)
	for range 20 {
		got, err := c.call(context.Background(), cut, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("cut"))
		is.NoErr(err)
		is.Equal(got.outcome, entry.OutcomeNotRun)
	}
	is.Equal(len(targets[2].Record().Runs), before) // no refused request ran
	c.links.setCut(cut.name, false)
	c.eventuallyServes(cut, "proofs", "kita", inForceBound)
}
