package driver_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// adviseOnly grants tickets for the targets whose ids the string contains.
type adviseOnly struct{ allowed string }

func (a adviseOnly) Advise(_ context.Context, _ workflow.TaskID, targets []string) (driver.Advice, error) {
	out := driver.Advice{Tickets: map[string]string{}, ValidFor: time.Minute}
	for _, t := range targets {
		if strings.Contains(a.allowed, t) {
			out.Tickets[t] = "ticket"
		}
	}
	return out, nil
}

// submitLastingStep submits job "j" with one step of long-running tasks.
func (r *rig) submitLastingStep(tasks, maxUnavailable, maxPerTarget uint32) {
	r.t.Helper()
	r.fleet.Lasting = map[string]bool{"j": true}
	answer := r.request(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/j", Job: &pb.Job{Id: "j", Steps: []*pb.Step{{
		Tasks: tasks, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, Lasting: true, MaxUnavailable: maxUnavailable, MaxPerTarget: maxPerTarget,
	}}}})
	if answer.Answer != pb.Answer_ANSWER_OK {
		r.t.Fatal(answer)
	}
}

// TestEvacuatedTaskStaysWhereAdviceAllowsNoOther guards against a stop of a long-running task that advice lets run on
// no target outside of its evacuated zone: it could start nowhere.
func TestEvacuatedTaskStaysWhereAdviceAllowsNoOther(t *testing.T) {
	r := newZoneRig(t)
	r.advice = adviseOnly{"b"}
	r.startLeader()
	r.putCatalogue(2, true)
	r.submitLastingStep(1, 1, 0)
	r.eventually("runs on b", testWait, func() bool { return r.fleet.Running("b") == 1 })
	time.Sleep(time.Second)
	r.beginEvacuation("b")
	time.Sleep(3 * time.Second)
	if r.fleet.Running("b") != 1 {
		t.Errorf("the task was stopped though advice lets it run nowhere else: a %d b %d", r.fleet.Running("a"), r.fleet.Running("b"))
	}
}

// TestEvacuatedTaskMovesWhereAdviceAllowsAnother guards against a task that stays although advice, once it is asked
// for, allows a target outside of its evacuated zone.
func TestEvacuatedTaskMovesWhereAdviceAllowsAnother(t *testing.T) {
	r := newZoneRig(t)
	r.advice = adviseOnly{"ab"}
	r.startLeader()
	r.putCatalogue(2, true)
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent = true })
	time.Sleep(time.Second)
	r.submitLastingStep(1, 1, 0)
	r.eventually("runs on b", testWait, func() bool { return r.fleet.Running("b") == 1 })
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent = false })
	r.beginEvacuation("b")
	r.eventually("runs on a", testWait, func() bool { return r.fleet.Running("a") == 1 && r.fleet.Running("b") == 0 })
}

// TestWaveTakesEvacuatedVMWithLastingTaskLikeOthers guards against a wave that takes a VM of an evacuated zone down
// first although its long-running task has room nowhere else.
func TestWaveTakesEvacuatedVMWithLastingTaskLikeOthers(t *testing.T) {
	r := newZoneRig(t)
	platform := &orderRecorder{}
	platform.listed = []driver.VM{{Name: "vm-a", Zone: "a", State: driver.VMUp, Pool: "render"}, {Name: "vm-b", Zone: "b", State: driver.VMUp, Pool: "render"}}
	r.vms = platform
	r.startLeader()
	r.submitLastingStep(2, 1, 1) // one on a, one on b; a has no place for the second
	r.eventually("both", testWait, func() bool { return r.fleet.Running("a") == 1 && r.fleet.Running("b") == 1 })
	time.Sleep(time.Second)
	r.beginEvacuation("b")
	time.Sleep(time.Second)
	if r.fleet.Running("b") != 1 {
		t.Fatal("the task was stopped although it has room nowhere else")
	}
	r.request(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: &pb.Wave{Id: 1, Vms: []string{"vm-a", "vm-b"}, Cap: 1, DurationMs: 60_000}})
	r.eventually("an order", testWait, func() bool { return len(platform.ordered()) > 0 })
	if platform.ordered()[0] == "vm-b" {
		t.Error("the VM of the evacuated zone goes down first with a long-running task that has room nowhere else and can't come back there")
	}
}

// TestTasksOnLeavingTargetsCountAsAway guards against a stop of a task in an evacuated zone while another one of its
// step may end at any moment, since its target has given notice: the step's budget is one.
func TestTasksOnLeavingTargetsCountAsAway(t *testing.T) {
	r := newRig(t, "a", "b", "c")
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Zone = "b" })
	r.fleet.Restart("b")
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Zone = "b" })
	r.eventually("zone", testWait, func() (ok bool) {
		r.machine.View(func(v *workflow.View) { ok = v.Target("b").GetZone() == "b" })
		return
	})
	r.submitLastingStep(3, 1, 1)
	r.eventually("all run", testWait, func() bool {
		return r.fleet.Running("a") == 1 && r.fleet.Running("b") == 1 && r.fleet.Running("c") == 1
	})
	time.Sleep(time.Second)
	r.fleet.Add("d")
	r.eventually("d registered", testWait, func() (ok bool) {
		r.machine.View(func(v *workflow.View) { ok = v.Target("d") != nil })
		return
	})
	r.fleet.Change("c", func(t *standin.StepTarget) { t.Leaving = true })
	r.eventually("leaving", testWait, func() (ok bool) {
		r.machine.View(func(v *workflow.View) { ok = v.Target("c").GetLeaving() })
		return
	})
	time.Sleep(time.Second)
	r.beginEvacuation("b")
	for range 40 {
		if r.fleet.Running("b") == 0 && r.fleet.Running("c") == 1 {
			t.Error("the task in zone b was stopped although c's may end at any moment by the notice, and the budget is 1")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestExplainNamesEvacuationForTargetLimit guards against an explanation that does not name the evacuation, where the
// other targets have room but already run as many tasks of the step as one target may.
func TestExplainNamesEvacuationForTargetLimit(t *testing.T) {
	r := newZoneRig(t)
	r.beginEvacuation("b")
	r.submitLastingStep(2, 1, 1)
	r.eventually("one", testWait, func() bool { return r.fleet.Running("a") == 1 })
	time.Sleep(500 * time.Millisecond)
	explained := r.request(&pb.Request{Operation: pb.Operation_OPERATION_EXPLAIN, Host: "h", Path: "/p/j", Job: &pb.Job{Id: "j"}})
	all := strings.Join(explained.Lines, "\n") + explained.Reason
	if !strings.Contains(all, "is evacuated") {
		t.Errorf("not named: %q", all)
	}
}
