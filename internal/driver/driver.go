// Package driver runs jobs of steps. The leader's driver renews the leases of
// the targets, plans and starts tasks, collects their ends, moves VMs between
// pools and carries out maintenance waves. Decisions that must survive a change
// of leader are committed before they are carried out; the rest of the driver's
// memory may be lost with the leadership. A run whose fate is unknown counts as
// running until its target reports its end or its lease has lapsed.
//
// A lasting task runs until its job is cancelled, a filler uses CPU that other
// tasks leave, a copy is a second run of a task beside the first, and a gang is a
// step whose tasks only work while all of them run. An incarnation of a target is
// one life of its process, identified by its start time.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/policy/confirm"
	"sapphirering/internal/policy/outlast"
	"sapphirering/internal/policy/silence"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Log commits commands through this leader.
type Log interface {
	// Commit returns the outcome of a command. After an error other than
	// replica.ErrNotLeader it may still take effect.
	Commit(ctx context.Context, command *pb.Command) (*workflow.Outcome, error)
	// HoldsLease reports whether no other leader can act now.
	HoldsLease() bool
}

// Limits are the time limits that the targets and the platform specify.
type Limits struct {
	// LeaseTTL is the longest lease that a target grants.
	LeaseTTL time.Duration
	// AnnounceInterval is how often targets announce themselves.
	AnnounceInterval time.Duration
	// LateCalls is how long a call without an answer may still take effect, and its time on the
	// way; 0 for lateCallBound.
	LateCalls time.Duration
	// VMMove is how long a VM is away during a move, VMMaintenance during maintenance.
	VMMove, VMMaintenance time.Duration
	// TargetConnections is the number of connections to targets that this process can keep open; 0 for
	// no bound.
	TargetConnections int
}

// Config holds what a Driver needs.
type Config struct {
	Machine *workflow.Machine
	Log     Log
	Targets TargetClient
	VMs     VMClient
	// Advice may be nil if no queue needs it.
	Advice   AdviceClient
	Limits   Limits
	Learning Learning
	// Epoch is the fencing token of this leadership; later leaders have higher ones.
	Epoch uint64
	// FormerEpoch is that of the last leadership before this one that may have made calls.
	FormerEpoch uint64
	// Holder names this daemon in orders to the platform.
	Holder string
	Now    func() time.Time
	// AppliedAt returns a time by Now at which this daemon had applied the command with a log index; false if it
	// does not know one. It may be nil.
	AppliedAt func(index uint64) (time.Time, bool)
	// NowMS is the cluster's time of day in Unix milliseconds.
	NowMS func() int64
	// RefuseLate refuses jobs that would certainly end after their end has lost all worth.
	RefuseLate bool
	// ShareShortage reduces the needs of all pools in proportion if they exceed the room of all VMs.
	ShareShortage bool
	// Zones returns the availability zones that the settings and the member list name. It is nil if
	// zones are not evacuated.
	Zones func() []string
}

const (
	// tickInterval is the longest time between rounds when no event requests one.
	tickInterval = 50 * time.Millisecond
	// planInterval delays a requested round, so that ends and submitted jobs that arrive
	// together share a commit.
	planInterval = 5 * time.Millisecond
	// planSpacing is the least time from one plan to the next while ends keep coming.
	planSpacing = 10 * time.Millisecond
	// checkInterval is the time between checks of all runs, targets and waves. Not every
	// round needs them: calls are retried after longer pauses, and each commit brings a round.
	checkInterval = 100 * time.Millisecond
	// commitTimeout limits one commit of the driver.
	commitTimeout = 3 * time.Second
	// lapseMargin covers delays between the grant of a lease and its arrival at the target.
	lapseMargin = 300 * time.Millisecond
	// clockDrift is the fraction by which a target's clock may run slow.
	clockDrift = 0.02
)

