package driver_test

import (
	"sync/atomic"
	"testing"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// A target whose deregister call gets no answer works on for some seconds; the leader's
// connection to it is reset by the network meanwhile.
func TestModelResetAfterDeregister(t *testing.T) {
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		task := r.submitOne("j", longWork)
		vm := r.awaitRun(t, task)
		r.fleet.Leave(vm, 500*time.Millisecond, modelLingers, false, r.deregister(vm, true))
		time.Sleep(600 * time.Millisecond)
		r.fleet.SetFate(fates(fateRule{kind: standin.CallRenew, vm: vm, times: 1, fate: standin.ModelFate{Lost: true, Resets: true}}))
		r.awaitDone(t, "j")
	})
}

// As TestLateGrantOfFormerIncarnation, but the former incarnation has left and its link was
// removed before the next one announces itself.
func TestModelLateGrantAfterRemoval(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		time.Sleep(30 * time.Second) // the clock of the first incarnation gets ahead
		r.fleet.SetFate(fates(fateRule{kind: standin.CallStart, vm: "vm0", task: "i", times: 1, fate: late(7 * time.Second)}))
		r.submitOne("i", 50*time.Millisecond)
		r.awaitDone(t, "i")
		time.Sleep(200 * time.Millisecond)
		r.fleet.Leave("vm0", 100*time.Millisecond, 0, true, r.deregister("vm0", false))
		r.announce()
		time.Sleep(1300 * time.Millisecond)
		r.announce()
		r.awaitRun(t, r.submitOne("j", longWork))
		r.fleet.SetFate(fates(cut("vm0")...))
		r.addVM("vm1")
		time.Sleep(20 * time.Second)
		r.fleet.SetFate(nil)
		r.awaitDone(t, "j")
	})
}

// A target restarts twice while a late start of a run that is over is on its way.
func TestModelLateStartOverTwoRestarts(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		lateStartOfEndedRun(t, r, 8*time.Second)
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(time.Second)
		r.fleet.Restart("vm0", 100*time.Millisecond, true)
		time.Sleep(10 * time.Second)
	})
}

// The outcome of the commit that ends a VM's maintenance is lost; the VM is in a second wave.
func TestModelSecondWave(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		var lost atomic.Bool
		var current atomic.Int32
		var orders [3]atomic.Int32 // by wave
		r.store.loseOutcomes(func(command *pb.Command) bool {
			return command.GetEndMaintenance() != nil && lost.CompareAndSwap(false, true)
		})
		current.Store(1)
		r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
			if call.Kind == standin.CallMaintain {
				orders[current.Load()].Add(1)
			}
			return standin.ModelFate{}
		})
		declare := func(id uint64) {
			wave := &pb.Wave{Id: id, Vms: []string{"vm0"}, DurationMs: modelWaveTime.Milliseconds(), Cap: 1}
			r.fleet.SetWave(wave.Id, wave.Vms)
			r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave})
		}
		complete := func(id uint64) bool {
			return r.serve(&pb.Request{Operation: pb.Operation_OPERATION_GET_WAVE, Wave: &pb.Wave{Id: id}}).Complete
		}
		declare(1)
		time.Sleep(20 * time.Second)
		t.Logf("wave 1 complete %v, orders %d", complete(1), orders[1].Load())
		r.submit(modelPools[0], "j", time.Second, false, 1)
		if left := r.unfinishedAfter(20*time.Second, "j"); len(left) > 0 {
			t.Error("the VM takes no starts 20 s after its maintenance is over")
		}
		current.Store(2)
		declare(2)
		time.Sleep(30 * time.Second)
		if complete(2) && orders[2].Load() == 0 {
			t.Error("wave 2 is complete, and no order of it was sent")
		}
	})
}

// A run of a former leader: its target restarts under the same id, is heard of once and is
// gone for good before it answers a call.
func TestModelAdoptedRunOfVanishedTarget(t *testing.T) {
	inModel(t, 1, func(t *testing.T, r *modelRig) {
		task := r.submitOne("j", 5*time.Second)
		vm := r.awaitRun(t, task)
		r.fleet.SetFate(fates(cut(vm)...))
		r.changeLeader(0)
		r.restartAll(vm)
		r.announce()
		time.Sleep(10 * time.Millisecond)
		r.setMuted(vm, true)
		r.addVM("vm1")
		if left := r.unfinishedAfter(5*time.Minute, "j"); len(left) > 0 {
			t.Errorf("j is not started again within five minutes\n%s", r.fleet.History("j"))
		}
	})
}

var _ = workflow.TaskID{}
