package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestColdTargetOffersLess announces a warm-up: the room that the target offers must grow while it lasts, and runs
// that begin meanwhile are expected to take longer and teach nothing about run times.
func TestColdTargetOffersLess(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	l := d.links["t0"]
	l.clockAt, l.lastAnnounced = now, now
	free := func() (room int64, cold time.Duration) {
		d.cfg.Machine.View(func(v *workflow.View) {
			targets, _ := d.planTargets(v, "p")
			room, cold = targets[0].Free.CPUMillis, targets[0].ColdFor
		})
		return
	}
	announce := func(left int64) {
		d.handleAnnouncement(&pb.Request{Target: l.target, WarmupLeftMs: left, Sequence: l.sequence + 1})
	}
	room, _ := free()
	is.Equal(room, int64(900))
	announce(4000)
	room, cold := free()
	is.Equal(room, int64(150)) // a quarter of 1000, 100 are in use
	is.Equal(cold, 4*time.Second)
	r := d.runs.find(workflow.TaskID{Job: "j"}, 1)
	r.coldFor = cold
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		is.Equal(d.expectedOn(task, r), min(2*d.learned.expectedOf(task), d.learned.expectedOf(task)+2000))
	})
	now = now.Add(2 * time.Second)
	announce(2000)
	room, _ = free()
	is.Equal(room, int64(525))
	now = now.Add(2 * time.Second)
	announce(0)
	room, cold = free()
	is.Equal(room, int64(900))
	is.Equal(cold, time.Duration(0))
}
