// Package driver runs jobs of steps. The leader's driver holds the leases of
// the targets, plans and starts tasks, collects their ends, and carries out
// maintenance waves. All that must last is committed first; what the driver
// remembers beside that may be lost with the leadership. A run whose fate is
// not known counts as running until its target, or the end of its lease, says
// otherwise.
package driver

import (
	"context"
	"sync"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
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

// Limits are the bounds that targets and the platform state.
type Limits struct {
	// LeaseTTL is the longest lease that a target grants.
	LeaseTTL time.Duration
	// AnnounceInterval is how often targets announce themselves.
	AnnounceInterval time.Duration
	// VMMove is how long a VM is away for a move, VMMaintenance for maintenance.
	VMMove, VMMaintenance time.Duration
}

// Config holds what a Driver needs.
type Config struct {
	Machine *workflow.Machine
	Log     Log
	Targets TargetClient
	VMs     VMClient
	// Advice is nil where no queue needs it.
	Advice AdviceClient
	Limits Limits
	// Epoch is the fence of this leadership; a later one is higher.
	Epoch uint64
	// Holder names this daemon in orders to the platform.
	Holder string
	Now    func() time.Time
	// NowMS is the cluster's time of day in Unix milliseconds.
	NowMS func() int64
}

const (
	// tickInterval bounds how late the loop notices what nobody tells it.
	tickInterval = 50 * time.Millisecond
	// planInterval spaces planning rounds, so that ends and submits that come
	// together share a commit.
	planInterval = 5 * time.Millisecond
	// checkInterval spaces looks at all runs, targets and waves: calls are sent again after
	// longer pauses, and a round comes with every commit.
	checkInterval = 100 * time.Millisecond
	// commitTimeout bounds one commit of the loop.
	commitTimeout = 3 * time.Second
	// lapseMargin covers delays between a grant and its arrival.
	lapseMargin = 300 * time.Millisecond
	// clockDrift is how much slower than true a target's clock may run.
	clockDrift = 0.02
)

// Driver is one leadership's work.
type Driver struct {
	cfg  Config
	wake chan struct{}
	// began is when this leadership began.
	began time.Time

	mu    sync.Mutex
	links map[string]*link
	runs  runTable
	// lateStarts holds unanswered starts of runs that are over, by target.
	lateStarts map[string][]lateStart
	// ended holds incarnations of targets that are surely over, so that late
	// announcements do not bring them back.
	ended map[incarnation]bool
	// pending holds ends that are not committed yet.
	pending []pendingEnd
	learned *learner
	waves   *waveLoop
	pools   *poolLoop
	// advice is known by step; adviceCalls counts calls under way.
	advice      map[workflow.TaskID]*stepAdvice
	adviceCalls int
	fleet       fleetView
	// decided holds decisions about VMs, refused those about jobs that were not accepted.
	decided, refused *history
	// prunedAt is when old jobs were last looked for, checkedAt when runs and targets were;
	// only the loop uses them.
	prunedAt, checkedAt time.Time
	// waitsReported is when waits of a pool were reported last.
	waitsReported map[string]time.Time
	// waiting holds since when steps have waited for room, by their first task.
	waiting  map[workflow.TaskID]waitSpan
	outcomes *outcomes
	// rounds is only used by the loop.
	rounds rounds

	ctx     context.Context
	running sync.WaitGroup
}

// pendingEnd is an end that is to be committed.
type pendingEnd struct {
	end *pb.End
	// link listed the end under the number; nil for ends that no target listed.
	link   *link
	number uint64
	// listed is when it was.
	listed time.Time
}

// incarnation is one incarnation of a target.
type incarnation struct {
	id   string
	born int64
}

// New returns a driver for one leadership.
func New(cfg Config) *Driver {
	return &Driver{
		cfg: cfg, wake: make(chan struct{}, 1), began: cfg.Now(),
		links: make(map[string]*link), runs: newRunTable(), lateStarts: make(map[string][]lateStart),
		ended: make(map[incarnation]bool), learned: newLearner(), waves: newWaveLoop(), pools: newPoolLoop(),
		decided: newHistory(), refused: newHistory(),
		advice:        make(map[workflow.TaskID]*stepAdvice),
		waitsReported: make(map[string]time.Time), waiting: make(map[workflow.TaskID]waitSpan),
		outcomes: newOutcomes(),
	}
}

// Prepare takes over the committed state; requests may be served afterwards.
// Calls to targets end with ctx.
func (d *Driver) Prepare(ctx context.Context) {
	d.ctx = ctx
	event.DriverStarted.Emit(event.F("epoch", d.cfg.Epoch))
	d.adopt()
}

// Run works until ctx ends and waits for all calls. Prepare comes first.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.round()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.wake:
			clock.Sleep(ctx, planInterval)
		}
	}
	if err := d.cfg.Targets.Close(); err != nil {
		event.TargetSilent.Emit(event.F("step", "close connections"), event.Err(err))
	}
	d.running.Wait()
	event.DriverStopped.Emit(event.F("epoch", d.cfg.Epoch))
}

