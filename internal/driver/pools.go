package driver

import (
	"context"
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/pools"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// poolInterval is the time between rounds of the pool policy.
	poolInterval = 100 * time.Millisecond
	// fleetInterval is how often the platform's list of VMs is read.
	fleetInterval = 4 * time.Second
	// maxMovesPerRound limits the moves that one round orders.
	maxMovesPerRound = 12
	// moveTimeout is how long a VM counts as moving after the platform accepted the move.
	moveTimeout = 4 * time.Second
	// moveVMSeconds is the price of a move, in seconds of a VM in a pool.
	moveVMSeconds = 1.1
	// restAfter is how long after the first job that is not lasting idle VMs may move to a
	// resting pool: by then lasting jobs are placed, and the first busy period of a queue has
	// shown its demand.
	restAfter = 3 * time.Second
	// burstChange is how much the start of a burst changes what is known, as summary.Change: half of what a
	// summary takes.
	burstChange = 0.15
	// stuckAfter is how long a waiting task may fit on no target before its pool gets
	// another VM.
	stuckAfter = 300 * time.Millisecond
	// beyondRateDelay is the age from which on the work of a job beyond the rate of its workspace
	// counts as that of any other: the job must run even if some pool always lacks room. It is
	// several times the length of a workspace's burst, 5 to 7 s.
	beyondRateDelay = 30 * time.Second
)

// poolState is what the leader remembers of VMs and pools, guarded by the driver's
// mutex.
type poolState struct {
	lastRoundAt, reportedAt time.Time
	// arrivals predicts the bursts of each pool from the arrivals of its jobs.
	arrivals map[string]*pools.ArrivalHistory
	// moving holds VMs that are being ordered to another pool or are on their way there.
	moving map[string]*move
	// firstArrival is when this leader accepted the first job that is not lasting.
	firstArrival time.Time
	// draining holds VMs that get no starts, so that they become free for other pools.
	draining map[string]bool
	// stuckSince is since when a pool has had waiting tasks that fit on no target.
	stuckSince map[string]time.Time
	// beyondRateStuckSince is the same for tasks of jobs beyond the rate of their workspace, which
	// stuckSince does not include.
	beyondRateStuckSince map[string]time.Time
	// belowMinVMs holds pools in which fewer VMs take starts than their lasting tasks must be
	// spread over.
	belowMinVMs map[string]bool
	// idleSince is since when no task has run on a VM.
	idleSince map[string]time.Time
	// restingBusyUntil is when the move or maintenance of a resting VM is certainly over:
	// no target announces itself there, and the platform's list is rarely read.
	restingBusyUntil map[string]time.Time
}

// move is the move of one VM to another pool.
type move struct {
	to      string
	cpu     int64
	begunAt time.Time
	// sentAt is when the order was last sent, acceptedAt when the platform accepted it.
	sentAt, acceptedAt time.Time
	calling            bool
	// ends holds the incarnations that the move ends.
	ends bornBefore
}

func newPoolState() *poolState {
	return &poolState{
		arrivals: make(map[string]*pools.ArrivalHistory), moving: make(map[string]*move), idleSince: make(map[string]time.Time),
		stuckSince: make(map[string]time.Time), beyondRateStuckSince: make(map[string]time.Time), draining: make(map[string]bool), belowMinVMs: make(map[string]bool), restingBusyUntil: make(map[string]time.Time),
	}
}

// noteArrival records an accepted job as an arrival of its pool, unless it is lasting.
func (d *Driver) noteArrival(job *pb.Job, queue *pb.Queue, beyondRate bool) {
	if job.Steps[0].Lasting {
		return
	}
	d.learned.noteJobWork(job)
	if d.pools.firstArrival.IsZero() {
		d.pools.firstArrival = d.cfg.Now()
	}
	if beyondRate {
		// More jobs like it give no right to VMs that other pools may need.
		return
	}
	var work pools.Work
	durations := make([]int64, len(job.Steps))
	for i, step := range job.Steps {
		durations[i] = d.learned.expected(queueKey(job), step)
		work.MillisMS += int64(step.Tasks) * pools.Footprint(workflow.RequiredCapacity(step).CPUMillis, d.fleet.largest) * durations[i]
	}
	work.ChainMS = longestChain(job.Steps, durations)
	work.LeftMS = objective(queue, work.ChainMS)
	history := d.pools.arrivals[queue.Pool]
	if history == nil {
		history = new(pools.ArrivalHistory)
		d.pools.arrivals[queue.Pool] = history
	}
	if history.Note(d.monotonicMS(), work) {
		// A rhythm is three bursts: each counts for the next summary.
		d.learned.change += burstChange
	}
}

