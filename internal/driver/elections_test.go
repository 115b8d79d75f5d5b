package driver_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

const (
	// electionTime is the longest election timeout of a core: how long a cluster has no leader
	// after it has lost one.
	electionTime = time.Second
	// electionsFor is how long leaders are lost in turn.
	electionsFor = time.Minute
	// modelSettled is when a leader has read the platform's list and knows all VMs.
	modelSettled = 10 * time.Second
	// awaitLimit is when a wait counts as endless.
	awaitLimit = 5 * time.Minute

	// modelDiscovery is when a leader has heard from all targets, and modelSilence when it notices
	// that a target is silent: the driver's own bounds.
	modelDiscovery, modelSilence = 5 * time.Second, 3 * modelAnnounceInterval
	// modelLeaseBound is when a lease has lapsed by a clock that is 2% slow, and modelLateBound how
	// long a call without an answer may still take effect: the driver's own bounds.
	modelLeaseBound, modelLateBound = 6500 * time.Millisecond, 15 * time.Second
	// waveDuration is the duration of the waves of the users' sites.
	waveDuration = 26 * time.Second
	// silentBound is when a task of a target that is lost has certainly ended: its last call may take
	// effect late, then its lease lapses; one election is borne.
	silentBound = modelLateBound + modelLeaseBound + modelSilence + electionTime
)

// noElections is the interval of a history without elections.
const noElections = time.Duration(0)

// twice is the bound of what a leader does within own, if a leader may be lost at any moment: one
// that is lost just before costs an election and the same time again.
func twice(own time.Duration) time.Duration { return 2*own + electionTime }

// inSeconds returns times between the losses of two leaders; 0 is noElections.
func inSeconds(seconds ...int) []time.Duration {
	var out []time.Duration
	for _, s := range seconds {
		out = append(out, time.Duration(s)*time.Second)
	}
	return out
}

// loseLeader ends the leadership. The next one begins after an election.
func (r *modelRig) loseLeader() {
	r.store.setLeader(nil)
	time.Sleep(electionTime)
	r.changeLeader(0)
}

// loseLeaders loses a leader each interval, the first one now, for a time.
func (r *modelRig) loseLeaders(interval, length time.Duration) {
	if interval == noElections {
		return
	}
	r.running.Go(func() {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(interval - electionTime) {
			r.loseLeader()
		}
	})
}

// besideElections plays a history once for each interval.
func besideElections(t *testing.T, vms []modelVM, intervals []time.Duration, history func(t *testing.T, r *modelRig, interval time.Duration)) {
	t.Helper()
	for _, interval := range intervals {
		t.Run(fmt.Sprint(interval), func(t *testing.T) {
			inModelOf(t, vms, func(t *testing.T, r *modelRig) {
				time.Sleep(modelSettled)
				history(t, r, interval)
			})
		})
	}
}

// inOnePool describes VMs of the first pool.
func inOnePool(n int) []modelVM {
	vms := make([]modelVM, n)
	for i := range vms {
		vms[i].pool = modelPools[0]
	}
	return vms
}

// holdsWithin fails the test unless a condition holds within a bound from a time on.
func holdsWithin(t *testing.T, what string, since time.Time, bound time.Duration, holds func() bool) {
	t.Helper()
	const poll = 10 * time.Millisecond
	for !holds() {
		if time.Since(since) > awaitLimit {
			t.Errorf("%s: not within %s, %s are allowed", what, awaitLimit, bound)
			return
		}
		time.Sleep(poll)
	}
	if took := time.Since(since); took > bound {
		t.Errorf("%s: after %s, %s are allowed", what, took, bound)
	}
}

// done reports whether a job is done.
func (r *modelRig) done(id string) func() bool {
	return func() bool { return len(r.unfinished([]string{id})) == 0 }
}

// declareWave declares a wave that takes VMs down one after the other.
func (r *modelRig) declareWave(duration time.Duration, vms ...string) *pb.Wave {
	return r.declareWaveAs(1, duration, vms...)
}

// declareWaveAs is declareWave with an id. It sends the wave until a leader accepts it.
func (r *modelRig) declareWaveAs(id uint64, duration time.Duration, vms ...string) *pb.Wave {
	const retryPause = 50 * time.Millisecond
	wave := &pb.Wave{Id: id, Vms: vms, DurationMs: duration.Milliseconds(), Cap: 1}
	r.fleet.SetWave(wave.Id, wave.Vms)
	request := &pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave}
	for r.serve(request).Answer != pb.Answer_ANSWER_OK {
		time.Sleep(retryPause)
	}
	return wave
}

