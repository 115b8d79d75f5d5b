package driver_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	"sapphirering/test/standin"
)

// TestLeaderWithoutRecordsBetween lets a leader of an earlier version, which commits no lease records, lead between two
// others, as while daemons are replaced one by one: the last one must not count by the records of the first.
func TestLeaderWithoutRecordsBetween(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 370 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			inModel(t, 2, func(t *testing.T, r *modelRig) {
				task, vm := r.submitLasting(t, "j")
				time.Sleep(5 * time.Second)
				for r.renewalOpen(task) {
					time.Sleep(time.Millisecond)
				}
				r.store.ignoreLeases(true)
				r.changeLeader(0)
				time.Sleep(10*time.Second + offset)
				r.store.ignoreLeases(false)
				r.setMuted(vm, true)
				r.fleet.CutOff(vm, true)
				r.changeLeader(0)
				took, ok := r.awaitRunElsewhere(task, vm, time.Minute)
				t.Logf("runs elsewhere after %s, %t", took, ok)
			})
		})
	}
}

// TestSlowCommitsKeepLeases makes each commit slow, as on a slow disk, and then one of them stall: no lease lapses.
func TestSlowCommitsKeepLeases(t *testing.T) {
	for _, slow := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, stall := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("commits %s, stall %s", slow, stall), func(t *testing.T) {
				inModel(t, 2, func(t *testing.T, r *modelRig) {
					task, vm := r.submitLasting(t, "j")
					r.store.slowCommits(slow)
					for i := range 10 {
						time.Sleep(10 * time.Second)
						r.store.slowCommits(max(slow, stall))
						time.Sleep(time.Duration(i) * 370 * time.Millisecond)
						r.store.slowCommits(slow)
					}
					if on := r.fleet.RunsOn(task); len(on) != 1 || on[0] != vm {
						t.Errorf("no longer runs on %s but on %v\n%s", vm, on, r.fleet.History("j"))
					}
					attempts := uint32(0)
					r.store.machine.View(func(v *workflow.View) { attempts = v.Task(task).Attempt })
					if attempts != 1 {
						t.Errorf("%d attempts\n%s", attempts, r.fleet.History("j"))
					}
				})
			})
		}
	}
}

// TestLateRenewalBeforeFirstListing lets a renewal of a former leader take effect late, just before the next leader's
// first listing, and cuts the target off before that leader has renewed the lease: the late lease counts.
func TestLateRenewalBeforeFirstListing(t *testing.T) {
	for _, stall := range []time.Duration{modelCommitTime, 250 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint("commits ", stall), func(t *testing.T) {
			inModel(t, 2, func(t *testing.T, r *modelRig) {
				const lateBy = 4300 * time.Millisecond
				r.fleet.SetBehaviour(standin.ModelBehaviour{LateGrantsShift: true})
				task, vm := r.submitLasting(t, "j")
				time.Sleep(5 * time.Second)
				for !r.renewalOpen(task) {
					time.Sleep(100 * time.Microsecond)
				}
				time.Sleep(modelCommitTime / 4) // the record is committed, the renewal is next
				lost := standin.ModelFate{Unanswered: true, Lost: true}
				began := time.Now()
				renewed, listed := false, false
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					switch {
					case call.VM != vm:
						return standin.ModelFate{}
					case call.Kind == standin.CallRenew && driver.EpochOf(call.Fence) == 1 && !renewed:
						renewed = true
						return late(lateBy)
					case call.Kind == standin.CallRenew && driver.EpochOf(call.Fence) == 2 && time.Since(began) > lateBy+10*time.Millisecond && !listed:
						listed = true
						return standin.ModelFate{}
					}
					return lost
				})
				r.setMuted(vm, true)
				time.Sleep(20 * time.Millisecond)
				r.changeLeader(0)
				time.Sleep(time.Until(began.Add(lateBy)))
				r.store.slowCommits(stall)
				time.Sleep(time.Second)
				r.store.slowCommits(modelCommitTime)
				if !renewed || !listed {
					t.Errorf("renewed %t, listed %t\n%s", renewed, listed, r.fleet.History("j"))
				}
				if _, ok := r.awaitRunElsewhere(task, vm, time.Minute); !ok {
					t.Errorf("does not run elsewhere\n%s", r.fleet.History("j"))
				}
				t.Logf("runs elsewhere %s after the renewal was sent", time.Since(began))
			})
		})
	}
}

// TestLostAnswersBesideElection loses some answers to starts on a busy target, then the target and the leader: what was
// unanswered about short runs must not make the next leader wait for late renewals that nobody sent.
func TestLostAnswersBesideElection(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 130 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			inModel(t, 2, func(t *testing.T, r *modelRig) {
				task, vm := r.submitLasting(t, "lasting")
				starts := 0
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					if call.Kind == standin.CallStart && call.Target != "" {
						if starts++; starts%5 == 0 {
							return standin.ModelFate{Unanswered: true}
						}
					}
					return standin.ModelFate{}
				})
				stop := false
				r.running.Go(func() {
					for i := 0; !stop; i++ {
						r.submit(modelPools[0], fmt.Sprintf("short%d", i), 300*time.Millisecond, false, 1)
						time.Sleep(100 * time.Millisecond)
					}
				})
				time.Sleep(5*time.Second + offset)
				stop = true
				r.fleet.SetFate(fates(losePlatform()))
				r.setMuted(vm, true)
				r.fleet.Crash(vm, time.Hour)
				r.changeLeader(0)
				if took, ok := r.awaitRunElsewhere(task, vm, time.Minute); !ok || took > maxLastingAway {
					t.Errorf("runs elsewhere after %s, %s are allowed", took, maxLastingAway)
				}
			})
		})
	}
}