// monotonicMS is the time since this leadership began, for the history of arrivals; unlike
// the time of day it does not jump.
func (d *Driver) monotonicMS() int64 { return d.cfg.Now().Sub(d.startedAt).Milliseconds() + 1 }

// movePools moves idle VMs to pools that need them or to a resting pool.
func (d *Driver) movePools() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if now.Sub(d.pools.lastRoundAt) < poolInterval {
		return
	}
	d.pools.lastRoundAt = now
	if d.fleet.readAt.IsZero() || now.Sub(d.fleet.readAt) > fleetInterval {
		d.readFleet()
	}
	d.advanceMoves(now)
	if d.fleet.readAt.IsZero() {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		if v.Catalogue() == nil {
			return
		}
		snapshot := d.poolSnapshot(v, now)
		d.reportPools(snapshot, now)
		d.notePoolsBelowMin(snapshot)
		moves, drain := pools.Plan(snapshot)
		for _, m := range moves {
			d.beginMove(m, now)
		}
		clear(d.pools.draining)
		for _, vm := range drain {
			d.pools.draining[vm] = true
		}
	})
}

// notePoolsBelowMin records the pools in which no VM with lasting tasks should go down
// before another VM has arrived.
func (d *Driver) notePoolsBelowMin(s *pools.Snapshot) {
	clear(d.pools.belowMinVMs)
	for i := range s.Pools {
		p := &s.Pools[i]
		serving := 0
		for _, vm := range p.VMs {
			if !vm.Unavailable {
				serving++
			}
		}
		d.pools.belowMinVMs[p.Name] = serving < p.MinVMs
	}
}

// poolSnapshot describes all pools for the policy.
func (d *Driver) poolSnapshot(v *workflow.View, now time.Time) *pools.Snapshot {
	s := &pools.Snapshot{
		NowMS: d.monotonicMS(), Budget: maxMovesPerRound,
		MayRest: !d.pools.firstArrival.IsZero() && now.Sub(d.pools.firstArrival) > restAfter,
		Prices:  pools.Prices{MoveVMSeconds: moveVMSeconds, MoveMS: d.cfg.Limits.VMMove.Milliseconds()},
		Fits:    func(string, string) bool { return true },

		ShareShortage: d.cfg.ShareShortage,
	}
	index := make(map[string]int)
	for _, pool := range v.Catalogue().Pools {
		index[pool.Name] = len(s.Pools)
		s.Pools = append(s.Pools, d.poolDemand(pool))
	}
	d.addNeeds(v, s, index)
	d.addVMs(v, s, index, now)
	return s
}

func (d *Driver) poolDemand(pool *pb.Pool) pools.Pool {
	p := pools.Pool{Name: pool.Name, Resting: pool.Resting}
	if history := d.pools.arrivals[pool.Name]; history != nil {
		p.NeedMillis = history.Arriving(d.monotonicMS(), d.cfg.Limits.VMMove.Milliseconds())
		p.NextBurstMS, p.BurstMillis = history.NextBurst(d.monotonicMS())
	}
	return p
}

