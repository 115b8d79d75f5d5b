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
	// poolInterval spaces rounds of the pool policy.
	poolInterval = 100 * time.Millisecond
	// fleetInterval is how often the platform's list of VMs is read.
	fleetInterval = 4 * time.Second
	// maxMovesPerRound bounds the moves that one round orders.
	maxMovesPerRound = 12
	// moveWait is how long a moved VM counts as on its way.
	moveWait = 4 * time.Second
	// moveVMSeconds is the price of a move against a second of a VM in a pool.
	moveVMSeconds = 1.1
	// restAfter is how long after the first short job VMs may begin to rest: by
	// then lasting jobs have found their places, and the first turn of a queue has
	// shown what it asks for.
	restAfter = 3 * time.Second
	// stuckAfter is how long a waiting task may fit nowhere before its pool gets
	// another VM.
	stuckAfter = 300 * time.Millisecond
)

// poolLoop is what the leader remembers of VMs and pools. The driver's mutex
// guards it.
type poolLoop struct {
	last, reported time.Time
	// turns learns the arrivals of each pool.
	turns map[string]*pools.ArrivalHistory
	// moving holds VMs with an order under way or on their way.
	moving map[string]*move
	// firstArrival is when the first short job came under this leadership.
	firstArrival time.Time
	// draining VMs get no starts: another pool needs them.
	draining map[string]bool
	// stuckSince is since when tasks of a pool have fitted nowhere.
	stuckSince map[string]time.Time
	// thin holds pools with fewer VMs that take starts than their lasting tasks
	// must spread over.
	thin map[string]bool
	// idleSince is since when nothing has run on a VM.
	idleSince map[string]time.Time
	// settles is when the move or the maintenance of a resting VM is surely over:
	// nothing announces itself there, and the platform's list is seldom read.
	settles map[string]time.Time
}

// move is one VM's way to another pool.
type move struct {
	to    string
	cpu   int64
	begun time.Time
	// tried is when the order was sent last; accepted when the platform took it.
	tried, accepted time.Time
	calling         bool
}

func newPoolLoop() *poolLoop {
	return &poolLoop{
		turns: make(map[string]*pools.ArrivalHistory), moving: make(map[string]*move), idleSince: make(map[string]time.Time),
		stuckSince: make(map[string]time.Time), draining: make(map[string]bool), thin: make(map[string]bool), settles: make(map[string]time.Time),
	}
}

// noteArrival adds an accepted job to the arrivals of its pool.
func (d *Driver) noteArrival(job *pb.Job, queue *pb.Queue) {
	if job.Steps[0].Lasting {
		return
	}
	d.learned.noteSize(job)
	if d.pools.firstArrival.IsZero() {
		d.pools.firstArrival = d.cfg.Now()
	}
	var work pools.Work
	takes := make([]int64, len(job.Steps))
	for i, step := range job.Steps {
		takes[i] = d.learned.expected(job.Queue, step)
		work.MillisMS += int64(step.Tasks) * pools.Footprint(workflow.RequiredCapacity(step).CPUMillis, d.fleet.largest) * takes[i]
	}
	work.ChainMS = longestChain(job.Steps, takes)
	work.LeftMS = objective(queue, work.ChainMS)
	turns := d.pools.turns[queue.Pool]
	if turns == nil {
		turns = new(pools.ArrivalHistory)
		d.pools.turns[queue.Pool] = turns
	}
	turns.Note(d.monotonicMS(), work)
}

// monotonicMS is a time that does not jump, for the history of arrivals.
func (d *Driver) monotonicMS() int64 { return d.cfg.Now().Sub(d.began).Milliseconds() + 1 }

