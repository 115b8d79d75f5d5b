package driver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// inModel runs a history in a synctest bubble and fails the test for every start that broke
// a promise. The rig has the given number of VMs, all in one pool.
func inModel(t *testing.T, vms int, history func(t *testing.T, r *modelRig)) {
	t.Helper()
	described := make([]modelVM, vms)
	for i := range described {
		described[i].pool = modelPools[0]
	}
	inModelOf(t, described, history)
}

// inModelOf is inModel with the given VMs.
func inModelOf(t *testing.T, vms []modelVM, history func(t *testing.T, r *modelRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newModelRig(t, modelKillGrace, vms...)
		time.Sleep(time.Second) // the leader knows all targets
		history(t, r)
		r.close()
		for _, violation := range r.fleet.Violations() {
			t.Error(violation)
		}
	})
}

// submitOne submits a job of one task and returns the task.
func (r *modelRig) submitOne(id string, work time.Duration) workflow.TaskID {
	r.submit(modelPools[0], id, work, false, 1)
	return workflow.TaskID{Job: id}
}

// awaitRun waits until a run of the task is on some target, and returns the target's VM.
func (r *modelRig) awaitRun(t *testing.T, task workflow.TaskID) string {
	t.Helper()
	const within, poll = 10 * time.Second, time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(poll) {
		if vms := r.fleet.RunsOn(task); len(vms) > 0 {
			return vms[0]
		}
	}
	t.Fatalf("%s does not run within %s\n%s", task, within, r.fleet.History(task.Job))
	return ""
}

// awaitDone waits until the job is done.
func (r *modelRig) awaitDone(t *testing.T, job string) {
	t.Helper()
	if left := r.unfinishedAfter(modelBound, job); len(left) > 0 {
		t.Errorf("%s is not done within %s\n%s", job, modelBound, r.fleet.History(job))
	}
}

// fates returns a choice of fates: that of the first rule that matches a call.
func fates(rules ...fateRule) func(standin.ModelCall) standin.ModelFate {
	left := make([]int, len(rules))
	for i, rule := range rules {
		left[i] = rule.times
	}
	return func(call standin.ModelCall) standin.ModelFate {
		for i, rule := range rules {
			if rule.kind != call.Kind || rule.vm != "" && rule.vm != call.VM || rule.task != "" && rule.task != call.Task.Job || rule.times > 0 && left[i] == 0 {
				continue
			}
			left[i]--
			return rule.fate
		}
		return standin.ModelFate{}
	}
}

// fateRule is the fate of the calls of one kind.
type fateRule struct {
	kind standin.ModelCallKind
	// vm and task (a job's id) limit the rule to calls for them; empty for all.
	vm, task string
	// times is how many calls have this fate; 0 for all.
	times int
	fate  standin.ModelFate
}

// late is the fate of a call that is carried out after a delay and not answered.
func late(delay time.Duration) standin.ModelFate {
	return standin.ModelFate{Unanswered: true, After: delay}
}

// cut returns rules that lose all calls to the target on a VM.
func cut(vm string) []fateRule {
	lost := standin.ModelFate{Unanswered: true, Lost: true}
	return []fateRule{
		{kind: standin.CallStart, vm: vm, fate: lost}, {kind: standin.CallStop, vm: vm, fate: lost},
		{kind: standin.CallRenew, vm: vm, fate: lost}, {kind: standin.CallPace, vm: vm, fate: lost},
	}
}

// longWork is a run time beyond every lease.
const longWork = 40 * time.Second

// TestDeregisterAnswerLost lets a target stay up whose deregister call gets no answer: its
// runs go on until it ends.
func TestDeregisterAnswerLost(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		task := r.submitOne("j", longWork)
		vm := r.awaitRun(t, task)
		r.fleet.Leave(vm, 500*time.Millisecond, modelLingers, false, r.deregister(vm, true))
		r.awaitDone(t, "j")
	})
}

