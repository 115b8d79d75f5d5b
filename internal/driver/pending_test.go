package driver_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// pendingAge is how old a count may be.
const pendingAge = 2 * time.Second

func (r *modelRig) pending() uint64 {
	return r.serve(&pb.Request{Operation: pb.Operation_OPERATION_COUNT, Host: "h", Path: "/" + modelPools[0] + "/"}).Waiting
}

// TestPendingUntilBegun guards against a count that leaves out accepted jobs of which no task has begun: their starts went to a
// target that is lost, or came to nothing in another way.
func TestPendingUntilBegun(t *testing.T) {
	const jobs = 4
	none := func(*modelRig) {}
	loseLeader := func(r *modelRig) { r.changeLeader(0) }
	single, gang, copies := &pb.Step{Tasks: 1}, &pb.Step{Tasks: 2, Gang: true}, &pb.Step{Tasks: 1, Copies: true}
	for _, test := range []struct {
		name string
		step *pb.Step
		// before happens before the jobs come, after after they were accepted.
		before, after func(r *modelRig)
	}{
		{"target silent", single, func(r *modelRig) { r.cutOff("vm0") }, none},
		{"target lost for good", single, func(r *modelRig) { r.fleet.RemoveVM("vm0") }, none},
		{"target silent, gangs", gang, func(r *modelRig) { r.cutOff("vm0") }, none},
		{"target silent, copies", copies, func(r *modelRig) { r.cutOff("vm0") }, none},
		{"target silent, leader lost", single, func(r *modelRig) { r.cutOff("vm0") }, loseLeader},
		{"target silent, leaders lost in series", single, func(r *modelRig) { r.cutOff("vm0") }, func(r *modelRig) {
			for range 3 {
				r.changeLeader(0)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"starts lost", single, func(r *modelRig) {
			r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate {
				return standin.ModelFate{Lost: call.Kind == standin.CallStart, Unanswered: call.Kind == standin.CallStart}
			})
		}, none},
	} {
		t.Run(test.name, func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				test.before(r)
				for i := range jobs {
					r.submitStep(fmt.Sprintf("j%d", i), time.Second, proto.CloneOf(test.step))
				}
				time.Sleep(100 * time.Millisecond) // the starts are committed
				test.after(r)
				for range 8 {
					time.Sleep(time.Second)
					if pending := r.pending(); pending != jobs {
						t.Errorf("%d jobs are pending, want %d", pending, jobs)
					}
					if state := r.serve(&pb.Request{Operation: statusAt, Host: "h", Path: "/" + modelPools[0] + "/j0", Job: &pb.Job{}}).State; state != pb.JobState_JOB_STATE_QUEUED {
						t.Errorf("a job that has not begun is %s", state)
					}
				}
			})
		})
	}
}

// TestNotPendingOnceBegun guards against a count of jobs that have begun, whatever has become of their runs and of the leader.
func TestNotPendingOnceBegun(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *modelRig)
	}{
		{"at work", func(*modelRig) {}},
		{"leader lost", func(r *modelRig) { r.changeLeader(0) }},
		{"target lost", func(r *modelRig) { r.fleet.RemoveVM("vm0") }},
		{"target and leader lost", func(r *modelRig) {
			r.fleet.RemoveVM("vm0")
			r.changeLeader(0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inModel(t, 1, func(t *testing.T, r *modelRig) {
				task := r.submitOne("j", 20*time.Second)
				r.awaitRun(t, task)
				time.Sleep(pendingAge)
				if pending := r.pending(); pending != 0 {
					t.Errorf("%d jobs are pending", pending)
				}
				test.change(r)
				for range 12 {
					time.Sleep(time.Second)
					if pending := r.pending(); pending != 0 {
						t.Errorf("%d jobs are pending", pending)
					}
				}
			})
		})
	}
}