// complete reports whether a wave is complete.
func (r *modelRig) complete(wave *pb.Wave) func() bool {
	return func() (complete bool) {
		r.store.machine.View(func(v *workflow.View) { complete = workflow.WaveComplete(v.Wave(wave.Id)) })
		return complete
	}
}

// waveEnds fails the test unless a wave ends in its duration, and only once the maintenance of the
// VMs that stay has begun.
func waveEnds(t *testing.T, r *modelRig, wave *pb.Wave, declared time.Time, stays ...string) {
	t.Helper()
	holdsWithin(t, "wave", declared, waveDuration, r.complete(wave))
	for _, vm := range stays {
		if r.complete(wave)() && !r.fleet.HasBegun(vm, wave.Id) {
			t.Errorf("the wave is complete before the maintenance of %s has begun", vm)
		}
	}
}

// idleWave takes idle VMs down.
func idleWave(t *testing.T, r *modelRig, interval time.Duration) {
	declared := time.Now()
	wave := r.declareWave(waveDuration, "vm0", "vm1", "vm2")
	r.loseLeaders(interval, electionsFor)
	waveEnds(t, r, wave, declared, wave.Vms...)
}

// busyWave takes VMs down on which tasks run that end much later.
func busyWave(t *testing.T, r *modelRig, interval time.Duration) {
	r.submit(modelPools[0], "j", longWork, false, 16)
	time.Sleep(time.Second)
	declared := time.Now()
	wave := r.declareWave(waveDuration, "vm0", "vm1", "vm2")
	r.loseLeaders(interval, electionsFor)
	waveEnds(t, r, wave, declared, wave.Vms...)
}

// waveOfWithdrawn declares a wave with a VM that no longer exists: two lists are without it.
func waveOfWithdrawn(t *testing.T, r *modelRig, interval time.Duration) {
	r.fleet.Withdraw("vm0")
	declared := time.Now()
	wave := r.declareWave(waveDuration, "vm0", "vm1")
	r.loseLeaders(interval, electionsFor)
	waveEnds(t, r, wave, declared, "vm1")
}

// withdrawnInMaintenance withdraws the VM of a wave during its maintenance.
func withdrawnInMaintenance(t *testing.T, r *modelRig, interval time.Duration) {
	declared := time.Now()
	wave := r.declareWave(waveDuration, "vm0")
	holdsWithin(t, "maintenance begins", declared, waveDuration, func() bool { return r.fleet.HasBegun("vm0", wave.Id) })
	r.fleet.Withdraw("vm0")
	r.loseLeaders(interval, electionsFor)
	waveEnds(t, r, wave, declared)
}

// restingWave takes VMs of a resting pool down: no target announces their return.
func restingWave(t *testing.T, r *modelRig, interval time.Duration) {
	const pool = "spare"
	r.fleet.SetResting(pool)
	r.serve(&pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: 2, Pools: []*pb.Pool{{Name: modelPools[0], Guarded: true}, {Name: pool, Resting: true}},
		Queues: []*pb.Queue{modelQueue(modelPools[0])},
	}})
	r.fleet.AddVM("rest0", pool, 1)
	r.fleet.AddVM("rest1", pool, 1)
	time.Sleep(modelSettled)
	declared := time.Now()
	wave := r.declareWave(waveDuration, "rest0", "rest1")
	r.loseLeaders(interval, electionsFor)
	waveEnds(t, r, wave, declared, wave.Vms...)
}

// unplaceable submits a job that no VM can run.
func unplaceable(t *testing.T, r *modelRig, interval time.Duration) {
	r.loseLeaders(interval, electionsFor)
	time.Sleep(2 * electionTime)
	submitted := time.Now()
	r.submitLabelled("never", "no VM has it")
	holdsWithin(t, "the job fails", submitted, twice(modelDiscovery), r.failed("never"))
}

// failed reports whether a job has failed.
func (r *modelRig) failed(id string) func() bool {
	return func() bool {
		state, _ := r.jobState(id)
		return state == pb.JobState_JOB_STATE_FAILED
	}
}

