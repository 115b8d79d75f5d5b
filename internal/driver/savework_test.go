package driver

import (
	"testing"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestWorkIsSavedBeforeTargetGoes checks that a long task with checkpoints, and no other, is
// stopped shortly before its target leaves or goes into maintenance.
func TestWorkIsSavedBeforeTargetGoes(t *testing.T) {
	now := time.Now()
	leaves := func(in time.Duration) func(*Driver, *pb.Step) {
		return func(d *Driver, _ *pb.Step) { d.links["t0"].leaving, d.links["t0"].leavesAt = true, now.Add(in) }
	}
	for _, test := range []struct {
		name   string
		change func(*Driver, *pb.Step)
		want   bool
	}{
		{"it stays", func(*Driver, *pb.Step) {}, false},
		{"it leaves in a second", leaves(time.Second), true},
		{"it leaves much later", leaves(20 * time.Second), false},
		{"it leaves without stating when", func(d *Driver, _ *pb.Step) { d.links["t0"].leaving = true }, false},
		{"the task has no checkpoints", func(d *Driver, s *pb.Step) { leaves(time.Second)(d, s); s.Checkpoints = false }, false},
		{"the task is lasting", func(d *Driver, s *pb.Step) { leaves(time.Second)(d, s); s.Lasting = true }, false},
		{"the task ends before", func(d *Driver, s *pb.Step) { leaves(time.Second)(d, s); s.EstimateMs = 2800 }, false},
		{"its VM goes into maintenance soon", func(d *Driver, _ *pb.Step) {
			d.waves.maintenance(1, "vm-t0").cordonedAt = now.Add(time.Second - drainTimeout)
		}, true},
		{"its VM has just been cordoned", func(d *Driver, _ *pb.Step) {
			d.waves.maintenance(1, "vm-t0").cordonedAt = now
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDriver(t, func() time.Time { return now })
			d.cfg.Machine.View(func(v *workflow.View) {
				task := v.Task(workflow.TaskID{Job: "j"})
				spec := task.Spec()
				spec.Lasting, spec.Checkpoints, spec.EstimateMs = false, true, 60_000
				r := d.runOn(task, "t0")
				r.runningSince, r.progressAt, r.percent = now.Add(-2*time.Second), now.Add(-2*time.Second), 0
				test.change(d, spec)
				if got := d.mustSaveNow(task, r, now); got != test.want {
					t.Errorf("must save now: %t, want %t", got, test.want)
				}
			})
		})
	}
}
