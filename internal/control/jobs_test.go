package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// renewWithVMs renews a session that reports the VMs.
func (b *testbed) renewWithVMs(session string, vms ...string) {
	b.t.Helper()
	var reports []*wirepb.VMReport
	for _, vm := range vms {
		reports = append(reports, &wirepb.VMReport{Vm: vm, Incarnation: "i"})
	}
	response := b.manager.Renew(b.t.Context(), &wirepb.RenewRequest{
		Session: session, Member: "m-" + session, AppliedIndex: b.log.index, Vms: reports,
	})
	if response.ErrorCode != wirepb.ErrorCode_ERROR_CODE_NONE {
		b.t.Fatal(response.ErrorMessage)
	}
}

func (b *testbed) endAttempt(job string, to statepb.JobState, outcome string) {
	b.mustApply(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: b.currentAttempt(job), State: to, Outcome: outcome,
	}}})
}

func (b *testbed) currentAttempt(job string) uint32 {
	return state.CurrentAttempt(b.machine.Job(job)).GetNumber()
}

func newJobTestbed(t *testing.T, limit uint32) *testbed {
	b := newTestbed(t)
	b.clock.wall = time.Now()
	b.clock.mono = time.Now()
	b.addPool("p")
	b.putDocument("team", limit, false)
	return b
}

// TestTakeOver expires the driver's session of a running attempt. Another
// session that reports the VM must take the attempt over, and no second attempt
// may start.
func TestTakeOver(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.openSession("s2")
	b.addVM("w1", nil)
	id := b.submit("team", nil)
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	is.Equal(state.CurrentAttempt(b.machine.Job(id)).GetSession(), "s1")
	b.clock.advance(testLease)
	b.renewWithVMs("s2", "w1")
	b.clock.advance(testLease / 2)
	b.renewWithVMs("s2", "w1")
	b.runLoop(b.manager.expireSessions)
	is.True(b.machine.Session("s1").ExpiredUnixMs != 0)
	b.runLoop(b.manager.placeJobs)
	current := state.CurrentAttempt(b.machine.Job(id))
	is.Equal(current.GetSession(), "s2")
	is.Equal(current.GetNumber(), uint32(1))
	is.Equal(current.GetTakeovers(), uint32(1))
}

// TestOrphanedAttemptEndsAfterGrace has no session that can take an attempt
// over. The attempt must count as running until the driver's grace and the task
// lease have passed on the leader's clock.
func TestOrphanedAttemptEndsAfterGrace(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.addVM("w1", nil)
	repeatable := b.submit("team", nil)
	once := b.submit("team", func(j *statepb.Job) { j.Repeatable = false })
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(2))
	b.expire("s1")
	b.clock.advance(attemptEndedAfter - time.Second)
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(2))
	b.clock.advance(2 * time.Second)
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.Job(repeatable).State, statepb.JobState_JOB_STATE_QUEUED)
	is.Equal(b.machine.Job(once).State, statepb.JobState_JOB_STATE_UNKNOWN)
}

// TestLeavingDriverHandsOver checks that attempts are handed over as soon as
// their driver shuts down.
func TestLeavingDriverHandsOver(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.openSession("s2")
	b.addVM("w1", nil)
	id := b.submit("team", nil)
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	b.renewWithVMs("s2", "w1")
	b.manager.Renew(t.Context(), &wirepb.RenewRequest{Session: "s1", AppliedIndex: b.log.index, Leaving: true})
	b.clock.advance(time.Second)
	b.runLoop(b.manager.placeJobs)
	is.Equal(state.CurrentAttempt(b.machine.Job(id)).GetSession(), "s2")
}

// TestNotRepeatableRunsOnce checks that a job that is not repeatable never gets
// a second attempt, whatever is reported.
func TestNotRepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.addVM("w1", nil)
	id := b.submit("team", func(j *statepb.Job) { j.Repeatable = false })
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	preempt := &statepb.Command{Body: &statepb.Command_PreemptJob{PreemptJob: &statepb.PreemptJob{Job: id}}}
	is.Equal(b.apply(preempt).Code, statepb.Code_CODE_REFUSED)
	b.endAttempt(id, statepb.JobState_JOB_STATE_QUEUED, "stopped")
	is.Equal(b.machine.Job(id).State, statepb.JobState_JOB_STATE_UNKNOWN)
}

// TestUrgentPreempts fills the only worker with long jobs. An urgent job of
// another team must get a slot after one job has stopped at a checkpoint.
func TestUrgentPreempts(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 8)
	b.putDocument("other", 8, false)
	b.openSession("s1")
	b.addVM("w1", nil)
	for range 8 {
		b.submit("team", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_LONG })
	}
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(7)) // the last slot is left to urgent work
	first := b.submit("other", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_URGENT })
	second := b.submit("other", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_URGENT })
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.Job(first).State, statepb.JobState_JOB_STATE_RUNNING)
	b.runLoop(b.manager.placeJobs)
	victim := ""
	for _, job := range b.machine.OpenJobs() {
		if job.PreemptRequested {
			is.Equal(victim, "") // only one job is preempted
			victim = job.Id
		}
	}
	b.endAttempt(victim, statepb.JobState_JOB_STATE_QUEUED, "stopped")
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.Job(second).State, statepb.JobState_JOB_STATE_RUNNING)
	is.True(len(b.manager.Reasons().Lines("job", victim)) > 0)
}

