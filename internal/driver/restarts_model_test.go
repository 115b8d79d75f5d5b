package driver_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirering/test/standin"
)

// restartFaultKinds are the disturbances of histories in which targets start again under their ids, drawn more often
// the more often they are named.
var restartFaultKinds = []modelFaultKind{
	faultRestart, faultRestart, faultRestart, faultRestart, faultCut, faultCut, faultLate, faultNoAnswer, faultSlow, faultLeave, faultMute,
	faultLateAnnouncement, faultLeader,
}

// drawRestarts draws a history of short tasks on few targets, which start again under their ids in quick succession,
// are cut off soon after, and get late calls.
func drawRestarts(t *rapid.T) modelPlan {
	const step = 100 * time.Millisecond
	p := modelPlan{
		Seed: rapid.Uint64().Draw(t, "seed"), KillGrace: drawDuration(t, "kill grace", step, modelKillGrace, step),
		Behaviour: standin.ModelBehaviour{LateRenewReachesNext: true, LateGrantsShift: rapid.Bool().Draw(t, "late grants shift")},
	}
	// Both together are TestLateConfirmationBeforeFirstCall.
	p.Behaviour.ConfirmsLaterEnds = rapid.Bool().Draw(t, "confirms later ends")
	p.Behaviour.RenewBeforeFirstCall = !p.Behaviour.ConfirmsLaterEnds
	for i := range rapid.IntRange(2, 3).Draw(t, "vms") {
		p.VMs = append(p.VMs, modelVM{pool: modelPools[i/2], slow: rapid.Bool().Draw(t, "slow clock")})
	}
	for range rapid.IntRange(3, 8).Draw(t, "jobs") {
		p.Jobs = append(p.Jobs, modelJob{
			At: drawDuration(t, "job at", 0, modelHorizon-5*time.Second, step), Work: drawDuration(t, "work", step, 3*time.Second, step),
			Tasks: rapid.SliceOfN(rapid.Uint32Range(1, 3), 1, 2).Draw(t, "tasks"), Pool: modelPools[0],
		})
	}
	for range rapid.IntRange(2, 6).Draw(t, "episodes") {
		// A target restarts, once or again and again, and something happens to it shortly before or after.
		at, vm := drawDuration(t, "at", 0, modelHorizon-4*time.Second, step), rapid.IntRange(0, len(p.VMs)-1).Draw(t, "vm")
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			p.Faults = append(p.Faults, modelFault{
				At: at, Kind: rapid.SampledFrom(restartFaultKinds).Draw(t, "kind"), VM: vm, SameID: true,
				For: drawDuration(t, "for", 0, 6*time.Second, step/4), Lost: rapid.Bool().Draw(t, "lost"),
			})
			at += drawDuration(t, "until next", 0, 1500*time.Millisecond, step/4)
		}
	}
	if rapid.Bool().Draw(t, "loses leaders") {
		p.Elections = drawDuration(t, "elections", 2*time.Second, 12*time.Second, step)
	}
	return p
}

// TestModelRestarts is TestModel with targets that start again under their ids in quick succession, are cut off soon
// after, and get late calls.
func TestModelRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkPlan(t, rt, drawRestarts(rt)) })
}

func checkPlan(t *testing.T, rt *rapid.T, p modelPlan) {
	result := playPlan(t, p)
	for _, violation := range result.violations {
		rt.Errorf("%s\n%s", p, violation)
	}
	for _, job := range result.unfinished {
		rt.Errorf("%s\n%s", p, job)
	}
}

// TestLateShortLeaseAfterRestart lets the next incarnation of a target take two starts that grant short leases by the
// clock of the former one: the first is answered, the second takes effect late, and the target is cut off between. The second
// grants the longest lease there is from its arrival.
func TestLateShortLeaseAfterRestart(t *testing.T) {
	for wait := time.Duration(0); wait < 1500*time.Millisecond; wait += 100 * time.Millisecond {
		for _, lateBy := range []time.Duration{2 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s, late by %s", wait, lateBy), func(t *testing.T) {
				inModel(t, 1, func(t *testing.T, r *modelRig) {
					r.awaitRun(t, r.submitOne("i", 20*time.Second))
					time.Sleep(6*time.Second + wait)
					r.setMuted("vm0", true)
					r.restartAll("vm0")
					var starts atomic.Int32
					r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
						if call.Kind == standin.CallStart && call.VM == "vm0" && starts.Add(1) == 2 {
							return late(lateBy)
						}
						return standin.ModelFate{}
					})
					r.submit(modelPools[0], "j", 20*time.Second, false, 2)
					first := time.Now()
					for starts.Load() < 2 && time.Since(first) < time.Second {
						time.Sleep(100 * time.Microsecond)
					}
					time.Sleep(2 * time.Millisecond) // the first answer arrives
					r.cutOff("vm0")
					r.addVM("vm1")
					r.awaitDone(t, "j")
				})
			})
		}
	}
}

// TestLateConfirmationAfterAnsweredStart lets the next incarnation of a target take a start over the link of the former
// one, and then a late confirmation of the former one's end, before the leader knows of the restart: both carry the same fence.
func TestLateConfirmationAfterAnsweredStart(t *testing.T) {
	for _, lateBy := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(fmt.Sprint(lateBy), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.fleet.SetBehaviour(standin.ModelBehaviour{LateRenewReachesNext: true, RenewBeforeFirstCall: true})
				confirms, confirmed := false, make(chan struct{})
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					if confirms || call.Kind != standin.CallRenew || call.VM != "vm0" || call.SeenEnd == 0 {
						return standin.ModelFate{}
					}
					confirms = true
					close(confirmed)
					return late(lateBy)
				})
				r.submitOne("i", 100*time.Millisecond)
				<-confirmed
				r.setMuted("vm0", true)
				time.Sleep(2 * time.Millisecond)
				r.restartAll("vm0")
				began := time.Now()
				// Listings are lost until the confirmation has come, starts are not.
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					if call.Kind == standin.CallRenew && time.Since(began) < lateBy+100*time.Millisecond {
						return standin.ModelFate{Lost: true, Unanswered: true}
					}
					return standin.ModelFate{}
				})
				r.submitOne("j", 50*time.Millisecond)
				time.Sleep(2 * time.Second)
				r.setMuted("vm0", false)
				r.awaitDone(t, "j")
			})
		})
	}
}

// TestConfirmationsWhileAnswersAreSlow lets a target answer each listing call within its time limit, but later than
// a call is sent again: its ends must be confirmed all the same.
func TestConfirmationsWhileAnswersAreSlow(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 450 * time.Millisecond, 550 * time.Millisecond, 650 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					if call.Kind == standin.CallRenew && call.VM == "vm0" {
						return standin.ModelFate{AnswerAfter: slow}
					}
					return standin.ModelFate{}
				})
				r.submit(modelPools[0], "i", 100*time.Millisecond, false, 2)
				r.submitOne("long", 30*time.Second)
				r.awaitDone(t, "i")
				time.Sleep(10 * time.Second)
				if unconfirmed := r.fleet.UnconfirmedEnds("vm0"); unconfirmed > 0 {
					t.Errorf("%d ends are not confirmed 10 s after they were read", unconfirmed)
				}
			})
		})
	}
}
