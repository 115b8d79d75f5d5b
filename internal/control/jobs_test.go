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

// hear renews a session that hears the VMs.
func (b *bench) hear(session string, vms ...string) {
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

func (b *bench) end(job string, to statepb.JobState, outcome string) {
	b.must(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: b.attempt(job), State: to, Outcome: outcome,
	}}})
}

func (b *bench) attempt(job string) uint32 {
	return state.CurrentAttempt(b.machine.Job(job)).GetNumber()
}

func newJobBench(t *testing.T, limit uint32) *bench {
	b := newBench(t)
	b.clock.wall = time.Now()
	b.clock.mono = time.Now()
	b.pool("p")
	b.document("team", limit, false)
	return b
}

// TestTakeOver expires the driver of a running attempt: another session that
// hears the VM takes it over; no second attempt starts.
func TestTakeOver(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.open("s2")
	b.vm("w1", nil)
	id := b.submit("team", nil)
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	is.Equal(state.CurrentAttempt(b.machine.Job(id)).GetSession(), "s1")
	b.clock.advance(testLease)
	b.hear("s2", "w1")
	b.clock.advance(testLease / 2)
	b.hear("s2", "w1")
	b.step(b.manager.expireSessions)
	is.True(b.machine.Session("s1").ExpiredUnixMs != 0)
	b.step(b.manager.placeJobs)
	current := state.CurrentAttempt(b.machine.Job(id))
	is.Equal(current.GetSession(), "s2")
	is.Equal(current.GetNumber(), uint32(1))
	is.Equal(current.GetTakeovers(), uint32(1))
}

// TestOrphanEndsSurelyOver has nobody to take the attempt over: it counts
// until the driver's grace and the task lease are over on the leader's clock.
func TestOrphanEndsSurelyOver(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.vm("w1", nil)
	repeatable := b.submit("team", nil)
	once := b.submit("team", func(j *statepb.Job) { j.Repeatable = false })
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(2))
	b.expire("s1")
	b.clock.advance(attemptOverAfter - time.Second)
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(2))
	b.clock.advance(2 * time.Second)
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.Job(repeatable).State, statepb.JobState_JOB_STATE_QUEUED)
	is.Equal(b.machine.Job(once).State, statepb.JobState_JOB_STATE_UNKNOWN)
}

// TestLeavingHandsOver hands attempts over as soon as their driver shuts down.
func TestLeavingHandsOver(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.open("s2")
	b.vm("w1", nil)
	id := b.submit("team", nil)
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	b.hear("s2", "w1")
	b.manager.Renew(t.Context(), &wirepb.RenewRequest{Session: "s1", AppliedIndex: b.log.index, Leaving: true})
	b.clock.advance(time.Second)
	b.step(b.manager.placeJobs)
	is.Equal(state.CurrentAttempt(b.machine.Job(id)).GetSession(), "s2")
}

// TestNotRepeatableRunsOnce never gets a second attempt, whatever is reported.
func TestNotRepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.vm("w1", nil)
	id := b.submit("team", func(j *statepb.Job) { j.Repeatable = false })
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	preempt := &statepb.Command{Body: &statepb.Command_PreemptJob{PreemptJob: &statepb.PreemptJob{Job: id}}}
	is.Equal(b.apply(preempt).Code, statepb.Code_CODE_REFUSED)
	b.end(id, statepb.JobState_JOB_STATE_QUEUED, "stopped")
	is.Equal(b.machine.Job(id).State, statepb.JobState_JOB_STATE_UNKNOWN)
}

// TestUrgentPreempts fills the only worker with long jobs: an urgent job of
// another team gets a slot after one checkpoint.
func TestUrgentPreempts(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 8)
	b.document("other", 8, false)
	b.open("s1")
	b.vm("w1", nil)
	for range 8 {
		b.submit("team", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_LONG })
	}
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(7)) // the last slot is left to urgent work
	first := b.submit("other", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_URGENT })
	second := b.submit("other", func(j *statepb.Job) { j.Class = statepb.Class_CLASS_URGENT })
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.Job(first).State, statepb.JobState_JOB_STATE_RUNNING)
	b.step(b.manager.placeJobs)
	victim := ""
	for _, job := range b.machine.OpenJobs() {
		if job.PreemptRequested {
			is.Equal(victim, "") // one is enough
			victim = job.Id
		}
	}
	b.end(victim, statepb.JobState_JOB_STATE_QUEUED, "stopped")
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.Job(second).State, statepb.JobState_JOB_STATE_RUNNING)
	is.True(len(b.manager.Reasons().Lines("job", victim)) > 0)
}