// TestLateDeregister lets the deregister call of a target arrive when its next incarnation,
// under the same id, runs a task.
func TestLateDeregister(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		const id = "vm0.1" // the first id on VM vm0
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(2 * modelAnnounceInterval)
		r.awaitRun(t, r.submitOne("j", longWork))
		r.addVM("vm1")
		r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DEREGISTER, Target: &pb.Target{Id: id}})
		r.awaitDone(t, "j")
	})
}

// restartAll restarts all targets under the same ids, before their next announcements.
func (r *modelRig) restartAll(vms ...string) {
	for _, vm := range vms {
		r.fleet.Restart(vm, time.Millisecond, true)
	}
	time.Sleep(5 * time.Millisecond)
}

// addVM adds a VM with a target that the leader knows when it returns.
func (r *modelRig) addVM(name string) {
	r.fleet.AddVM(name, modelPools[0], 1)
	r.announce()
	time.Sleep(modelAnnounceInterval)
}

// TestStopOfRunOnNextIncarnation lets the next incarnation of a target accept a start; a
// stop of that run takes until the kill grace is over.
func TestStopOfRunOnNextIncarnation(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		r.restartAll("vm0", "vm1")
		r.submitOne("j", longWork)
		r.awaitDone(t, "j")
	})
}

// TestRunDoneOnNextIncarnation lets a run end as done on the next incarnation of its target
// before the stop arrives: the answer to the stop does not tell that.
func TestRunDoneOnNextIncarnation(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		r.fleet.SetFate(fates(fateRule{kind: standin.CallRenew, fate: standin.ModelFate{AnswerAfter: 600 * time.Millisecond}}))
		r.restartAll("vm0", "vm1")
		r.submitOne("j", 100*time.Millisecond)
		r.awaitDone(t, "j")
		time.Sleep(2 * time.Second) // all ends are confirmed
	})
}

// TestEndConfirmedByFormerNumber lets the next incarnation of a target run a task before the
// leader knows of the restart. The end has a number that the leader has confirmed to the
// former incarnation, and confirms with every listing call.
func TestEndConfirmedByFormerNumber(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.submitOne("i", 100*time.Millisecond)
		r.awaitDone(t, "i")
		time.Sleep(2 * time.Second) // the end is confirmed, no call is in progress
		r.setMuted("vm0", true)
		r.restartAll("vm0")
		lost := standin.ModelFate{Lost: true, Fails: true}
		r.fleet.SetFate(fates(fateRule{kind: standin.CallRenew, vm: "vm0", times: 1, fate: lost}))
		r.submitOne("j", 100*time.Millisecond)
		r.awaitDone(t, "j")
		r.setMuted("vm0", false)
	})
}

// TestLateRenewCountedFromArrival cuts off a target after a listing call that arrives late
// and whose lease the target counts from its arrival.
func TestLateRenewCountedFromArrival(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		r.fleet.SetBehaviour(standin.ModelBehaviour{LateGrantsShift: true})
		task := r.submitOne("j", longWork)
		vm := r.awaitRun(t, task)
		time.Sleep(3 * time.Second)
		rules := []fateRule{{kind: standin.CallRenew, vm: vm, times: 1, fate: late(4 * time.Second)}}
		r.fleet.SetFate(fates(append(rules, cut(vm)...)...))
		time.Sleep(15 * time.Second)
		r.fleet.SetFate(nil)
		r.awaitDone(t, "j")
	})
}

// TestLateStartCountedFromArrival loses the calls to a target after a start that arrives
// when the leases granted before have lapsed, and whose lease the target counts from its
// arrival.
func TestLateStartCountedFromArrival(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.fleet.SetBehaviour(standin.ModelBehaviour{LateGrantsShift: true})
		rules := []fateRule{{kind: standin.CallStart, vm: "vm0", times: 1, fate: late(11 * time.Second)}}
		r.fleet.SetFate(fates(append(rules, cut("vm0")...)...))
		r.submitOne("j", longWork)
		time.Sleep(time.Second) // the start is under way
		r.addVM("vm1")
		time.Sleep(15 * time.Second)
		r.fleet.SetFate(nil)
		r.awaitDone(t, "j")
	})
}