// silentTarget cuts a target off that runs a short task.
func silentTarget(t *testing.T, r *modelRig, interval time.Duration) {
	task := r.submitOne("j", 10*time.Second)
	vm := r.awaitRun(t, task)
	time.Sleep(2 * time.Second)
	r.setMuted(vm, true)
	r.fleet.CutOff(vm, true)
	lost := time.Now()
	r.loseLeaders(interval, electionsFor)
	holdsWithin(t, "the task runs elsewhere", lost, silentBound, r.runsBeside(task, vm))
}

// runsBeside reports whether a task runs on another VM.
func (r *modelRig) runsBeside(task workflow.TaskID, vm string) func() bool {
	return func() bool {
		return slices.ContainsFunc(r.fleet.RunsOn(task), func(on string) bool { return on != vm })
	}
}

// deafTarget loses all calls to a target, which goes on to announce itself.
func deafTarget(t *testing.T, r *modelRig, interval time.Duration) {
	const pause = time.Second
	r.fleet.CutOff("vm0", true)
	r.loseLeaders(interval, electionsFor)
	var waits sync.WaitGroup
	for i := range int(electionsFor / pause) {
		id := fmt.Sprintf("j%d", i)
		r.submit(modelPools[0], id, 100*time.Millisecond, false, 2)
		submitted := time.Now()
		waits.Go(func() { holdsWithin(t, id, submitted, silentBound, r.done(id)) })
		time.Sleep(pause)
	}
	waits.Wait()
}

// deregisteredTarget withdraws a VM whose target, as it has announced, ends while it runs a task.
func deregisteredTarget(t *testing.T, r *modelRig, interval time.Duration) {
	const drain = 1200 * time.Millisecond
	task := r.submitOne("j", 10*time.Second)
	vm := r.awaitRun(t, task)
	r.fleet.Leave(vm, drain, 0, false, r.deregister(vm, false))
	time.Sleep(drain + 10*time.Millisecond)
	r.fleet.Withdraw(vm)
	lost := time.Now()
	r.loseLeaders(interval, electionsFor)
	holdsWithin(t, "the task runs elsewhere", lost, silentBound, r.runsBeside(task, vm))
}

// deregisteredKind withdraws the only VM that can run a job, after its target has ended as announced.
// The job is submitted once the VM no longer counts as one that may come back.
func deregisteredKind(t *testing.T, r *modelRig, interval time.Duration) {
	const drain, kindMemory = 1200 * time.Millisecond, time.Minute
	r.fleet.Leave("vm2", drain, 0, false, r.deregister("vm2", false))
	time.Sleep(drain + 100*time.Millisecond)
	r.fleet.Withdraw("vm2")
	if interval != noElections {
		r.loseLeader()
	}
	time.Sleep(kindMemory + modelDiscovery)
	submitted := time.Now()
	r.submitLabelled("j", "rare")
	holdsWithin(t, "the job fails", submitted, twice(modelDiscovery), r.failed("j"))
}

// replacedKind replaces the only VM that can run a job by another one, within a minute.
func replacedKind(t *testing.T, r *modelRig, interval time.Duration) {
	const drain, away, settle = 1200 * time.Millisecond, 20 * time.Second, 3 * time.Second
	r.fleet.Leave("vm2", drain, 0, false, r.deregister("vm2", false))
	time.Sleep(drain + 100*time.Millisecond)
	r.fleet.RemoveVM("vm2")
	time.Sleep(settle)
	r.loseLeaders(interval, electionsFor)
	time.Sleep(2 * electionTime)
	r.submitLabelled("j", "rare")
	time.Sleep(away)
	r.fleet.AddVM("vm3", modelPools[0], 1)
	r.fleet.SetLabels("vm3", "rare", "rack")
	holdsWithin(t, "the job is done", time.Now(), twice(settle), r.done("j"))
}

// withRareVM describes VMs of which only the last has a label.
func withRareVM() []modelVM {
	return append(inOnePool(2), modelVM{pool: modelPools[0], labels: []string{"rare", "rack"}})
}

