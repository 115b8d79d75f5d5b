package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
)

// TestStallReason covers which runs are stopped for want of progress.
func TestStallReason(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, test := range []struct {
		name     string
		run      run
		expected time.Duration
		want     string
	}{
		{"just begun", run{working: ago(time.Second), movedAt: ago(time.Second)}, time.Second, ""},
		{"not known to run", run{}, time.Second, ""},
		{"stands still", run{working: ago(4 * time.Second), movedAt: ago(3 * time.Second), percent: 40}, time.Second, "it stands still"},
		{"a long task may rest longer", run{working: ago(4 * time.Second), movedAt: ago(3 * time.Second), percent: 40}, 10 * time.Second, ""},
		{"slow", run{working: ago(9 * time.Second), movedAt: ago(100 * time.Millisecond), percent: 20}, time.Second, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := stallReason(&test.run, test.expected, now); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestSilentTargetsRunsDoNotStandStill looks at a run whose target gives no answers: a
// zone is cut off, and the run most likely gets on. It stands still only by listings that
// came later.
func TestSilentTargetsRunsDoNotStandStill(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := bareDriver(t, func() time.Time { return now })
	task := workflow.TaskID{Job: "j"}
	stalled := func() (stalled bool) {
		d.cfg.Machine.View(func(v *workflow.View) {
			v.Task(task).Spec().Lasting, v.Task(task).Spec().EstimateMs = false, 500
			stalled = d.stalled(v.Task(task), d.runs.of(task, 1), now)
		})
		return stalled
	}
	r := d.runs.of(task, 1)
	r.working, r.movedAt, r.percent = now.Add(-time.Minute), now.Add(-30*time.Second), 40
	d.links["t0"].answeredAt = now.Add(-29 * time.Second)
	is.True(!stalled()) // nothing was heard since
	d.links["t0"].answeredAt, d.links["t0"].failures = now.Add(-time.Second), 1
	is.True(!stalled()) // it gives no answers now
	d.links["t0"].failures = 0
	is.True(stalled())
}