// TestLoweredLimitPreempts brings running jobs down to a lowered limit.
func TestLoweredLimitPreempts(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 6)
	b.open("s1")
	b.vm("w1", nil)
	for range 6 {
		b.submit("team", nil)
	}
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.RunningJobs("team"), uint32(6))
	b.document("team", 2, false)
	for range 3 {
		b.clock.advance(time.Second)
		b.hear("s1", "w1")
		b.step(b.manager.placeJobs)
	}
	asked := 0
	for _, job := range b.machine.OpenJobs() {
		if job.PreemptRequested {
			asked++
		}
	}
	is.Equal(asked, 4)
}

// TestParkedAfterDifferentWorkers fails a job on each worker it is given.
func TestParkedAfterDifferentWorkers(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.vm("w1", nil)
	b.vm("w2", nil)
	b.vm("w3", nil)
	id := b.submit("team", nil)
	seen := make(map[string]bool)
	for range 3 {
		b.hear("s1", "w1", "w2", "w3")
		b.step(b.manager.placeJobs)
		seen[state.CurrentAttempt(b.machine.Job(id)).GetVm()] = true
		b.end(id, statepb.JobState_JOB_STATE_QUEUED, state.AttemptFailed)
	}
	is.Equal(len(seen), 3)
	is.Equal(state.FailedAttempts(b.machine.Job(id)), uint32(3))
}

// TestExplainWaitsForLimit tells a queued job's caller that the limit is used up.
func TestExplainWaitsForLimit(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 1)
	b.open("s1")
	b.vm("w1", nil)
	b.submit("team", nil)
	second := b.submit("team", nil)
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	explained, err := b.manager.Explain(&wirepb.ExplainRequest{Kind: "job", Id: second})
	is.NoErr(err)
	is.True(strings.Contains(strings.Join(explained.Lines, "\n"), "its upper limit is 1"))
	_, err = b.manager.Explain(&wirepb.ExplainRequest{Kind: "planet", Id: second})
	is.True(err != nil)
}

// TestCannotRunIsParked takes a job that no VM of the pool could run out of
// the queue, with the reason.
func TestCannotRunIsParked(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 4)
	b.open("s1")
	b.vm("w1", &statepb.Resources{Millicores: 4000, MemoryMb: 8000})
	id := b.submit("team", func(j *statepb.Job) { j.Needs = &statepb.Resources{MemoryMb: 9000} })
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	is.Equal(b.machine.Job(id).State, statepb.JobState_JOB_STATE_PARKED)
	explained, err := b.manager.Explain(&wirepb.ExplainRequest{Kind: "job", Id: id})
	is.NoErr(err)
	is.True(len(explained.Lines) >= 2)
}

// TestCancelWave cancels hundreds of jobs before, during and after their run
// by one command, sent twice.
func TestCancelWave(t *testing.T) {
	is := is.New(t)
	b := newJobBench(t, 8)
	b.open("s1")
	b.vm("w1", nil)
	var ids []string
	for range 500 {
		ids = append(ids, b.submit("team", nil))
	}
	b.hear("s1", "w1")
	b.step(b.manager.placeJobs)
	running := b.machine.RunningJobs("team")
	is.True(running > 0)
	cancel := &statepb.Command{Body: &statepb.Command_CancelJobs{CancelJobs: &statepb.CancelJobs{Jobs: ids}}}
	b.must(cancel)
	b.must(cancel)
	open := b.machine.OpenJobs()
	is.Equal(uint32(len(open)), running) // those that run are asked to stop
	for _, job := range open {
		b.end(job.Id, statepb.JobState_JOB_STATE_QUEUED, "stopped")
		is.Equal(b.machine.Job(job.Id).State, statepb.JobState_JOB_STATE_CANCELLED)
	}
	b.must(cancel)
	is.Equal(len(b.machine.OpenJobs()), 0)
}

// BenchmarkPlaceJobs10000 is a step of the leader over 10,000 queued jobs when
// every worker is full.
func BenchmarkPlaceJobs10000(bench *testing.B) {
	b := newBench(bench)
	b.clock.wall = time.Now()
	b.clock.mono = time.Now()
	b.pool("p")
	b.open("s1")
	var vms []string
	for i := range 50 {
		vms = append(vms, fmt.Sprintf("w%d", i))
		b.vm(vms[i], nil)
	}
	for i := range 5 {
		b.document(fmt.Sprintf("team-%d", i), 100, false)
	}
	for i := range 10_000 {
		b.submit(fmt.Sprintf("team-%d", i%5), nil)
	}
	for bench.Loop() {
		b.clock.advance(idleRoundAfter)
		b.renew("s1")
		b.step(b.manager.placeJobs)
	}
}