// stalledRun lets a run stop to make progress.
func stalledRun(t *testing.T, r *modelRig, interval time.Duration) {
	// A run counts as stalled after 2.2 s and 0.3 times its run time; a listing may be 1.5 s old.
	const work, stalled = time.Second, 2500*time.Millisecond + 1500*time.Millisecond
	for _, vm := range []string{"vm0", "vm1"} {
		r.fleet.SetRunFault(vm, standin.RunsStall)
	}
	r.awaitRun(t, r.submitOne("j", work))
	for _, vm := range []string{"vm0", "vm1"} {
		r.fleet.SetRunFault(vm, standin.RunsWell)
	}
	began := time.Now()
	r.loseLeaders(interval, electionsFor)
	holdsWithin(t, "the task is done elsewhere", began, twice(stalled)+modelKillGrace+work, r.done("j"))
}

// lastingWithoutRoom submits lasting tasks while the pool is full of tasks that end much later.
func lastingWithoutRoom(t *testing.T, r *modelRig, interval time.Duration) {
	const pause = 4 * time.Second
	r.submit(modelPools[0], "j", electionsFor, false, 8)
	time.Sleep(time.Second)
	r.loseLeaders(interval, electionsFor)
	time.Sleep(2 * electionTime)
	for i := range 4 {
		id := fmt.Sprintf("lasting%d", i)
		r.submitLastingUntilAccepted(id)
		holdsWithin(t, id, time.Now(), maxLastingAway, func() bool { return len(r.fleet.RunsOn(workflow.TaskID{Job: id})) > 0 })
		time.Sleep(pause)
	}
}

// submitLastingUntilAccepted submits a job of one lasting task until it is accepted.
func (r *modelRig) submitLastingUntilAccepted(id string) {
	job := &pb.Job{Id: id, Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, Lasting: true}}}
	r.fleet.Submitted(job, time.Hour, false)
	for r.serve(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/" + modelPools[0] + "/" + id, Job: proto.CloneOf(job)}).Answer != pb.Answer_ANSWER_OK {
		time.Sleep(100 * time.Millisecond)
	}
}

// adviceTakes is how long slowAdvice takes to answer.
const adviceTakes = 2500 * time.Millisecond

// slowAdvice allows every target.
type slowAdvice struct{}

// Advise implements driver.AdviceClient.
func (slowAdvice) Advise(ctx context.Context, _ workflow.TaskID, targets []string) (driver.Advice, error) {
	select {
	case <-time.After(adviceTakes):
	case <-ctx.Done():
		return driver.Advice{}, ctx.Err()
	}
	advice := driver.Advice{Tickets: make(map[string]string), ValidFor: 10 * time.Second}
	for _, target := range targets {
		advice.Tickets[target] = "ticket"
	}
	return advice, nil
}

// advisedJob submits a job to a queue whose advice is slow.
func advisedJob(t *testing.T, r *modelRig, interval time.Duration) {
	r.advice = slowAdvice{}
	r.changeLeader(0)
	queue := modelQueue(modelPools[0])
	queue.Advised = true
	r.serve(&pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: 2, Pools: []*pb.Pool{{Name: modelPools[0], Guarded: true}}, Queues: []*pb.Queue{queue},
	}})
	r.loseLeaders(interval, electionsFor)
	time.Sleep(2 * electionTime)
	submitted := time.Now()
	r.submit(modelPools[0], "j", 100*time.Millisecond, false, 1)
	holdsWithin(t, "the job is done", submitted, twice(adviceTakes+modelAnnounceInterval), r.done("j"))
}

// TestWaveHeldUpByElections takes idle VMs down; the bound is the wave's duration.
func TestWaveHeldUpByElections(t *testing.T) {
	besideElections(t, inOnePool(4), inSeconds(0, 3, 5, 8, 12), idleWave)
}

// TestBusyWaveHeldUpByElections takes VMs with long tasks down; the bound is the wave's duration.
func TestBusyWaveHeldUpByElections(t *testing.T) {
	besideElections(t, inOnePool(4), inSeconds(0, 8, 12), busyWave)
}

// TestWaveHeldUpByWithdrawnVM has a VM that is gone for good; the bound is the wave's duration.
func TestWaveHeldUpByWithdrawnVM(t *testing.T) {
	besideElections(t, inOnePool(3), inSeconds(0, 8, 12), waveOfWithdrawn)
}