// Driver does the work of one leadership.
type Driver struct {
	cfg  Config
	wake chan struct{}
	// startedAt is when this leadership began.
	startedAt time.Time

	mu    sync.Mutex
	links map[string]*link
	// incarnations counts the incarnations of targets that this leader has met.
	incarnations uint64
	runs         runTable
	// lateStarts holds unanswered starts of runs that are over, by target.
	lateStarts map[string][]lateStart
	// unsettled holds when the starts of runs that are over can no longer take effect, by task. Those that former
	// leaders sent are in the state, up to adoptedIndex.
	unsettled    map[workflow.TaskID]time.Time
	adoptedIndex uint64
	// repeatsDue holds the runs whose starts are to be sent again once that is committed; recordsRepeats is set while
	// such a command is in progress.
	repeatsDue     map[*run]struct{}
	recordsRepeats bool
	// begun holds the jobs of which a task has begun, until that is committed, and begunSince when the first of them came.
	begun      map[string]struct{}
	begunSince time.Time
	// endedIncarnations holds incarnations of targets that are certainly over, so that late
	// announcements do not bring them back.
	endedIncarnations map[incarnation]*endedIncarnation
	// formerLapse holds when leases that late calls to a removed target may bring to the next
	// incarnation have lapsed, by target id.
	formerLapse map[string]time.Time
	// leasesChanged holds the targets whose lease records may have changed; all are looked at when
	// leaseScanDue is set.
	leasesChanged map[*link]struct{}
	leaseScanDue  bool
	// slowCommitAt is when a command last took grantWait or longer to commit.
	slowCommitAt time.Time
	// forgetLeases is set until it is committed that the records found by this leader no longer hold. Only
	// the loop changes it.
	forgetLeases bool
	// failing holds jobs whose end as failed is being committed.
	failing map[string]bool
	// pendingEnds holds ends that are not committed yet.
	pendingEnds []pendingEnd
	learned     *learner
	admission   *admission
	// learnedSeries holds the names of the metrics that publishLearned has registered.
	learnedSeries map[string]bool
	// suspects holds the targets of the current plan that may be unsuitable for long tasks.
	suspects map[string]outlast.Target
	// answers holds the answer times of all targets, loss the share of calls without an
	// answer, resends the calls that may be sent again.
	answers callTimes
	loss    silence.Loss
	resends silence.Budget
	waves   *waveState
	pools   *poolState
	// waiting counts the listings in progress that may wait for an end; callsShort is set while calls
	// are limited for lack of connections.
	waiting    int
	callsShort bool
	// advice holds the advice by step, adviceCalls counts the calls in progress.
	advice      map[workflow.TaskID]*stepAdvice
	adviceCalls int
	fleet       fleetView
	// kinds holds what VMs offer, by VM, also of those that are away.
	kinds map[kindSource]vmKind
	// vmDecisions holds decisions about VMs, jobRefusals those about jobs that were not accepted.
	vmDecisions, jobRefusals *history
	// prunedAt is when old jobs were last pruned, checkedAt when runs and targets were last
	// checked; only the loop uses them.
	prunedAt, checkedAt time.Time
	// zonesNoted holds the availability zones that this leader has recorded; only the loop uses it.
	zonesNoted []string
	// waitsReportedAt is when the waits of a pool were last logged.
	waitsReportedAt map[string]time.Time
	// waitSpans holds the current waits for room, by the step's first task.
	waitSpans map[workflow.TaskID]waitSpan
	outcomes  *outcomes
	// rounds and plannedAt, the time of the last plan, are only used by the loop.
	rounds    rounds
	plannedAt time.Time
	// planDue is set if tasks may start that the last plan did not know of.
	planDue atomic.Bool
	// commitTook is how long the last command that changes tasks took to commit, in nanoseconds.
	commitTook atomic.Int64

	ctx     context.Context
	running sync.WaitGroup
	// stopped is set, under stopMu, once Run waits for running, to which nothing may be added
	// from then on.
	stopMu  sync.Mutex
	stopped bool
}

// pendingEnd is the end of a run that is to be committed.
type pendingEnd struct {
	end *pb.End
	// link is the target that listed the end, under number; nil if no target listed it.
	link   *link
	number uint64
	// listed is when it was listed.
	listed time.Time
}

// incarnation identifies one incarnation of a target: its id and start in Unix milliseconds.
type incarnation struct {
	id   string
	born int64
}

// New returns a driver for one leadership.
func New(cfg Config) *Driver {
	return &Driver{
		cfg: cfg, wake: make(chan struct{}, 1), startedAt: cfg.Now(),
		links: make(map[string]*link), runs: newRunTable(), lateStarts: make(map[string][]lateStart),
		unsettled: make(map[workflow.TaskID]time.Time), repeatsDue: make(map[*run]struct{}), begun: make(map[string]struct{}),
		endedIncarnations: make(map[incarnation]*endedIncarnation), formerLapse: make(map[string]time.Time), leasesChanged: make(map[*link]struct{}), failing: make(map[string]bool), learned: newLearner(), admission: newAdmission(), waves: newWaveState(), pools: newPoolState(),
		vmDecisions: newHistory(), jobRefusals: newHistory(),
		advice: make(map[workflow.TaskID]*stepAdvice), kinds: make(map[kindSource]vmKind),
		waitsReportedAt: make(map[string]time.Time), waitSpans: make(map[workflow.TaskID]waitSpan),
		outcomes: newOutcomes(), resends: silence.Budget{Rate: resendRate, Burst: resendBurst},
	}
}