// addNeeds adds the CPU that each open job needs to end in time.
func (d *Driver) addNeeds(v *workflow.View, s *pools.Snapshot, index map[string]int) {
	now := d.cfg.Now()
	for _, job := range v.OpenJobs() {
		queue := v.QueueOf(job)
		if queue == nil || workflow.Ended(job.State) {
			continue
		}
		at, ok := index[queue.Pool]
		if !ok {
			continue
		}
		pool := &s.Pools[at]
		lasting, vms := lastingNeed(job)
		pool.NeedMillis += lasting
		if pool.BurstMillis > 0 {
			pool.BurstMillis += lasting
		}
		if vms > 0 {
			pool.MinVMs = max(pool.MinVMs, vms)
		}
		need, passing := d.shortWork(job, queue, now).Need(d.cfg.Limits.VMMove.Milliseconds())
		if job.Spec.BeyondRate && d.cfg.NowMS()-job.Spec.SubmittedUnixMs < beyondRateDelay.Milliseconds() {
			pool.BeyondRate.NeedMillis += need
			pool.BeyondRate.PassingMillis += passing
			continue
		}
		pool.NeedMillis += need
		pool.PassingMillis += passing
	}
	isStuck := func(since map[string]time.Time, pool string) bool {
		at, ok := since[pool]
		return ok && now.Sub(at) > stuckAfter
	}
	for i := range s.Pools {
		pool := &s.Pools[i]
		pool.Stuck, pool.BeyondRate.Stuck = isStuck(d.pools.stuckSince, pool.Name), isStuck(d.pools.beyondRateStuckSince, pool.Name)
	}
}

// lastingNeed returns the CPU of a job's lasting tasks and the number of VMs over which
// they must be spread.
func lastingNeed(job *workflow.Job) (millis int64, vms int) {
	for _, step := range job.Spec.Steps {
		if !step.Lasting {
			continue
		}
		millis += int64(step.Tasks) * workflow.RequiredCapacity(step).CPUMillis
		if step.MaxPerTarget > 0 {
			vms = max(vms, int((step.Tasks+step.MaxPerTarget-1)/step.MaxPerTarget))
		}
	}
	return millis, vms
}

// shortWork returns the work left in a job besides its lasting tasks.
func (d *Driver) shortWork(job *workflow.Job, queue *pb.Queue, now time.Time) pools.Work {
	var work pools.Work
	nowMS := d.cfg.NowMS()
	for k := range job.Tasks {
		if job.DueMS(k) > nowMS {
			continue
		}
		for n, step := range job.Spec.Steps {
			if step.Lasting || job.RemainingTasks(k, n) == 0 {
				continue
			}
			room := pools.Footprint(workflow.RequiredCapacity(step).CPUMillis, d.fleet.largest)
			expected := d.learned.expectedIn(job, k, n)
			work.MillisMS += int64(job.RemainingTasks(k, n)) * room * expected
			if job.Ready(k, n) {
				d.addProgress(&work, job.Tasks[k][n], expected, now)
			}
		}
	}
	if work.MillisMS > 0 {
		times := d.timesOf(job, queue)
		work.ChainMS, work.LeftMS = times.leftMS, times.deadlineMS-nowMS
	}
	return work
}

// addProgress adds the progress of the tasks of a step that may run; the task with the
// longest time left decides.
func (d *Driver) addProgress(work *pools.Work, tasks []*workflow.Task, expected int64, now time.Time) {
	remaining := int64(0)
	for _, task := range tasks {
		switch task.State {
		case pb.TaskState_TASK_STATE_WAITING:
			work.Waits = true
		case pb.TaskState_TASK_STATE_PLACED:
			remaining = max(remaining, d.remainingMS(task, task.Target, now))
		}
	}
	work.RunMS = max(work.RunMS, expected-remaining)
}