// TestLateStartOnSlowClock delays a start to a target that was idle for ten minutes and
// whose clock is slow: the leader's estimate of that clock is 12 s ahead by then, so the
// lease in the start has not expired when it arrives.
func TestLateStartOnSlowClock(t *testing.T) {
	inModelOf(t, []modelVM{{pool: modelPools[0], slow: true}}, func(t *testing.T, r *modelRig) {
		time.Sleep(10 * time.Minute)
		rules := []fateRule{{kind: standin.CallStart, vm: "vm0", times: 1, fate: late(11 * time.Second)}}
		r.fleet.SetFate(fates(append(rules, cut("vm0")...)...))
		r.submitOne("j", longWork)
		time.Sleep(time.Second) // the start is under way
		r.addVM("vm1")
		time.Sleep(15 * time.Second)
		r.fleet.SetFate(nil)
		r.awaitDone(t, "j")
	})
}

// TestLateGrantOfFormerIncarnation sends a start to a target that restarts. The start of
// another task on the next incarnation is accepted, then the target is cut off, and the
// first start arrives: its lease ends far in the future of the new clock.
func TestLateGrantOfFormerIncarnation(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		time.Sleep(30 * time.Second) // the clock of the first incarnation gets ahead
		r.fleet.SetFate(fates(fateRule{kind: standin.CallStart, vm: "vm0", task: "i", times: 1, fate: late(6 * time.Second)}))
		r.submitOne("i", longWork)
		time.Sleep(300 * time.Millisecond) // the start is under way
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(modelAnnounceInterval + 100*time.Millisecond)
		r.awaitRun(t, r.submitOne("j", longWork))
		r.fleet.SetFate(fates(cut("vm0")...))
		r.addVM("vm1")
		time.Sleep(20 * time.Second)
		r.fleet.SetFate(nil)
		r.awaitDone(t, "j")
	})
}

// TestLateStartOfFormerLeader changes the leader while a start is under way whose run was
// started again and has ended; then the target restarts. The new leader has called the next
// incarnation when the start arrives.
func TestLateStartOfFormerLeader(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		lateStartOfEndedRun(t, r, 8*time.Second)
		r.changeLeader(0)
		time.Sleep(time.Second)
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(10 * time.Second)
	})
}

// TestLateStartBeyondBound lets a start arrive 11.8 s after it was sent, on an incarnation
// that was born shortly before.
func TestLateStartBeyondBound(t *testing.T) {
	const delay, bornBefore = 11800 * time.Millisecond, 600 * time.Millisecond
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		arrives := lateStartOfEndedRun(t, r, delay)
		time.Sleep(time.Until(arrives) - bornBefore)
		r.fleet.Restart("vm0", 10*time.Millisecond, true)
		time.Sleep(20 * time.Millisecond)
		r.announce()
		time.Sleep(10 * time.Second)
	})
}

// TestLateStartAfterDeregister lets a target leave and start again under the same id while
// a start is under way.
func TestLateStartAfterDeregister(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		lateStartOfEndedRun(t, r, 8*time.Second)
		r.fleet.Leave("vm0", 500*time.Millisecond, modelLingers, true, r.deregister("vm0", false))
		time.Sleep(15 * time.Second)
	})
}

// lateStartOfEndedRun starts a task by two calls: the first arrives late, the second is
// answered. It returns when the run has ended and the end is confirmed, with the time at which
// the first call arrives.
func lateStartOfEndedRun(t *testing.T, r *modelRig, delay time.Duration) (arrives time.Time) {
	t.Helper()
	time.Sleep(30 * time.Second) // the clock of the first incarnation gets ahead
	sent, begun := false, make(chan time.Time, 1)
	r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
		if call.Kind != standin.CallStart || sent {
			return standin.ModelFate{}
		}
		sent = true
		begun <- time.Now()
		return standin.ModelFate{Unanswered: true, Fails: true, After: delay}
	})
	r.submitOne("j", 100*time.Millisecond)
	r.awaitDone(t, "j")
	time.Sleep(200 * time.Millisecond) // the end is confirmed
	return (<-begun).Add(delay)
}

