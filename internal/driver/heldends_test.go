package driver_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirering/internal/workflow"
	"sapphirering/test/standin"
)

// delayedStart delays the first start call to vm0 by a time; the later ones are carried out at once.
func delayedStart(lateBy time.Duration) func(standin.ModelCall) standin.ModelFate {
	var starts atomic.Int32
	return func(call standin.ModelCall) standin.ModelFate {
		if call.Kind == standin.CallStart && call.VM == "vm0" && starts.Add(1) == 1 {
			return late(lateBy)
		}
		return standin.ModelFate{}
	}
}

// restartAt restarts a target shortly before a time, and lets nothing but late calls reach it until shortly after.
func (r *modelRig) restartAt(vm string, at time.Time, margin time.Duration) {
	time.Sleep(time.Until(at.Add(-margin)))
	r.setMuted(vm, true)
	r.restartAll(vm)
	time.Sleep(2 * margin)
	r.setMuted(vm, false)
}

// TestDelayedStartReachesNextIncarnation guards against a start that was sent again, done and confirmed meanwhile, and is
// taken by the next incarnation of its target before that one has taken any other call: a done task would start again.
func TestDelayedStartReachesNextIncarnation(t *testing.T) {
	for _, test := range []struct {
		name string
		// change happens between the end of the run and the restart of its target.
		change func(r *modelRig)
	}{
		{"one leader", func(*modelRig) {}},
		{"leader lost after the end", func(r *modelRig) { r.changeLeader(0) }},
		{"leaders lost in series", func(r *modelRig) {
			for range 3 {
				r.changeLeader(0)
				time.Sleep(200 * time.Millisecond)
			}
		}},
		{"target starts again twice", func(r *modelRig) {
			r.restartAll("vm0")
			time.Sleep(300 * time.Millisecond)
		}},
	} {
		for lateBy := 2 * time.Second; lateBy <= 12*time.Second; lateBy += time.Second {
			t.Run(fmt.Sprintf("%s, late by %s", test.name, lateBy), func(t *testing.T) {
				inModel(t, 1, func(t *testing.T, r *modelRig) {
					r.fleet.SetBehaviour(standin.ModelBehaviour{StartBeforeFirstCall: true})
					r.fleet.SetFate(delayedStart(lateBy))
					began := time.Now()
					r.submitOne("j", 200*time.Millisecond)
					r.awaitDone(t, "j")
					test.change(r)
					r.restartAt("vm0", began.Add(lateBy), 200*time.Millisecond)
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// TestLeaderLostBeforeEndOfRepeatedStart is TestDelayedStartReachesNextIncarnation with a leader that is lost while the run works,
// so that another one reads its end.
func TestLeaderLostBeforeEndOfRepeatedStart(t *testing.T) {
	const lateBy = 6 * time.Second
	for lostAfter := 100 * time.Millisecond; lostAfter < 2*time.Second; lostAfter += 100 * time.Millisecond {
		t.Run(fmt.Sprint(lostAfter), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.fleet.SetBehaviour(standin.ModelBehaviour{StartBeforeFirstCall: true})
				r.fleet.SetFate(delayedStart(lateBy))
				began := time.Now()
				r.submitOne("j", 1500*time.Millisecond)
				time.Sleep(lostAfter)
				r.changeLeader(0)
				r.awaitDone(t, "j")
				r.restartAt("vm0", began.Add(lateBy), 200*time.Millisecond)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestLeaderLostWhileStartsAreLate guards against the same while the first call of each start is late, so that the records of
// the second ones come with the starts.
func TestLeaderLostWhileStartsAreLate(t *testing.T) {
	const lateBy = 6 * time.Second
	for lostAfter := 300 * time.Millisecond; lostAfter < 1500*time.Millisecond; lostAfter += 50 * time.Millisecond {
		t.Run(fmt.Sprint(lostAfter), func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.fleet.SetBehaviour(standin.ModelBehaviour{StartBeforeFirstCall: true})
				var mu sync.Mutex
				sent := make(map[workflow.TaskID]bool)
				r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
					mu.Lock()
					defer mu.Unlock()
					if call.Kind != standin.CallStart || sent[call.Task] {
						return standin.ModelFate{}
					}
					sent[call.Task] = true
					return late(lateBy)
				})
				began := time.Now()
				for i := range 20 {
					r.submitOne(fmt.Sprintf("j%d", i), 200*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Until(began.Add(lostAfter)))
				r.changeLeader(0)
				for i := range 20 {
					r.awaitDone(t, fmt.Sprintf("j%d", i))
				}
				for range 5 {
					r.restartAt("vm0", began.Add(lateBy), 100*time.Millisecond)
					began = began.Add(300 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestDelayedStartOfRunOnLostTarget guards against a start that was sent again and is taken by the next incarnation of its target,
// whose former one was lost with the run: the task runs elsewhere by then, or is done there.
func TestDelayedStartOfRunOnLostTarget(t *testing.T) {
	const lostAfter = 500 * time.Millisecond
	for _, work := range []time.Duration{time.Second, 20 * time.Second} {
		for _, leaderLost := range []bool{false, true} {
			for lateBy := 3 * time.Second; lateBy <= 12*time.Second; lateBy += time.Second {
				t.Run(fmt.Sprintf("work %s, leader lost %t, late by %s", work, leaderLost, lateBy), func(t *testing.T) {
					inModel(t, 2, func(t *testing.T, r *modelRig) {
						r.fleet.SetBehaviour(standin.ModelBehaviour{StartBeforeFirstCall: true})
						var starts atomic.Int32
						r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
							if call.Kind == standin.CallStart && starts.Add(1) == 1 {
								return late(lateBy)
							}
							return standin.ModelFate{}
						})
						began := time.Now()
						vm := r.awaitRun(t, r.submitOne("j", work))
						time.Sleep(lostAfter)
						r.setMuted(vm, true)
						r.fleet.Restart(vm, time.Until(began.Add(lateBy-200*time.Millisecond)), true)
						if leaderLost {
							time.Sleep(time.Second)
							r.changeLeader(0)
						}
						time.Sleep(time.Until(began.Add(lateBy + 200*time.Millisecond)))
						r.setMuted(vm, false)
						r.awaitDone(t, "j")
						time.Sleep(20 * time.Second) // all ends are confirmed
					})
				})
			}
		}
	}
}

// TestEndsAreConfirmedOnceStartsAreSettled guards against ends that are never confirmed, or held without need: only
// a start that was sent again and may still take effect holds them, until it can do so no more.
func TestEndsAreConfirmedOnceStartsAreSettled(t *testing.T) {
	for _, test := range []struct {
		name string
		fate func(standin.ModelCall) standin.ModelFate
		held bool
	}{
		{"answered", func(standin.ModelCall) standin.ModelFate { return standin.ModelFate{} }, false},
		{"delayed", delayedStart(10 * time.Second), true},
		{"answered late", func(call standin.ModelCall) standin.ModelFate {
			if call.Kind == standin.CallStart && call.Number == 1 {
				return standin.ModelFate{AnswerAfter: 600 * time.Millisecond}
			}
			return standin.ModelFate{}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				r.fleet.SetFate(test.fate)
				r.submitOne("i", time.Second)
				r.submit(modelPools[0], "k", 100*time.Millisecond, false, 3, 3, 3, 3)
				r.awaitDone(t, "i")
				r.awaitDone(t, "k")
				time.Sleep(500 * time.Millisecond)
				if held := r.fleet.UnconfirmedEnds("vm0") > 0; held != test.held {
					t.Errorf("ends are held: %t, want %t", held, test.held)
				}
				time.Sleep(16 * time.Second)
				if left := r.fleet.UnconfirmedEnds("vm0"); left > 0 {
					t.Errorf("%d ends are not confirmed", left)
				}
			})
		})
	}
}