// TestWaveHeldUpByVMLostInMaintenance withdraws a VM that is down; the bound is the wave's duration.
func TestWaveHeldUpByVMLostInMaintenance(t *testing.T) {
	besideElections(t, inOnePool(3), inSeconds(0, 5, 8, 12), withdrawnInMaintenance)
}

// TestWaveHeldUpByRestingVM takes VMs of a resting pool down; the bound is the wave's duration.
func TestWaveHeldUpByRestingVM(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(0, 5, 8, 12), restingWave)
}

// TestMoveLostInElection loses leaders while a VM moves. The bound is that of two moves, each after a
// list of VMs that may be 2 s old, and one election.
func TestMoveLostInElection(t *testing.T) {
	const moves = 2*time.Second + modelVMMove + 2*modelAnnounceInterval
	for name, rule := range map[string]fateRule{
		"answered":    {kind: standin.CallMove, times: 1},
		"no answer":   {kind: standin.CallMove, times: 1, fate: standin.ModelFate{Unanswered: true}},
		"late order":  {kind: standin.CallMove, times: 1, fate: late(2 * time.Second)},
		"slow lists":  {kind: standin.CallList, fate: standin.ModelFate{AnswerAfter: 1500 * time.Millisecond}},
		"lost orders": {kind: standin.CallMove, times: 2, fate: standin.ModelFate{Unanswered: true, Lost: true}},
	} {
		t.Run(name, func(t *testing.T) {
			besideElections(t, inOnePool(2), inSeconds(0, 3, 5, 8, 12), func(t *testing.T, r *modelRig, interval time.Duration) {
				r.fleet.SetFate(fates(rule))
				submitted := time.Now()
				r.submit(modelPools[1], "j", 100*time.Millisecond, false, 1)
				time.Sleep(500 * time.Millisecond)
				r.loseLeaders(interval, electionsFor)
				holdsWithin(t, "the job is done", submitted, twice(moves), r.done("j"))
			})
		})
	}
}

// TestTargetRestartedInElection restarts a target, which has lost its task, while there is no leader.
// The bound is twice that of one leader: an announcement, the stop of the former run, and the task.
func TestTargetRestartedInElection(t *testing.T) {
	const work, restart = 2 * time.Second, 500 * time.Millisecond
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprintf("same id %t", sameID), func(t *testing.T) {
			besideElections(t, inOnePool(2), inSeconds(0, 3, 5, 8, 12), func(t *testing.T, r *modelRig, interval time.Duration) {
				vm := r.awaitRun(t, r.submitOne("j", work))
				began := time.Now()
				r.loseLeaders(interval, electionsFor)
				r.fleet.Restart(vm, restart, sameID)
				holdsWithin(t, "the job is done", began, twice(restart+modelAnnounceInterval+modelKillGrace+work), r.done("j"))
			})
		})
	}
}

// TestJobsWaitBesideElections submits jobs of two steps to a pool with room. The bound is the 3 s for
// which users let a job have nothing running, its work, and one election.
func TestJobsWaitBesideElections(t *testing.T) {
	const work, pause, idle = 300 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second
	besideElections(t, inOnePool(3), inSeconds(0, 3, 5, 8, 12), func(t *testing.T, r *modelRig, interval time.Duration) {
		r.loseLeaders(interval, electionsFor)
		var waits sync.WaitGroup
		for i := range int(electionsFor / pause) {
			id := fmt.Sprintf("j%d", i)
			r.submit(modelPools[0], id, work, false, 2, 2)
			submitted := time.Now()
			waits.Go(func() { holdsWithin(t, id, submitted, idle+2*work+electionTime, r.done(id)) })
			time.Sleep(pause)
		}
		waits.Wait()
	})
}

// TestLostCauseKeptBesideElections submits a job that no VM can run. The bound is that of two leaders,
// 5 s each until they know all VMs, and one election.
func TestLostCauseKeptBesideElections(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(0, 8, 12), unplaceable)
}

// TestStalledRunKeptBesideElections lets a run make no progress. The bound is that of two leaders, by
// the driver's limits for stalled runs, and one election.
func TestStalledRunKeptBesideElections(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(0, 5, 8, 12), stalledRun)
}

// TestLastingTaskWaitsForRoomBesideElections has to stop other tasks for lasting ones. The bound is
// the 9 s for which users let a lasting task be away.
func TestLastingTaskWaitsForRoomBesideElections(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(0, 5, 8, 12), lastingWithoutRoom)
}