// TestStartInProgressOverTwoRestarts restarts a target twice while a start call is in
// progress, which arrives at the third incarnation.
func TestStartInProgressOverTwoRestarts(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		time.Sleep(30 * time.Second) // the clock of the first incarnation gets ahead
		r.fleet.SetFate(fates(fateRule{kind: standin.CallStart, vm: "vm0", times: 1, fate: late(4 * time.Second)}))
		r.submitOne("j", longWork)
		time.Sleep(170 * time.Millisecond) // the start call is in progress
		r.fleet.AddVM("vm1", modelPools[0], 1)
		r.restartAll("vm0")
		r.fleet.Leave("vm0", time.Minute, 0, true, r.deregister("vm0", false)) // the task starts on vm1
		r.announce()
		time.Sleep(200 * time.Millisecond)
		r.restartAll("vm0")
		r.announce()
		r.awaitDone(t, "j")
	})
}

// TestLateStartAcceptedBeforeRestartIsKnown lets the next incarnation of a target accept the
// late start of an earlier run before the leader knows of the restart. That run is alone,
// and the task must not start again until it has ended.
func TestLateStartAcceptedBeforeRestartIsKnown(t *testing.T) {
	const delay = 8 * time.Second
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.fleet.SetBehaviour(standin.ModelBehaviour{StartBeforeFirstCall: true})
		time.Sleep(30 * time.Second) // the clock of the first incarnation gets ahead
		r.fleet.SetFate(fates(fateRule{kind: standin.CallStart, times: 1, fate: late(delay)}))
		arrives := time.Now().Add(delay)
		r.submitOne("j", longWork)
		time.Sleep(time.Until(arrives)) // the second run is at work
		r.setMuted("vm0", true)
		r.restartAll("vm0")
		time.Sleep(300 * time.Millisecond) // the first start arrives
		r.setMuted("vm0", false)
		r.awaitDone(t, "j")
	})
}

// TestMoveAnswerAfterReturn delays the answer to a move until the VM's next target runs a
// task.
func TestMoveAnswerAfterReturn(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		answered := standin.ModelFate{AnswerAfter: 1990 * time.Millisecond}
		r.fleet.SetFate(fates(fateRule{kind: standin.CallMove, vm: "vm0", fate: answered}))
		r.submit(modelPools[1], "j", longWork, false, 6)
		r.awaitDone(t, "j")
	})
}

// TestMaintenanceOrderedTwice loses the answer to an order for maintenance. The second order
// finds the maintenance done; its answer arrives when the VM's next target is up. That target
// takes tasks.
func TestMaintenanceOrderedTwice(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		r.fleet.SetFate(fates(
			fateRule{kind: standin.CallMaintain, vm: "vm0", times: 1, fate: standin.ModelFate{Unanswered: true}},
			fateRule{kind: standin.CallMaintain, vm: "vm0", times: 1, fate: standin.ModelFate{AnswerAfter: time.Second}},
		))
		wave := &pb.Wave{Id: 1, Vms: []string{"vm0"}, DurationMs: modelWaveTime.Milliseconds(), Cap: 1}
		r.fleet.SetWave(wave.Id, wave.Vms)
		r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave})
		time.Sleep(5 * time.Second)
		r.submit(modelPools[0], "j", time.Second, false, 1)
		r.awaitDone(t, "j")
	})
}

// TestPlacedOnEndedIncarnation loses the outcome of the commit that places a task, and the
// target: the task starts elsewhere.
func TestPlacedOnEndedIncarnation(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		replaced := false
		r.store.loseOutcomes(func(command *pb.Command) bool {
			if replaced || len(command.GetChangeTasks().GetStarts()) == 0 {
				return false
			}
			replaced = true
			r.fleet.Restart("vm0", time.Millisecond, false)
			time.Sleep(2 * time.Millisecond)
			r.announce() // the leader learns that the VM has another target
			time.Sleep(2 * time.Millisecond)
			return true
		})
		r.submitOne("j", time.Second)
		r.awaitDone(t, "j")
	})
}
