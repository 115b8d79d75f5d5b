package driver_test

import (
	"testing"
	"time"

	"sapphirering/internal/workflow"
)

// TestRestartWithEarlierClock restarts a target under its id on a VM whose time of day was set back, so that the next
// incarnation states an earlier start than the former one. Its lasting task must run again.
func TestRestartWithEarlierClock(t *testing.T) {
	for _, back := range []time.Duration{time.Minute, 24 * time.Hour} {
		t.Run(back.String(), func(t *testing.T) {
			inModel(t, 2, func(t *testing.T, r *modelRig) {
				_, vm := r.submitLasting(t, "j")
				time.Sleep(time.Second)
				r.fleet.SetClockBack(vm, back)
				r.fleet.Restart(vm, 100*time.Millisecond, true)
				holdsWithin(t, "j", time.Now(), maxLastingAway, func() bool { return len(r.fleet.RunsOn(workflow.TaskID{Job: "j"})) > 0 })
			})
		})
	}
}

// TestIdleRestartWithEarlierClock restarts an idle target in the same way. It must take tasks again.
func TestIdleRestartWithEarlierClock(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		time.Sleep(5 * time.Second) // no call is in progress
		r.fleet.SetClockBack("vm0", time.Minute)
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(5 * time.Second)
		r.submitOne("j", time.Second)
		r.awaitDone(t, "j")
	})
}