// Prepare takes over the committed state; requests may be served afterwards.
// Calls to targets are cancelled with ctx.
func (d *Driver) Prepare(ctx context.Context) {
	d.ctx = ctx
	event.DriverStarted.Emit(event.F("epoch", d.cfg.Epoch))
	d.adopt()
}

// Run runs rounds until ctx ends, then waits for all calls. Prepare must be called before.
func (d *Driver) Run(ctx context.Context) {
	if d.cfg.Learning.Keep {
		d.background(func() { d.keepLearned(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if d.round() {
			clock.Sleep(ctx, planSpacing-d.cfg.Now().Sub(d.plannedAt))
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
			d.planDue.Store(true)
		case <-d.wake:
			clock.Sleep(ctx, planInterval)
		}
	}
	d.stopMu.Lock()
	d.stopped = true
	d.stopMu.Unlock()
	if err := d.cfg.Targets.Close(); err != nil {
		event.TargetSilent.Emit(event.F("step", "close connections"), event.Err(err))
	}
	d.running.Wait()
	d.mu.Lock()
	d.unpublishLearned(nil)
	d.mu.Unlock()
	event.DriverStopped.Emit(event.F("epoch", d.cfg.Epoch))
}

// requestRound asks for a round soon, and for a plan in it.
func (d *Driver) requestRound() {
	d.planDue.Store(true)
	d.wakeLoop()
}

// wakeLoop asks for a round soon, which commits ends. A plan comes once they are committed.
func (d *Driver) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// adopt takes over the targets and runs of the committed state. Whether a
// start was sent is not known, so every run counts as unanswered.
func (d *Driver) adopt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Machine.View(func(v *workflow.View) {
		// The last leader may have been of an older version, or lost before its first command.
		d.forgetLeases = v.LeaseEpoch() != d.cfg.FormerEpoch
		d.adoptedIndex = v.Index()
		for _, target := range v.Targets() {
			l := d.addLink(target)
			lease, unsettledLapse := d.adoptLeases(v, l)
			for _, task := range v.PlacedOn(target.Id) {
				r := &run{
					task: task.ID, attempt: task.AttemptOn(target.Id), target: target.Id, born: target.BornUnixMs,
					phase: runUnanswered, unanswered: true, placedAt: d.startedAt, adopted: true, pace: unknownPace,
				}
				if !lease.Settles(task.PlacedIndexOn(target.Id)) {
					r.formerLapseAt = unsettledLapse
					r.starts = confirm.Starts{Former: true, Until: d.startedAt.Add(d.lateBound())}
				}
				d.addRun(r)
			}
		}
		if d.cfg.Learning.Keep {
			d.takeLearned(v.Learned())
		}
	})
}

// leaseBound is the time after which a lease that was granted by a call that took effect at once
// has certainly lapsed.
func (d *Driver) leaseBound() time.Duration { return boundOf(d.cfg.Limits.LeaseTTL) }

// boundOf is the time after which a lease of a length has certainly lapsed.
func boundOf(length time.Duration) time.Duration {
	return lengthOf(length) + lapseMargin
}

// lateBound is how long a call without an answer may still take effect.
func (d *Driver) lateBound() time.Duration {
	if d.cfg.Limits.LateCalls > 0 {
		return d.cfg.Limits.LateCalls
	}
	return lateCallBound
}

// round does everything that is due, if the leader's lease is held. It reports whether the next
// round should follow at once.
func (d *Driver) round() (again bool) {
	if !d.cfg.Log.HoldsLease() {
		return false
	}
	now := d.cfg.Now()
	due := now.Sub(d.checkedAt) >= checkInterval
	if due {
		d.checkedAt = now
		d.timePart(partCheck, d.checkAll)
	}
	again = d.changeTasks()
	d.timePart(partPools, d.movePools)
	if due {
		d.noteZones()
		d.failUnplaceableJobs()
		d.timePart(partWaves, d.runWaves)
		d.timePart(partWaves, d.evacuateZones)
		d.prune()
		d.timePart(partPace, d.paceFillers)
	}
	d.rounds.report(d.cfg.Now())
	return again
}

// checkAll checks targets and runs, and logs the outcomes of jobs.
func (d *Driver) checkAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkLinks()
	d.checkRuns()
	d.reportShare()
	d.leaseScanDue = true
	d.reportOutcomes(d.cfg.Now())
}

// changeTasks commits ends together with the starts that do not wait for them, and carries out
// the starts. It reports whether ends were committed, so that further tasks may start now.
func (d *Driver) changeTasks() (ended bool) {
	d.mu.Lock()
	ends := d.pendingEnds
	d.pendingEnds = nil
	d.mu.Unlock()
	planned := d.cfg.Now()
	var starts []*pb.Start
	if d.planDue.Swap(false) || len(ends) == 0 {
		d.plannedAt = planned
		d.timePart(partPlan, func() { starts = d.plan() })
	}
	begun, begunDue := d.begunJobs()
	records := d.leaseRecords(starts, len(ends)+len(starts) > 0 || begunDue)
	if len(ends) == 0 && len(starts) == 0 && len(records) == 0 && !begunDue && d.keepsRecords() {
		return false
	}
	d.timePart(partCommit, func() { ended = d.commitChange(ends, starts, begun, records, planned) && len(ends) > 0 })
	if ended {
		d.planDue.Store(true)
	}
	return ended
}

// commitChange commits lease records, begun jobs, ends and starts in one command, which take effect in that
// order. Then it confirms the ends to their targets and sends the starts.
func (d *Driver) commitChange(ends []pendingEnd, starts []*pb.Start, begun []string, records []*pb.LeaseRecord, planned time.Time) bool {
	change := &pb.ChangeTasks{Starts: starts, BegunJobs: begun, Leases: records, LeaseEpoch: d.cfg.Epoch, ForgetLeases: d.forgetLeases}
	for _, e := range ends {
		change.Ends = append(change.Ends, e.end)
	}
	change.RepeatedStarts = d.recordsAhead(starts)
	began := d.cfg.Now()
	out, err := d.commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: change}})
	took := d.cfg.Now().Sub(began)
	d.commitTook.Store(int64(took))
	if took >= grantWait {
		d.mu.Lock()
		d.slowCommitAt = d.cfg.Now()
		d.mu.Unlock()
	}
	if err != nil {
		d.keepUncommitted(ends, starts, err)
		d.keepLeases(records)
		return false
	}
	d.forgetLeases = false
	d.forgetBegun(begun)
	d.confirmLeases(records)
	d.rounds.ends += len(ends)
	d.rounds.starts += len(starts)
	if len(ends) > 0 {
		d.observeEnds(ends)
		reportEnds(ends, out.Index)
		d.confirmEnds(ends)
	}
	if len(starts) > 0 {
		d.sendCommitted(starts, planned, out, len(change.RepeatedStarts) > 0)
	}
	return true
}

