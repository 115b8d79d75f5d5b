package driver

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestSlownessIsReportedOnce lets a target become slow and normal again: one report for
// each change, none in between, and none for a single long task.
func TestSlownessIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := health{reportSlowness: 1}
	var reports []bool
	follow := func(against ...float64) {
		for _, a := range against {
			h.reportSlowness += reportRate * (a - h.reportSlowness)
			if h.slownessChanged() {
				reports = append(reports, h.reportedSlow)
			}
		}
	}
	follow(1, 1, 6, 1, 1, 1.6, 0.7)
	is.Equal(len(reports), 0)
	follow(slices.Repeat([]float64{6}, 8)...)
	follow(slices.Repeat([]float64{1}, 40)...)
	is.Equal(reports, []bool{true, false})
}

// TestRemainingTimeByOwnSpeed checks that the remaining time of a run is predicted by its own speed once it
// has made enough progress, before that by the done tasks of its step, else by the estimate.
func TestRemainingTimeByOwnSpeed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(workflow.TaskID{Job: "j"})
		task.Spec().EstimateMs = 1000
		r := d.runOn(task, "t0")
		r.runningSince, r.progressAt, r.percent = now.Add(-200*time.Millisecond), now, 10
		is.Equal(d.remainingMS(task, "t0", now), int64(800))
		d.learned.noteStep(task, 3000)
		is.Equal(d.remainingMS(task, "t0", now), int64(2400)) // (0.25 x 1000 + 3000) / 1.25, less 200
		r.percent = 40
		is.Equal(d.remainingMS(task, "t0", now), int64(300)) // 500 ms in all
		r.runningSince, r.progressAt, r.percent = now.Add(-3*time.Second), now, 5
		is.Equal(d.remainingMS(task, "t0", now), int64(57_000)) // late, and slow
		r.progressAt = r.runningSince
		is.Equal(d.remainingMS(task, "t0", now), int64(3000)) // late, and without progress
	})
	d.learned.pruneSteps(nil)
	is.Equal(len(d.learned.steps), 0) // its job is no longer open
}

// TestCutOffRunsAreBounds guards against runs that were stopped or adopted and count as short ones, and against
// a deployment that is served differently without the setting.
func TestCutOffRunsAreBounds(t *testing.T) {
	is := is.New(t)
	for _, quantiles := range []bool{false, true} {
		now := time.Now()
		d := newTestDriver(t, func() time.Time { return now })
		d.cfg.Learning.Quantiles = quantiles
		var task *workflow.Task
		d.cfg.Machine.View(func(v *workflow.View) { task = v.Task(workflow.TaskID{Job: "j"}) })
		task.Spec().EstimateMs, task.Spec().Lasting = 1000, false
		for range 30 {
			cut := &run{task: task.ID, target: "t0", attempt: 1, runningSince: now.Add(-9 * time.Second), progressAt: now.Add(-6 * time.Second)}
			d.learnEnd(d.links["t0"], cut, pb.EndKind_END_KIND_STOPPED)
			adopted := &run{task: task.ID, target: "t0", attempt: 1, adopted: true, runningSince: now.Add(-10 * time.Millisecond)}
			d.learnEnd(d.links["t0"], adopted, pb.EndKind_END_KIND_DONE)
		}
		expected := d.learned.expectedOf(task)
		t.Logf("quantiles %v: %d ms expected", quantiles, expected)
		is.True(quantiles && expected > 2000 || !quantiles && expected == 1000)
		is.Equal(len(d.learned.finished), 0) // none has finished
	}
}
