package driver_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// submitLabelled submits a job of one short task that needs a label.
func (r *modelRig) submitLabelled(id, label string) {
	r.submitStep(id, 100*time.Millisecond, &pb.Step{Tasks: 1, Label: label})
}

// submitStep submits a job of one step to the queue of the first pool until it is accepted.
func (r *modelRig) submitStep(id string, work time.Duration, step *pb.Step) {
	step.Needs, step.EstimateMs = &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, work.Milliseconds()
	job := &pb.Job{Id: id, Steps: []*pb.Step{step}}
	r.fleet.Submitted(job, work, step.Copies)
	for r.serve(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/" + modelPools[0] + "/" + id, Job: proto.CloneOf(job)}).Answer != pb.Answer_ANSWER_OK {
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *modelRig) jobState(id string) (state pb.JobState, reason string) {
	r.store.machine.View(func(v *workflow.View) { state, reason = v.Job(id).State, v.Job(id).Reason })
	return state, reason
}

// TestJobForAbsentVM submits jobs that only one VM can run while that VM is away in each way in
// which it comes back or is replaced: none may be failed. A job that no VM can run is.
func TestJobForAbsentVM(t *testing.T) {
	const awayFor = 6 * time.Second
	for name, sendAway := range map[string]func(r *modelRig){
		"maintenance": func(r *modelRig) {
			wave := &pb.Wave{Id: 1, Vms: []string{"vm2"}, DurationMs: modelWaveTime.Milliseconds(), Cap: 1}
			r.fleet.SetWave(wave.Id, wave.Vms)
			r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave})
		},
		"restart under another id": func(r *modelRig) { r.fleet.Restart("vm2", awayFor, false) },
		"planned end":              func(r *modelRig) { r.fleet.Leave("vm2", 500*time.Millisecond, 0, false, r.deregister("vm2", false)) },
		"replaced by another VM": func(r *modelRig) {
			r.fleet.RemoveVM("vm2")
			time.AfterFunc(awayFor, func() {
				r.fleet.AddVM("vm3", modelPools[0], 1)
				r.fleet.SetLabels("vm3", "rare", "rack")
			})
		},
		"change of leader": func(r *modelRig) {
			r.fleet.Restart("vm2", 2*awayFor, false)
			time.Sleep(time.Second)
			r.changeLeader(0)
		},
		"silent platform": func(r *modelRig) {
			r.fleet.SetFate(fates(fateRule{kind: standin.CallList, fate: standin.ModelFate{Unanswered: true, Lost: true}}))
			r.fleet.Restart("vm2", 2*awayFor, false)
			r.changeLeader(0)
			time.AfterFunc(awayFor, func() { r.fleet.SetFate(nil) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			common := modelVM{pool: modelPools[0]}
			inModelOf(t, []modelVM{common, common, {pool: modelPools[0], labels: []string{"rare", "rack"}}}, func(t *testing.T, r *modelRig) {
				time.Sleep(10 * time.Second) // the leader knows all VMs
				sendAway(r)
				var ids []string
				for i := range 80 {
					id := fmt.Sprintf("j%d", i)
					r.submitLabelled(id, "rare")
					ids = append(ids, id)
					time.Sleep(100 * time.Millisecond)
				}
				if left := r.unfinishedAfter(modelBound, ids...); len(left) > 0 {
					state, reason := r.jobState(left[0])
					t.Errorf("%d of %d jobs are not done; %s is %s: %s", len(left), len(ids), left[0], state, reason)
				}
				r.submitLabelled("never", "no VM has it")
				time.Sleep(time.Second)
				if state, _ := r.jobState("never"); state != pb.JobState_JOB_STATE_FAILED {
					t.Errorf("the job that no VM can run is %s", state)
				}
			})
		})
	}
}