// keepUncommitted keeps the ends of a command whose outcome is not known for the next one. If
// its starts still take effect, adoptPlaced finds the placed tasks without a run.
func (d *Driver) keepUncommitted(ends []pendingEnd, starts []*pb.Start, err error) {
	if len(starts) > 0 {
		event.StartsUncommitted.Emit(event.F("starts", len(starts)), event.Err(err))
	}
	if len(ends) > 0 {
		event.EndsUncommitted.Emit(event.F("ends", len(ends)), event.Err(err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingEnds = append(ends, d.pendingEnds...)
}

// confirmEnds confirms committed ends to their targets.
func (d *Driver) confirmEnds(ends []pendingEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	for _, e := range ends {
		if e.link == nil && e.end.Kind == pb.EndKind_END_KIND_LOST {
			if r := d.runs.find(workflow.TaskIDOf(e.end.Task), e.end.Task.Attempt); r != nil {
				d.learnCutOff(r)
			}
		}
		d.forgetRun(e.end)
	}
	// An end of a gang is held by the starts of all members.
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, e := range ends {
			if e.link != nil {
				d.learned.endLag.Note(float64(now.Sub(e.listed).Milliseconds()))
				d.confirmEnd(v, e)
			}
		}
	})
}

// sendCommitted sends committed starts to their targets, unless they were refused. Recorded reports whether they may be
// sent again by what is committed.
func (d *Driver) sendCommitted(starts []*pb.Start, planned time.Time, out *workflow.Outcome, recorded bool) {
	refused := make(map[workflow.TaskID]bool, len(out.Refused))
	for _, r := range out.Refused {
		event.StartRefused.Emit(event.F("task", r.Task.String()), event.F("reason", r.Reason))
		refused[r.Task] = true
	}
	reportStarts(starts, refused, out.Index)
	var repeatUntil time.Time
	if recorded {
		repeatUntil = planned.Add(repeatWindow)
	}
	d.beginRuns(starts, refused, planned, repeatUntil)
}

func (d *Driver) commit(command *pb.Command) (*workflow.Outcome, error) {
	ctx, cancel := context.WithTimeout(d.ctx, commitTimeout)
	defer cancel()
	return d.commitWithContext(ctx, command)
}

// background runs f in a goroutine that Run waits for, unless the leadership has ended.
func (d *Driver) background(f func()) {
	d.stopMu.Lock()
	defer d.stopMu.Unlock()
	if !d.stopped {
		d.running.Go(f)
	}
}