// movePools moves idle VMs to where they are needed, or to rest.
func (d *Driver) movePools() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if now.Sub(d.pools.last) < poolInterval {
		return
	}
	d.pools.last = now
	if d.fleet.readAt.IsZero() || now.Sub(d.fleet.readAt) > fleetInterval {
		d.readFleet()
	}
	d.bringMoves(now)
	if d.fleet.readAt.IsZero() {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		if v.Catalogue() == nil {
			return
		}
		snapshot := d.poolSnapshot(v, now)
		d.reportPools(snapshot, now)
		d.noteThin(snapshot)
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

// noteThin remembers the pools from which no VM with lasting tasks should go down
// before another one has come.
func (d *Driver) noteThin(s *pools.Snapshot) {
	clear(d.pools.thin)
	for i := range s.Pools {
		p := &s.Pools[i]
		serving := 0
		for _, vm := range p.VMs {
			if !vm.Unavailable {
				serving++
			}
		}
		d.pools.thin[p.Name] = serving < p.MinVMs
	}
}

// poolSnapshot describes every pool to the policy.
func (d *Driver) poolSnapshot(v *workflow.View, now time.Time) *pools.Snapshot {
	s := &pools.Snapshot{
		NowMS: d.monotonicMS(), Budget: maxMovesPerRound,
		MayRest: !d.pools.firstArrival.IsZero() && now.Sub(d.pools.firstArrival) > restAfter,
		Prices:  pools.Prices{MoveVMSeconds: moveVMSeconds, MoveMS: d.cfg.Limits.VMMove.Milliseconds()},
		Fits:    func(string, string) bool { return true },
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
	if turns := d.pools.turns[pool.Name]; turns != nil {
		p.NeedMillis = turns.Arriving(d.monotonicMS(), d.cfg.Limits.VMMove.Milliseconds())
		p.NextBurstMS, p.BurstMillis = turns.NextBurst(d.monotonicMS())
	}
	return p
}

// addNeeds adds the room with which each open job ends in time.
func (d *Driver) addNeeds(v *workflow.View, s *pools.Snapshot, index map[string]int) {
	now := d.cfg.Now()
	for _, job := range v.OpenJobs() {
		queue := v.Queue(job.Spec.Queue)
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
		pool.NeedMillis += need
		pool.PassingMillis += passing
	}
	for i := range s.Pools {
		since, ok := d.pools.stuckSince[s.Pools[i].Name]
		s.Pools[i].Stuck = ok && now.Sub(since) > stuckAfter
	}
}

// lastingNeed returns the room of a job's lasting tasks and the VMs over which
// they must spread.
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

// shortWork returns what is left of a job besides its lasting tasks.
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
		work.ChainMS, work.LeftMS = times.chainMS, times.deadlineMS-nowMS
	}
	return work
}

// addProgress adds how far the tasks of a step that may run are: the one that has
// longest to go decides.
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

