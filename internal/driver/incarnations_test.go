package driver_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirering/test/standin"
)

// confirmationsOf returns a choice of fates: the first call to a VM that confirms an end has the given fate, and
// then runs after a moment.
func confirmationsOf(vm string, fate standin.ModelFate, then func()) func(standin.ModelCall) standin.ModelFate {
	met := false
	return func(call standin.ModelCall) standin.ModelFate {
		if met || call.Kind != standin.CallRenew || call.VM != vm || call.SeenEnd == 0 {
			return standin.ModelFate{}
		}
		met = true
		time.AfterFunc(100*time.Millisecond, then)
		return fate
	}
}

// TestConfirmationRepeatedAfterRestart restarts a target under its id while the confirmation of an end has no
// answer, and cuts it off while its next task runs: the end of that has the number that was confirmed.
func TestConfirmationRepeatedAfterRestart(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.fleet.SetBehaviour(standin.ModelBehaviour{ConfirmsLaterEnds: true})
		lost := standin.ModelFate{Lost: true, Resets: true}
		r.fleet.SetFate(confirmationsOf("vm0", lost, func() { r.fleet.Restart("vm0", time.Millisecond, true) }))
		r.submitOne("i", 100*time.Millisecond)
		r.awaitDone(t, "i")
		time.Sleep(time.Second) // the next incarnation is known
		r.awaitRun(t, r.submitOne("j", 3*time.Second))
		time.Sleep(time.Second)
		r.cutOff("vm0")
		r.addVM("vm1")
		time.Sleep(15 * time.Second)
		r.rejoin("vm0")
		r.awaitDone(t, "j")
	})
}

// TestLateConfirmationAfterRestart lets the confirmation of an end take effect on the next incarnation of its
// target, which has an end of the same number by then.
func TestLateConfirmationAfterRestart(t *testing.T) {
	for _, lateBy := range []time.Duration{700 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, later ends %t", lateBy, later), func(t *testing.T) {
				inModel(t, 1, func(t *testing.T, r *modelRig) {
					r.fleet.SetBehaviour(standin.ModelBehaviour{LateRenewReachesNext: true, RenewBeforeFirstCall: true, ConfirmsLaterEnds: later})
					r.fleet.SetFate(confirmationsOf("vm0", late(lateBy), func() { r.fleet.Restart("vm0", 10*time.Millisecond, true) }))
					r.submitOne("i", 100*time.Millisecond)
					r.awaitDone(t, "i")
					time.Sleep(200 * time.Millisecond)
					r.announce()
					r.awaitRun(t, r.submitOne("j", 150*time.Millisecond))
					r.cutOff("vm0")
					r.addVM("vm1")
					time.Sleep(15 * time.Second)
					r.rejoin("vm0")
					r.awaitDone(t, "j")
				})
			})
		}
	}
}

// TestShortLeaseAfterRestart restarts a target under its id before a start that grants a short lease, and cuts it
// off after the answer: the lease is for the clock of the former incarnation, and the next one, whose clock began anew, grants
// the longest there is.
func TestShortLeaseAfterRestart(t *testing.T) {
	for wait := time.Duration(0); wait < 1500*time.Millisecond; wait += 100 * time.Millisecond {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.awaitRun(t, r.submitOne("i", 20*time.Second))
				time.Sleep(6*time.Second + wait)
				r.setMuted("vm0", true)
				r.restartAll("vm0")
				r.awaitRun(t, r.submitOne("j", 20*time.Second))
				time.Sleep(2 * time.Millisecond) // the answer arrives
				r.cutOff("vm0")
				r.addVM("vm1")
				r.awaitDone(t, "j")
			})
		})
	}
}

// TestCutAfterRestart restarts a target under its id while calls to it are in progress, and cuts it off once it
// runs a lasting task: late calls to the former incarnation, which the next one refuses, must not hold the task up.
func TestCutAfterRestart(t *testing.T) {
	for wait := time.Duration(0); wait < 1500*time.Millisecond; wait += 250 * time.Millisecond {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.awaitRun(t, r.submitOne("i", longWork))
				r.fleet.Restart("vm0", 600*time.Millisecond, true)
				time.Sleep(time.Second)
				task, vm := r.submitLasting(t, "j")
				time.Sleep(time.Second + wait)
				r.cutOff(vm)
				r.addVM("vm1")
				if took, ok := r.awaitRunElsewhere(task, vm, time.Minute); !ok || took > maxLastingAway {
					t.Errorf("runs elsewhere after %s, %s are allowed", took, maxLastingAway)
				}
			})
		})
	}
}

// TestSilentTargetGetsNoMoreConfirmations lets a target fall silent when an end is confirmed to it: until it answers,
// calls confirm nothing, since its next incarnation may take them.
func TestSilentTargetGetsNoMoreConfirmations(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		lost := standin.ModelFate{Lost: true, Unanswered: true}
		silent, confirmations := false, 0
		r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
			if call.Kind == standin.CallRenew && call.SeenEnd > 0 {
				silent = true
				confirmations++
			}
			if silent {
				return lost
			}
			return standin.ModelFate{}
		})
		r.submitOne("i", 100*time.Millisecond)
		r.awaitDone(t, "i")
		time.Sleep(5 * time.Second)
		r.fleet.SetFate(nil)
		if confirmations != 1 {
			t.Errorf("%d calls without an answer confirm the end, want 1", confirmations)
		}
		time.Sleep(2 * time.Second)
		if unconfirmed := r.fleet.UnconfirmedEnds("vm0"); unconfirmed > 0 {
			t.Errorf("%d ends are not confirmed once the target answers again", unconfirmed)
		}
	})
}

// TestLateConfirmationBeforeFirstCall lets the next incarnation of a target take a confirmation that was meant for
// the former one before any call that was meant for itself. If the number covers later ends, too, its first end is
// forgotten when it comes.
func TestLateConfirmationBeforeFirstCall(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.fleet.SetBehaviour(standin.ModelBehaviour{LateRenewReachesNext: true, RenewBeforeFirstCall: true, ConfirmsLaterEnds: true})
		r.fleet.SetFate(confirmationsOf("vm0", late(150*time.Millisecond), func() { r.fleet.Restart("vm0", 10*time.Millisecond, true) }))
		r.submitOne("i", 100*time.Millisecond)
		r.awaitDone(t, "i")
		time.Sleep(time.Second)
		r.submitOne("j", 500*time.Millisecond)
		r.awaitDone(t, "j")
	})
}
