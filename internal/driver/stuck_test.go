package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
)

// TestStallReason checks which runs are stopped for lack of progress.
func TestStallReason(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, test := range []struct {
		name     string
		run      run
		expected time.Duration
		want     string
	}{
		{"just begun", run{runningSince: ago(time.Second), progressAt: ago(time.Second)}, time.Second, ""},
		{"not known to run", run{}, time.Second, ""},
		{"no progress", run{runningSince: ago(4 * time.Second), progressAt: ago(3 * time.Second), percent: 40}, time.Second, "no progress"},
		{"a long task may be without progress for longer", run{runningSince: ago(4 * time.Second), progressAt: ago(3 * time.Second), percent: 40}, 10 * time.Second, ""},
		{"slow", run{runningSince: ago(9 * time.Second), progressAt: ago(100 * time.Millisecond), percent: 20}, time.Second, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := stallReason(&test.run, test.expected, now); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestRunsOnSilentTargetsAreNotStalled checks a run whose target does not answer: if a zone
// is cut off, the run most likely makes progress. It counts as stalled only by listings
// received later.
func TestRunsOnSilentTargetsAreNotStalled(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	task := workflow.TaskID{Job: "j"}
	stalled := func() (stalled bool) {
		d.cfg.Machine.View(func(v *workflow.View) {
			v.Task(task).Spec().Lasting, v.Task(task).Spec().EstimateMs = false, 500
			stalled = d.stalled(v.Task(task), d.runs.find(task, 1), now)
		})
		return stalled
	}
	r := d.runs.find(task, 1)
	r.runningSince, r.progressAt, r.percent = now.Add(-time.Minute), now.Add(-30*time.Second), 40
	d.links["t0"].answeredAt = now.Add(-29 * time.Second)
	is.True(!stalled()) // no listing since the last progress
	d.links["t0"].answeredAt, d.links["t0"].failures = now.Add(-time.Second), 1
	is.True(!stalled()) // the target does not answer now
	d.links["t0"].failures = 0
	is.True(stalled())
}