// addVMs adds the VMs where they are, and those on their way to where they go.
func (d *Driver) addVMs(v *workflow.View, s *pools.Snapshot, index map[string]int, now time.Time) {
	links := d.linksByVM()
	for name, vm := range d.fleet.vms {
		if m := d.pools.moving[name]; m != nil {
			if at, ok := index[m.to]; ok && !s.Pools[at].Resting {
				s.Pools[at].IncomingMillis += m.cpu
				s.Pools[at].Incoming++
			}
			continue
		}
		at, ok := index[vm.Pool]
		if !ok {
			continue
		}
		described := pools.VM{Name: name, Rack: lastLabel(vm.Labels), CPUMillis: vm.Capacity.CPUMillis, Fixed: vm.State != VMUp}
		if s.Pools[at].Resting {
			described.Fixed = now.Before(d.pools.settles[name])
		} else if !d.describeVM(v, links[name], &described, now) {
			continue
		}
		described.Unavailable = described.Unavailable || d.waves.cordoned[name] || v.MaintenanceOrdered(name)
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

// describeVM adds what runs on a VM; false for one without a target that works.
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

// tellsPercent is how far a run must have come for its own pace to count while it is
// within the time that its like take.
const tellsPercent = 20

// remainingMS is how long a task placed on a target is expected to run on there, by
// its own pace once that is known. One that has taken longer than expected goes on for
// as long again.
func (d *Driver) remainingMS(task *workflow.Task, target string, now time.Time) int64 {
	expected := d.learned.expectedOf(task)
	r := d.runOn(task, target)
	if r == nil || r.working.IsZero() {
		return expected
	}
	elapsed, worked := now.Sub(r.working).Milliseconds(), r.movedAt.Sub(r.working).Milliseconds()
	late := elapsed >= expected
	switch {
	case worked > 0 && r.percent > 0 && (late || r.percent >= tellsPercent):
		return max(int64(float64(worked)*fullPace/r.percent)-elapsed, 0)
	case late:
		return elapsed
	}
	return expected - elapsed
}

// beginMove keeps starts off the VM from here on and orders the move.
func (d *Driver) beginMove(m pools.Move, now time.Time) {
	event.VMMoveBegun.Emit(event.F("vm", m.VM), event.F("from", m.From), event.F("to", m.To), event.F("reason", m.Reason))
	d.decided.note(now, m.VM, "moves from pool %s to %s: %s", m.From, m.To, m.Reason)
	d.pools.moving[m.VM] = &move{to: m.To, cpu: d.fleet.vms[m.VM].Capacity.CPUMillis, begun: now}
	d.orderMove(m.VM, now)
}

// bringMoves sends orders again that got no answer and ends the wait for VMs
// that have arrived.
func (d *Driver) bringMoves(now time.Time) {
	for vm, m := range d.pools.moving {
		switch {
		case m.calling:
		case m.accepted.IsZero():
			if now.Sub(m.tried) > orderPause {
				d.orderMove(vm, now)
			}
		case now.Sub(m.accepted) > moveWait:
			delete(d.pools.moving, vm)
		}
	}
}

func (d *Driver) orderMove(vm string, now time.Time) {
	m := d.pools.moving[vm]
	m.calling, m.tried = true, now
	d.callPlatform(vm, func(ctx context.Context, order VMOrder) (VMRefusal, error) {
		return d.cfg.VMs.Move(ctx, order, m.to)
	}, func(refusal VMRefusal, err error) { d.takeMove(vm, m, refusal, err) })
}

func (d *Driver) takeMove(vm string, m *move, refusal VMRefusal, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.calling = false
	if err != nil {
		event.PlatformSilent.Emit(event.F("step", "move"), event.F("vm", vm), event.Err(err))
		return
	}
	event.VMMoveAnswered.Emit(event.F("vm", vm), event.F("to", m.to), event.F("answer", refusal.String()))
	d.decided.note(d.cfg.Now(), vm, "the platform answered the move to %s: %s", m.to, refusal)
	switch refusal {
	case VMAccepted:
		m.accepted = d.cfg.Now()
		known := d.fleet.vms[vm]
		known.Pool = m.to
		d.fleet.vms[vm] = known
		delete(d.pools.idleSince, vm)
		if l := d.linkOfVM(vm); l != nil {
			d.endIncarnationsOn(vm, l.target.BornUnixMs+1, "its VM moves to another pool")
		}
		if d.restingPool(m.to) {
			d.pools.settles[vm] = m.accepted.Add(d.cfg.Limits.VMMove)
			delete(d.pools.moving, vm)
		}
	case VMThrottled:
	default:
		// The list that is read next tells where the VM is.
		delete(d.pools.moving, vm)
		d.waves.listed = time.Time{}
		d.readFleet()
	}
}

func (d *Driver) restingPool(name string) bool {
	resting := false
	d.cfg.Machine.View(func(v *workflow.View) { resting = v.Pool(name).GetResting() })
	return resting
}

// noteMoved ends the wait for a VM whose target has announced itself.
func (d *Driver) noteMoved(target *pb.Target) {
	if m := d.pools.moving[target.Vm]; m != nil && m.to == target.Pool {
		delete(d.pools.moving, target.Vm)
	}
	if known, ok := d.fleet.vms[target.Vm]; ok {
		known.Pool, known.State, known.Target = target.Pool, VMUp, target.Id
		d.fleet.vms[target.Vm] = known
	}
}

// reportInterval spaces the lines about what pools have and need.
const reportInterval = time.Second

// reportPools writes what each pool has and needs, once an interval.
func (d *Driver) reportPools(s *pools.Snapshot, now time.Time) {
	if now.Sub(d.pools.reported) < reportInterval {
		return
	}
	d.pools.reported = now
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
