package driver_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// limitBound is within which a task starts whose workspace uses little: users' rule LOST allows 3 s.
const limitBound = 3 * time.Second

// limitWorkspace puts a catalogue with a limit for the workspace of key "k".
func (r *modelRig) limitWorkspace(version uint64, limit *pb.Resources) {
	request := &pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: version, Pools: []*pb.Pool{{Name: modelPools[0], Guarded: true}, {Name: modelPools[1], Guarded: true}}, Queues: []*pb.Queue{modelQueue(modelPools[0])},
		Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"k"}, Limit: limit}},
	}}
	for r.serve(request).Answer != pb.Answer_ANSWER_OK {
		time.Sleep(50 * time.Millisecond)
	}
}

// submitSteps submits a job of key "k" once.
func (r *modelRig) submitSteps(id string, work time.Duration, steps ...*pb.Step) pb.Answer {
	job := &pb.Job{Id: id, Steps: steps}
	for i, step := range steps {
		step.EstimateMs = work.Milliseconds()
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
	}
	r.fleet.Submitted(job, work, false)
	return r.serve(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/" + modelPools[0] + "/" + id, Key: "k", Job: proto.CloneOf(job)}).Answer
}

// startsWithin waits until a number of tasks of a step are placed at the same time.
func (r *modelRig) startsWithin(t *testing.T, id string, step int, count int) {
	t.Helper()
	holdsWithin(t, "the start of "+id, time.Now(), limitBound, func() bool {
		placed := 0
		r.store.machine.View(func(v *workflow.View) {
			for _, task := range v.Job(id).Tasks[0][step] {
				if task.State != pb.TaskState_TASK_STATE_WAITING {
					placed++
				}
			}
		})
		return placed >= count
	})
}

// TestTaskLargerThanLimit guards against accepted jobs that never start since a task, or the members of a gang together, need
// more than the limit of their workspace, while that uses little of it.
func TestTaskLargerThanLimit(t *testing.T) {
	two := func(count uint32) *pb.Step {
		return &pb.Step{Tasks: count, Needs: &pb.Resources{CpuMillis: 2000, MemoryMb: 20}}
	}
	for name, limit := range map[string]*pb.Resources{"cpu": {CpuMillis: 1500}, "memory": {MemoryMb: 15}} {
		for _, test := range []struct {
			name string
			// play lowers the limit and submits job "j", of which step has to start.
			play func(r *modelRig)
			step int
		}{
			{"lowered between steps", func(r *modelRig) {
				r.limitWorkspace(2, &pb.Resources{CpuMillis: 100_000, MemoryMb: 100_000})
				r.submitSteps("j", 2*time.Second, two(1), two(1))
				r.startsWithin(t, "j", 0, 1)
				r.limitWorkspace(3, limit)
				time.Sleep(2 * time.Second)
			}, 1},
			{"submitted after the change", func(r *modelRig) {
				r.limitWorkspace(2, limit)
				r.submitSteps("j", time.Second, two(1))
			}, 0},
			{"two of them, one at a time", func(r *modelRig) {
				r.limitWorkspace(2, limit)
				r.submitSteps("j", 4*time.Second, two(2))
				time.Sleep(2 * time.Second)
				r.store.machine.View(func(v *workflow.View) {
					if placed := v.Job("j").PlacedRuns(); placed != 1 {
						t.Errorf("%d tasks run at once", placed)
					}
				})
			}, 0},
			{"beside a new leader", func(r *modelRig) {
				r.limitWorkspace(2, limit)
				r.submitSteps("i", 4*time.Second, two(1))
				r.startsWithin(t, "i", 0, 1)
				r.submitSteps("j", time.Second, two(1))
				r.changeLeader(0)
				r.awaitDone(t, "i")
			}, 0},
		} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				inModel(t, 2, func(t *testing.T, r *modelRig) {
					test.play(r)
					r.startsWithin(t, "j", test.step, 1)
					r.awaitDone(t, "j")
				})
			})
		}
	}
	t.Run("a lasting task", func(t *testing.T) {
		inModel(t, 2, func(t *testing.T, r *modelRig) {
			r.limitWorkspace(2, &pb.Resources{CpuMillis: 1500})
			step := two(1)
			step.Lasting = true
			r.submitSteps("j", time.Minute, step)
			r.startsWithin(t, "j", 0, 1)
		})
	})
	t.Run("a gang, one member above the limit", func(t *testing.T) {
		inModel(t, 2, func(t *testing.T, r *modelRig) {
			r.limitWorkspace(2, &pb.Resources{CpuMillis: 5000})
			step := two(3)
			step.Gang = true
			r.submitSteps("j", time.Second, step)
			r.startsWithin(t, "j", 0, 3)
			r.awaitDone(t, "j")
		})
	})
}

// TestGangBeyondLimit guards against a gang that is accepted though its workspace's limit keeps it from ever starting. One that was
// accepted before the limit was lowered waits, is not failed, and starts once the limit is raised.
func TestGangBeyondLimit(t *testing.T) {
	gang := func() *pb.Step {
		return &pb.Step{Tasks: 3, Gang: true, Needs: &pb.Resources{CpuMillis: 2000, MemoryMb: 20}}
	}
	inModel(t, 2, func(t *testing.T, r *modelRig) {
		r.limitWorkspace(2, &pb.Resources{CpuMillis: 6000})
		if answer := r.submitSteps("i", 4*time.Second, gang()); answer != pb.Answer_ANSWER_OK {
			t.Errorf("a gang within the limit is answered %s", answer)
		}
		r.startsWithin(t, "i", 0, 3)
		if answer := r.submitSteps("j", time.Second, gang()); answer != pb.Answer_ANSWER_OK {
			t.Errorf("a gang that has to wait is answered %s", answer)
		}
		r.limitWorkspace(3, &pb.Resources{CpuMillis: 3000})
		if answer := r.submitSteps("j", time.Second, gang()); answer != pb.Answer_ANSWER_OK {
			t.Errorf("a gang that was accepted before is answered %s", answer)
		}
		if answer := r.submitSteps("k", time.Second, gang()); answer != pb.Answer_ANSWER_BUSY {
			t.Errorf("a gang that can never start is answered %s", answer)
		}
		r.awaitDone(t, "i")
		time.Sleep(modelFlushTime)
		if state, reason := r.jobState("j"); state != pb.JobState_JOB_STATE_QUEUED {
			t.Errorf("a waiting gang is %s: %s", state, reason)
		}
		r.changeLeader(0)
		r.limitWorkspace(4, &pb.Resources{CpuMillis: 6000})
		r.startsWithin(t, "j", 0, 3)
		r.awaitDone(t, "j")
	})
}