// TestAdviceLostInElection has advice that takes 2.5 s. The bound is that of two leaders and one election.
func TestAdviceLostInElection(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(0, 5, 8, 12), advisedJob)
}

// TestJobOfReplacedVMFailed replaces the only VM that can run a job: users let no job fail that can
// be done. The VM is away for less than the driver's own minute.
func TestJobOfReplacedVMFailed(t *testing.T) {
	besideElections(t, withRareVM(), inSeconds(0, 3, 5), replacedKind)
}

// TestLostTargetKeepsItsTask loses targets in three ways without elections. The bound is that of the
// driver's waits for a late call and for the lease.
func TestLostTargetKeepsItsTask(t *testing.T) {
	for name, history := range map[string]func(*testing.T, *modelRig, time.Duration){
		"silent": silentTarget, "deaf": deafTarget, "deregistered": deregisteredTarget,
	} {
		t.Run(name, func(t *testing.T) { besideElections(t, inOnePool(2), inSeconds(0), history) })
	}
}

// TestWithdrawnVMKeepsJobs withdraws the only VM that can run a job, for longer than the minute after
// which it is forgotten. The bound is that of TestLostCauseKeptBesideElections.
func TestWithdrawnVMKeepsJobs(t *testing.T) {
	besideElections(t, withRareVM(), inSeconds(0), deregisteredKind)
}

// TestDrainTimedAnewByEachLeader is TestBusyWaveHeldUpByElections with leaders that are lost sooner
// than a drain ends.
func TestDrainTimedAnewByEachLeader(t *testing.T) {
	besideElections(t, inOnePool(4), inSeconds(3, 5), busyWave)
}

// TestListsWithoutVMCountedAnew is TestWaveHeldUpByWithdrawnVM with leaders that are lost sooner than
// they have read two lists.
func TestListsWithoutVMCountedAnew(t *testing.T) {
	besideElections(t, inOnePool(3), inSeconds(3, 5), waveOfWithdrawn)
}

// TestReturnOfVMAwaitedAnew is TestWaveHeldUpByVMLostInMaintenance with leaders that are lost sooner
// than they give up to wait for the VM.
func TestReturnOfVMAwaitedAnew(t *testing.T) {
	besideElections(t, inOnePool(3), inSeconds(3), withdrawnInMaintenance)
}

// TestMaintenanceOfRestingVMTimedAnew is TestWaveHeldUpByRestingVM with leaders that are lost sooner
// than the maintenance ends.
func TestMaintenanceOfRestingVMTimedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3), restingWave)
}

// TestDiscoveryStartsAnew is TestLostCauseKeptBesideElections with leaders that are lost sooner than
// they know all VMs.
func TestDiscoveryStartsAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3, 5), unplaceable)
}

// TestStallTimedAnew is TestStalledRunKeptBesideElections with leaders that are lost sooner than a run
// counts as stalled.
func TestStallTimedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3), stalledRun)
}

// TestWaitForRoomTimedAnew is TestLastingTaskWaitsForRoomBesideElections with leaders that are lost as
// soon as the wait is over.
func TestWaitForRoomTimedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3), lastingWithoutRoom)
}

// TestAdviceAskedAnew is TestAdviceLostInElection with leaders that are lost sooner than advice comes.
func TestAdviceAskedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3), advisedJob)
}

// TestSilentTargetsTaskAwaitedAnew cuts a target off that runs a short task. The bound is that of the
// driver's waits for a late call and for the lease, from the cut on, and one election.
func TestSilentTargetsTaskAwaitedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3, 5, 8, 12), silentTarget)
}

// TestDeafTargetsTasksAwaitedAnew loses all calls to a target that announces itself. The bound is that
// of TestSilentTargetsTaskAwaitedAnew, from the submission on.
func TestDeafTargetsTasksAwaitedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3, 5, 8, 12), deafTarget)
}

// TestDeregisteredTargetsTaskAwaitedAnew lets a target end as announced, and its VM with it. The bound
// is that of TestSilentTargetsTaskAwaitedAnew.
func TestDeregisteredTargetsTaskAwaitedAnew(t *testing.T) {
	besideElections(t, inOnePool(2), inSeconds(3, 5, 8, 12), deregisteredTarget)
}