// kick asks for a round soon.
func (d *Driver) kick() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// adopt takes over the targets and runs of the committed state. Whether a
// start was sent is not known, so that every run counts as unanswered.
func (d *Driver) adopt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, target := range v.Targets() {
			l := d.addLink(target)
			l.lapseAt = d.began.Add(d.leaseBound())
			for _, task := range v.PlacedOn(target.Id) {
				d.addRun(&run{
					task: task.ID, attempt: task.AttemptOn(target.Id), target: target.Id, born: target.BornUnixMs,
					phase: runUnanswered, unanswered: true, begun: d.began, adopted: true,
				})
			}
		}
	})
}

// leaseBound is how long after a grant the lease has surely lapsed.
func (d *Driver) leaseBound() time.Duration {
	return time.Duration(float64(d.cfg.Limits.LeaseTTL)/(1-clockDrift)) + lapseMargin
}

// round does everything that is due, once.
func (d *Driver) round() {
	if !d.cfg.Log.HoldsLease() {
		return
	}
	now := d.cfg.Now()
	due := now.Sub(d.checkedAt) >= checkInterval
	if due {
		d.checkedAt = now
		d.timed(partCheck, d.check)
	}
	d.changeTasks()
	d.timed(partPools, d.movePools)
	if due {
		d.failHopeless()
		d.timed(partWaves, d.runWaves)
		d.prune()
		d.timed(partPace, d.paceFillers)
	}
	d.rounds.report(d.cfg.Now())
}

// check looks after targets and runs, and reports what became of jobs.
func (d *Driver) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkLinks()
	d.checkRuns()
	d.reportOutcomes(d.cfg.Now())
}

// changeTasks commits ends, then starts, and carries out the starts.
func (d *Driver) changeTasks() {
	d.mu.Lock()
	ends := d.pending
	d.pending = nil
	d.mu.Unlock()
	if len(ends) > 0 {
		committed := false
		d.timed(partEnds, func() { committed = d.commitEnds(ends) })
		if !committed {
			return
		}
		d.rounds.ends += len(ends)
	}
	planned := d.cfg.Now()
	var starts []*pb.Start
	d.timed(partPlan, func() { starts = d.plan() })
	if len(starts) > 0 {
		d.timed(partStarts, func() { d.commitStarts(starts, planned) })
	}
}

// commitStarts records starts; only then are they sent to the targets.
func (d *Driver) commitStarts(starts []*pb.Start, planned time.Time) {
	out, err := d.commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: starts}}})
	if err != nil {
		// Starts that take effect later are found as placed tasks without a run.
		event.StartsUncommitted.Emit(event.F("starts", len(starts)), event.Err(err))
		return
	}
	for _, refused := range out.Refused {
		event.StartRefused.Emit(event.F("task", refused.Task.String()), event.F("reason", refused.Reason))
	}
	refused := make(map[workflow.TaskID]bool, len(out.Refused))
	for _, r := range out.Refused {
		refused[r.Task] = true
	}
	d.rounds.starts += len(starts)
	reportStarts(starts, refused, out.Index)
	d.beginRuns(starts, refused, planned)
	d.noteBegun(starts)
}

// commitEnds records ends; only then are they confirmed to the targets.
func (d *Driver) commitEnds(ends []pendingEnd) bool {
	change := new(pb.ChangeTasks)
	for _, e := range ends {
		change.Ends = append(change.Ends, e.end)
	}
	out, err := d.commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: change}})
	if err == nil {
		d.observeEnds(ends)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		event.EndsUncommitted.Emit(event.F("ends", len(ends)), event.Err(err))
		d.pending = append(ends, d.pending...)
		return false
	}
	reportEnds(ends, out.Index)
	now := d.cfg.Now()
	for _, e := range ends {
		d.forgetRun(e.end)
		if e.link != nil {
			d.learned.endLag.Note(float64(now.Sub(e.listed).Milliseconds()))
			e.link.confirmEnd(e.number)
		}
	}
	return true
}

func (d *Driver) commit(command *pb.Command) (*workflow.Outcome, error) {
	ctx, cancel := context.WithTimeout(d.ctx, commitTimeout)
	defer cancel()
	return d.commitIn(ctx, command)
}

// call runs f beside the loop until the leadership ends.
func (d *Driver) call(f func()) {
	d.running.Go(f)
}