// TestLoweredLimitPreempts checks that running jobs above a lowered limit are
// asked to stop.
func TestLoweredLimitPreempts(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 6)
	b.openSession("s1")
	b.addVM("w1", nil)
	for range 6 {
		b.submit("team", nil)
	}
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(6))
	b.putDocument("team", 2, false)
	for range 3 {
		b.clock.advance(time.Second)
		b.renewWithVMs("s1", "w1")
		b.runLoop(b.manager.placeJobs)
	}
	asked := 0
	for _, job := range b.machine.OpenJobs() {
		if job.PreemptRequested {
			asked++
		}
	}
	is.Equal(asked, 4)
}

// TestRetriesOnDifferentWorkers fails a job on each worker that it starts on:
// each attempt must go to another worker.
func TestRetriesOnDifferentWorkers(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.addVM("w1", nil)
	b.addVM("w2", nil)
	b.addVM("w3", nil)
	id := b.submit("team", nil)
	seen := make(map[string]bool)
	for range 3 {
		b.renewWithVMs("s1", "w1", "w2", "w3")
		b.runLoop(b.manager.placeJobs)
		seen[state.CurrentAttempt(b.machine.Job(id)).GetVm()] = true
		b.endAttempt(id, statepb.JobState_JOB_STATE_QUEUED, state.AttemptFailed)
	}
	is.Equal(len(seen), 3)
	is.Equal(state.FailedAttempts(b.machine.Job(id)), uint32(3))
}

// TestExplainWaitsForLimit checks that the explanation of a queued job says
// that the upper limit is reached, and that an unknown kind is an error.
func TestExplainWaitsForLimit(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 1)
	b.openSession("s1")
	b.addVM("w1", nil)
	b.submit("team", nil)
	second := b.submit("team", nil)
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	explained, err := b.manager.Explain(&wirepb.ExplainRequest{Kind: "job", Id: second})
	is.NoErr(err)
	is.True(strings.Contains(strings.Join(explained.Lines, "\n"), "its upper limit is 1"))
	_, err = b.manager.Explain(&wirepb.ExplainRequest{Kind: "planet", Id: second})
	is.True(err != nil)
}

// TestCannotRunIsParked checks that a job that no VM of the pool could run is
// parked with the reason.
func TestCannotRunIsParked(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 4)
	b.openSession("s1")
	b.addVM("w1", &statepb.Resources{Millicores: 4000, MemoryMb: 8000})
	id := b.submit("team", func(j *statepb.Job) { j.Needs = &statepb.Resources{MemoryMb: 9000} })
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	is.Equal(b.machine.Job(id).State, statepb.JobState_JOB_STATE_PARKED)
	explained, err := b.manager.Explain(&wirepb.ExplainRequest{Kind: "job", Id: id})
	is.NoErr(err)
	is.True(len(explained.Lines) >= 2)
}

// TestCancelManyJobs cancels 500 queued and running jobs by one command, which
// is sent again during and after their run.
func TestCancelManyJobs(t *testing.T) {
	is := is.New(t)
	b := newJobTestbed(t, 8)
	b.openSession("s1")
	b.addVM("w1", nil)
	var ids []string
	for range 500 {
		ids = append(ids, b.submit("team", nil))
	}
	b.renewWithVMs("s1", "w1")
	b.runLoop(b.manager.placeJobs)
	running := b.machine.RunningJobs("team")
	is.True(running > 0)
	cancel := &statepb.Command{Body: &statepb.Command_CancelJobs{CancelJobs: &statepb.CancelJobs{Jobs: ids}}}
	b.mustApply(cancel)
	b.mustApply(cancel)
	open := b.machine.OpenJobs()
	is.Equal(uint32(len(open)), running) // those that run are asked to stop
	for _, job := range open {
		b.endAttempt(job.Id, statepb.JobState_JOB_STATE_QUEUED, "stopped")
		is.Equal(b.machine.Job(job.Id).State, statepb.JobState_JOB_STATE_CANCELLED)
	}
	b.mustApply(cancel)
	is.Equal(len(b.machine.OpenJobs()), 0)
}

// BenchmarkPlaceJobs10000 measures a step of the leader over 10,000 queued jobs
// when no worker can take any.
func BenchmarkPlaceJobs10000(bench *testing.B) {
	b := newTestbed(bench)
	b.clock.wall = time.Now()
	b.clock.mono = time.Now()
	b.addPool("p")
	b.openSession("s1")
	var vms []string
	for i := range 50 {
		vms = append(vms, fmt.Sprintf("w%d", i))
		b.addVM(vms[i], nil)
	}
	for i := range 5 {
		b.putDocument(fmt.Sprintf("team-%d", i), 100, false)
	}
	for i := range 10_000 {
		b.submit(fmt.Sprintf("team-%d", i%5), nil)
	}
	for bench.Loop() {
		b.clock.advance(unchangedRoundInterval)
		b.renew("s1")
		b.runLoop(b.manager.placeJobs)
	}
}
