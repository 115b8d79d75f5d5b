package driver_test

import (
	"testing"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

const (
	// usedUpWork is the run time of the tasks in these tests; runs that fail take a tenth of it.
	usedUpWork = 10 * time.Second
	// usedUpBound is within which a job that cannot go on is shown as failed: users' rule LOST
	// allows 3 s.
	usedUpBound = 3 * time.Second
	// drainBound is the driver's drainTimeout, after which a VM goes down with the runs that are left.
	drainBound = 4 * time.Second
	// allowedAttempts and fewerAttempts are what the queue allows before and after a change.
	allowedAttempts, fewerAttempts = 4, 2
	// maxRefusedStarts are those that may be planned just before a change takes effect.
	maxRefusedStarts = 2
)

// allowAttempts puts a catalogue with a number of attempts for the queue of the first pool.
func (r *modelRig) allowAttempts(version uint64, most uint32) {
	queue := modelQueue(modelPools[0])
	queue.MaxAttempts = most
	request := &pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: version, Pools: []*pb.Pool{{Name: modelPools[0], Guarded: true}, {Name: modelPools[1], Guarded: true}}, Queues: []*pb.Queue{queue},
	}}
	for r.serve(request).Answer != pb.Answer_ANSWER_OK {
		time.Sleep(50 * time.Millisecond)
	}
}

// task returns the first task of a job.
func (r *modelRig) task(id string) (task workflow.Task) {
	r.store.machine.View(func(v *workflow.View) { task = *v.Task(workflow.TaskID{Job: id}) })
	return task
}

// runsAgain submits a job whose first task has failed fewerAttempts times, and runs again. Each
// member of a gang that fails counts for all.
func runsAgain(t *testing.T, r *modelRig, step *pb.Step, vms int) {
	t.Helper()
	failing := uint32(fewerAttempts)
	if step.Gang {
		failing = 1
	}
	r.allowAttempts(2, allowedAttempts)
	faulty := func(fault standin.ModelRunFault) {
		for i := range vms {
			r.fleet.SetRunFault(modelVMName(i), fault)
		}
	}
	faulty(standin.RunsFail)
	r.submitStep("j", usedUpWork, step)
	holdsWithin(t, "the last run that fails", time.Now(), modelFlushTime, func() bool { return r.task("j").Attempt == failing })
	time.Sleep(usedUpWork / 20) // it has begun
	faulty(standin.RunsWell)
	holdsWithin(t, "the next run", time.Now(), modelFlushTime, func() bool {
		return len(r.fleet.RunsOn(workflow.TaskID{Job: "j"})) > 0 && r.task("j").Attempt == failing+1
	})
	if failed := r.task("j").Failed; failed < fewerAttempts {
		t.Errorf("the task has failed %d times, want %d", failed, fewerAttempts)
	}
}

// TestFewerAttemptsThanFailed lowers the attempts of a queue to what a task has failed already: its job
// must not stay open without a start that the state accepts.
func TestFewerAttemptsThanFailed(t *testing.T) {
	const away = 20 * time.Second
	done, failed := pb.JobState_JOB_STATE_DONE, pb.JobState_JOB_STATE_FAILED
	crash := func(r *modelRig) {
		r.fleet.Crash("vm0", away)
		time.Sleep(modelLateBound) // the leader counts the third run as over
	}
	for _, test := range []struct {
		name string
		step *pb.Step
		// change lowers the attempts; want is the state of the job at most within after it.
		change func(t *testing.T, r *modelRig)
		within time.Duration
		want   pb.JobState
	}{
		{"a task waits", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			crash(r)
			r.allowAttempts(3, fewerAttempts)
		}, usedUpBound, failed},
		{"a gang waits", &pb.Step{Tasks: 3, Gang: true}, func(_ *testing.T, r *modelRig) {
			crash(r)
			r.allowAttempts(3, fewerAttempts)
		}, usedUpBound, failed},
		{"a task waits and the leader is lost", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			crash(r)
			r.store.setLeader(nil)
			time.Sleep(electionTime)
			r.changeLeader(0)
			r.allowAttempts(3, fewerAttempts)
			r.loseLeader()
		}, usedUpBound, failed},
		{"a run goes on and completes the task", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
		}, usedUpWork + usedUpBound, done},
		{"a gang goes on and completes", &pb.Step{Tasks: 3, Gang: true}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
		}, usedUpWork + usedUpBound, done},
		{"a run goes on and its target crashes", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
			crash(r)
		}, usedUpBound, failed},
		{"a run goes on and its VM is maintained", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
			r.declareWave(waveDuration, "vm0")
		}, drainBound + usedUpBound, failed},
		{"lowered and raised while a run goes on", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
			r.allowAttempts(4, allowedAttempts)
			r.fleet.Crash("vm0", time.Second)
		}, modelLateBound + usedUpWork + usedUpBound, done},
		{"without a limit", &pb.Step{Tasks: 1}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, 0)
			r.fleet.Crash("vm0", time.Second)
		}, modelLateBound + usedUpWork + usedUpBound, done},
		{"a copy is wanted beside a silent target", &pb.Step{Tasks: 1, Copies: true}, func(_ *testing.T, r *modelRig) {
			r.allowAttempts(3, fewerAttempts)
			r.fleet.CutOff(r.fleet.RunsOn(workflow.TaskID{Job: "j"})[0], true)
		}, silentBound + usedUpBound, failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			vms := 1
			if test.step.Copies {
				vms = 2 // a copy has room
			}
			inModelOf(t, inOnePool(vms), func(t *testing.T, r *modelRig) {
				runsAgain(t, r, test.step, vms)
				test.change(t, r)
				changed := time.Now()
				state := func() pb.JobState {
					state, _ := r.jobState("j")
					return state
				}
				for state() != test.want && time.Since(changed) < test.within {
					time.Sleep(10 * time.Millisecond)
				}
				if got, reason := r.jobState("j"); got != test.want {
					t.Errorf("%s after the change the job is %s: %s; want %s", test.within, got, reason, test.want)
				}
				time.Sleep(away) // the VM is back
				if got := state(); got != test.want {
					t.Errorf("later the job is %s, want %s", got, test.want)
				}
				if refused := r.store.refused(); refused > maxRefusedStarts {
					t.Errorf("%d starts were planned and refused when they were applied", refused)
				}
			})
		})
	}
}