// addVMs adds each VM to its pool; a VM that is moving counts for the pool it moves to.
func (d *Driver) addVMs(v *workflow.View, s *pools.Snapshot, index map[string]int, now time.Time) {
	links := d.linksByVM()
	for name, vm := range d.fleet.vms {
		evacuated := v.Evacuated(zoneOfVM(v, vm, links[name]))
		if m := d.pools.moving[name]; m != nil {
			if at, ok := index[m.to]; ok && !s.Pools[at].Resting && !evacuated {
				s.Pools[at].IncomingMillis += m.cpu
				s.Pools[at].Incoming++
			}
			continue
		}
		at, ok := index[vm.Pool]
		if !ok {
			continue
		}
		described := pools.VM{Name: name, Rack: rackLabel(vm.Labels), CPUMillis: vm.Capacity.CPUMillis, Fixed: vm.State != VMUp}
		if s.Pools[at].Resting {
			described.Fixed = now.Before(d.pools.restingBusyUntil[name])
		} else if !d.describeVM(v, links[name], &described, now) {
			continue
		}
		described.Unavailable = described.Unavailable || evacuated || d.waves.cordoned(name) || v.MaintenanceOrdered(name)
		described.Fixed = described.Fixed || described.Unavailable
		s.Pools[at].VMs = append(s.Pools[at].VMs, described)
	}
	for i := range s.Pools {
		slices.SortFunc(s.Pools[i].VMs, func(a, b pools.VM) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}

// describeVM adds the tasks on a VM; false if no target is known there.
func (d *Driver) describeVM(v *workflow.View, l *link, vm *pools.VM, now time.Time) bool {
	if l == nil {
		return false
	}
	for _, task := range v.PlacedOn(l.target.Id) {
		vm.Tasks++
		if task.Spec().Lasting {
			vm.Lasting++
			continue
		}
		vm.BusyMS = max(vm.BusyMS, d.remainingMS(task, l.target.Id, now))
	}
	vm.Unavailable = l.leaving || l.failures > 0
	if vm.Tasks > 0 {
		delete(d.pools.idleSince, vm.Name)
		return true
	}
	since, ok := d.pools.idleSince[vm.Name]
	if !ok {
		since = now
		d.pools.idleSince[vm.Name] = now
	}
	vm.IdleMS = now.Sub(since).Milliseconds()
	return true
}

// minOwnSpeedPercent is the progress from which on a run's own speed is used to predict its end
// while it has not yet taken longer than expected.
const minOwnSpeedPercent = 20

// remainingMS returns how much longer a task is expected to run on a target, by its own
// speed once that is known. A task without progress that has taken longer than expected is
// assumed to be half done.
func (d *Driver) remainingMS(task *workflow.Task, target string, now time.Time) int64 {
	r := d.runOn(task, target)
	expected := d.expectedOn(task, r)
	if r == nil || r.runningSince.IsZero() {
		return expected
	}
	elapsed, worked := now.Sub(r.runningSince).Milliseconds(), r.progressAt.Sub(r.runningSince).Milliseconds()
	late := elapsed >= expected
	switch {
	case worked > 0 && r.percent > 0 && (late || r.percent >= minOwnSpeedPercent):
		return max(int64(float64(worked)*fullPace/r.percent)-elapsed, 0)
	case late:
		return elapsed
	}
	return expected - elapsed
}

// beginMove orders the move of a VM, which gets no starts from now on.
func (d *Driver) beginMove(m pools.Move, now time.Time) {
	event.VMMoveBegun.Emit(event.F("vm", m.VM), event.F("from", m.From), event.F("to", m.To), event.F("reason", m.Reason))
	d.vmDecisions.note(now, m.VM, "moves from pool %s to %s: %s", m.From, m.To, m.Reason)
	d.pools.moving[m.VM] = &move{to: m.To, cpu: d.fleet.vms[m.VM].Capacity.CPUMillis, begunAt: now, ends: d.endedByMove(m)}
	d.orderMove(m.VM, now)
}

// endedByMove returns the limit that covers the incarnations known on a VM that is to move.
// One in the pool that it moves to is the result of an earlier order, which may be repeated.
func (d *Driver) endedByMove(m pools.Move) bornBefore {
	if l := d.linkOfVM(m.VM); l != nil && l.target.Pool == m.To {
		return bornBefore(l.target.BornUnixMs)
	}
	return d.knownOn(m.VM)
}

// advanceMoves retries move orders that were not answered or were throttled, and drops
// moves whose VM should have arrived.
func (d *Driver) advanceMoves(now time.Time) {
	for vm, m := range d.pools.moving {
		switch {
		case m.calling:
		case m.acceptedAt.IsZero():
			if now.Sub(m.sentAt) > orderRetryPause {
				d.orderMove(vm, now)
			}
		case now.Sub(m.acceptedAt) > moveTimeout:
			delete(d.pools.moving, vm)
		}
	}
}

func (d *Driver) orderMove(vm string, now time.Time) {
	m := d.pools.moving[vm]
	m.calling, m.sentAt = true, now
	d.callPlatform(vm, func(ctx context.Context, order VMOrder) (VMRefusal, error) {
		return d.cfg.VMs.Move(ctx, order, m.to)
	}, func(refusal VMRefusal, err error) { d.handleMoveAnswer(vm, m, refusal, err) })
}

func (d *Driver) handleMoveAnswer(vm string, m *move, refusal VMRefusal, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.calling = false
	if err != nil {
		event.PlatformSilent.Emit(event.F("step", "move"), event.F("vm", vm), event.Err(err))
		return
	}
	event.VMMoveAnswered.Emit(event.F("vm", vm), event.F("to", m.to), event.F("answer", refusal.String()), event.F("sent_ms_ago", ageMS(m.sentAt, d.cfg.Now())))
	d.vmDecisions.note(d.cfg.Now(), vm, "the platform answered the move to %s: %s", m.to, refusal)
	if refusal == VMAccepted {
		d.endIncarnationsOn(vm, m.ends, "its VM moves to another pool")
	}
	if d.pools.moving[vm] != m {
		// The VM's next incarnation has announced itself before the answer.
		return
	}
	switch refusal {
	case VMAccepted:
		m.acceptedAt = d.cfg.Now()
		known := d.fleet.vms[vm]
		known.Name, known.Pool = vm, m.to
		d.fleet.noteChanged(known, m.acceptedAt)
		delete(d.pools.idleSince, vm)
		if d.isRestingPool(m.to) {
			d.pools.restingBusyUntil[vm] = m.acceptedAt.Add(d.cfg.Limits.VMMove)
			delete(d.pools.moving, vm)
		}
	case VMThrottled:
	default:
		// The next list of VMs shows where this one is.
		delete(d.pools.moving, vm)
		d.waves.fleetReadBegan = time.Time{}
		d.readFleet()
	}
}

func (d *Driver) isRestingPool(name string) bool {
	resting := false
	d.cfg.Machine.View(func(v *workflow.View) { resting = v.Pool(name).GetResting() })
	return resting
}

// noteMoved ends the move of a VM whose target has announced itself in its new pool.
func (d *Driver) noteMoved(target *pb.Target) {
	if m := d.pools.moving[target.Vm]; m != nil && m.to == target.Pool {
		delete(d.pools.moving, target.Vm)
	}
	if known, ok := d.fleet.vms[target.Vm]; ok {
		known.Pool, known.State, known.Target = target.Pool, VMUp, target.Id
		d.fleet.noteChanged(known, d.cfg.Now())
	}
}

// poolReportInterval is how often what pools have and need is logged.
const poolReportInterval = time.Second

// reportPools logs what each pool has and needs, once per interval.
func (d *Driver) reportPools(s *pools.Snapshot, now time.Time) {
	if now.Sub(d.pools.reportedAt) < poolReportInterval {
		return
	}
	d.pools.reportedAt = now
	for i := range s.Pools {
		p := &s.Pools[i]
		idle, out := 0, 0
		for _, vm := range p.VMs {
			if vm.Tasks == 0 {
				idle++
			}
			if vm.Unavailable {
				out++
			}
		}
		event.PoolState.Emit(event.F("pool", p.Name), event.F("vms", len(p.VMs)), event.F("idle", idle), event.F("out", out),
			event.F("incoming", p.Incoming), event.F("need_millis", p.NeedMillis), event.F("passing_millis", p.PassingMillis), event.F("min_vms", p.MinVMs),
			event.F("turn_in_ms", p.NextBurstMS-s.NowMS), event.F("turn_millis", p.BurstMillis))
	}
}