// TestDeregisteredTargetStaysRegistered is TestWithdrawnVMKeepsJobs with a leader that is lost before it
// has removed the target.
func TestDeregisteredTargetStaysRegistered(t *testing.T) {
	besideElections(t, withRareVM(), inSeconds(3), deregisteredKind)
}

// TestAbsentVMForgottenByNextLeader is TestJobOfReplacedVMFailed with leaders that last until they
// decide on the job.
func TestAbsentVMForgottenByNextLeader(t *testing.T) {
	besideElections(t, withRareVM(), inSeconds(8, 12), replacedKind)
}

// TestLateStartBeforeLateStop restarts a target under its id after a task has ended there as done. A
// call of its start and the stop that is to refuse it are under way, and the start arrives first.
func TestLateStartBeforeLateStop(t *testing.T) {
	const plays = 20
	tenths := func(n int) time.Duration { return time.Duration(n) * 100 * time.Millisecond }
	p := modelPlan{
		Seed: 166, VMs: []modelVM{{pool: modelPools[0], slow: true}, {pool: modelPools[1]}}, KillGrace: tenths(3), Elections: tenths(78),
		Behaviour: standin.ModelBehaviour{LateGrantsShift: true},
		Jobs: []modelJob{
			{At: tenths(174), Pool: modelPools[1], Work: tenths(13), Tasks: []uint32{4}},
			{At: tenths(1), Pool: modelPools[0], Work: tenths(1), Tasks: []uint32{2, 2}},
		},
		Faults: []modelFault{
			{At: tenths(19), Kind: faultWave, VM: 1, For: tenths(26)},
			{At: tenths(11), Kind: faultLate, VM: 0, For: tenths(71), SameID: true},
			{At: tenths(5), Kind: faultWave, VM: 0, For: tenths(88), Lost: true, SameID: true},
			{At: tenths(1), Kind: faultNoAnswer, VM: 0, For: tenths(62)},
			{At: tenths(1), Kind: faultNoAnswer, VM: 0, For: tenths(98)},
			{At: tenths(21), Kind: faultLate, VM: 1, For: tenths(57), Lost: true, SameID: true},
			{At: tenths(59), Kind: faultRestart, VM: 0, For: tenths(29), SameID: true},
			{At: tenths(249), Kind: faultNoAnswer, VM: 1, Lost: true, SameID: true},
		},
	}
	for range plays {
		if result := playPlan(t, p); len(result.violations) > 0 {
			t.Fatal(result.violations[0])
		}
	}
}

// TestWavesWithCommonVMs declares three waves of the same VMs, in each order of their numbers, while the
// VMs are away for the wave before. A complete wave whose VMs have not begun their maintenance for it
// breaks the users' rule MIXED. Each wave ends in its own duration.
func TestWavesWithCommonVMs(t *testing.T) {
	for _, ids := range [][]uint64{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
		t.Run(fmt.Sprint(ids), func(t *testing.T) {
			besideElections(t, inOnePool(3), inSeconds(0, 8), func(t *testing.T, r *modelRig, interval time.Duration) {
				r.loseLeaders(interval, electionsFor)
				for _, id := range ids {
					declared, wave := time.Now(), r.declareWaveAs(id, waveDuration, "vm0", "vm1")
					r.running.Go(func() { waveEnds(t, r, wave, declared, wave.Vms...) })
					time.Sleep(modelVMMaintenance / 2)
				}
				time.Sleep(awaitLimit)
			})
		})
	}
}

// TestWaveEndedByMaintenanceOfAnother has a VM in two waves: its maintenance in the second one does not
// count for the first. A complete wave whose VMs have not begun theirs breaks the users' rule MIXED.
func TestWaveEndedByMaintenanceOfAnother(t *testing.T) {
	besideElections(t, inOnePool(3), inSeconds(0, 8), func(t *testing.T, r *modelRig, interval time.Duration) {
		declared := time.Now()
		first := r.declareWave(waveDuration, "vm0", "vm1")
		time.Sleep(modelVMMaintenance / 2)
		second := r.declareWaveAs(2, waveDuration, "vm1")
		time.Sleep(2 * modelVMMaintenance)
		r.loseLeaders(interval, electionsFor)
		waveEnds(t, r, first, declared, first.Vms...)
		waveEnds(t, r, second, declared, second.Vms...)
	})
}
