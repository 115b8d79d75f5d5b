package driver

import (
	"context"
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// leaseWatchInterval is how often the lease is checked while an order is under way.
	leaseWatchInterval = 20 * time.Millisecond
	// platformTimeout limits one call to the platform.
	platformTimeout = 2 * time.Second
	// orderRetryPause is the time between orders for one VM until one is carried out.
	orderRetryPause = 500 * time.Millisecond
	// fleetReadPause is the least time between reads of the platform's list of VMs.
	fleetReadPause = 2 * time.Second
	// missingReadPause replaces it while a list lacks the VM of a silent target.
	missingReadPause = 500 * time.Millisecond
	// drainTimeout is the longest time that a VM of a wave waits until it is drained.
	drainTimeout = 4 * time.Second
	// returnTimeout is how long after its maintenance was accepted a VM may be away before
	// the platform is asked about it.
	returnTimeout = 4 * time.Second
	// restingMargin is added to the maintenance time of a resting VM: no target announces
	// its return.
	restingMargin = 500 * time.Millisecond
	// drainAhead is how many VMs are drained beyond those that may go down now.
	drainAhead = 2
	// drainTime is how long the next VM takes to drain in spite of drainAhead.
	drainTime = time.Second
)

// waveState is what the leader remembers of maintenance waves, guarded by the driver's mutex.
type waveState struct {
	// vms holds the maintenance of each VM, by wave: a VM of several waves is maintained once for
	// each of them.
	vms map[string]map[uint64]*vmMaintenance
	// adopted holds VMs whose recorded progress this leader has taken over or made.
	adopted        map[progressKey]bool
	readingFleet   bool
	fleetReadBegan time.Time
	// active is set while a wave is not complete.
	active bool
}

// vmMaintenance is the maintenance of a VM for one wave.
type vmMaintenance struct {
	// cordonedAt is since when the VM gets no starts; zero if it gets some.
	cordonedAt time.Time
	// calling is set while an order or a commit is in progress, lastOrderAt is when the last
	// order was sent.
	calling     bool
	lastOrderAt time.Time
	// awaySince is when the platform accepted the order; zero if it has not.
	awaySince time.Time
	// ends limits what the order of this leader ends. It is zero if a former leader has ordered
	// the maintenance, which may be over already.
	ends bornBefore
	// busy is set while the platform answers busy.
	busy *busyVM
}

func (m *vmMaintenance) cordoned() bool { return !m.cordonedAt.IsZero() }

func (m *vmMaintenance) away() bool { return !m.awaySince.IsZero() }

// maintenance returns the maintenance of a VM for a wave.
func (s *waveState) maintenance(wave uint64, vm string) *vmMaintenance {
	m := s.vms[vm][wave]
	if m == nil {
		m = new(vmMaintenance)
		if s.vms[vm] == nil {
			s.vms[vm] = make(map[uint64]*vmMaintenance)
		}
		s.vms[vm][wave] = m
	}
	return m
}

// forget drops the maintenance of a VM for a wave, which is over.
func (s *waveState) forget(wave uint64, vm string) {
	delete(s.vms[vm], wave)
	if len(s.vms[vm]) == 0 {
		delete(s.vms, vm)
	}
}

// cordonedAt returns since when a VM gets no starts; false if no wave has cordoned it.
func (s *waveState) cordonedAt(vm string) (first time.Time, cordoned bool) {
	for _, m := range s.vms[vm] {
		if m.cordoned() && (!cordoned || m.cordonedAt.Before(first)) {
			first, cordoned = m.cordonedAt, true
		}
	}
	return first, cordoned
}

func (s *waveState) cordoned(vm string) bool {
	_, cordoned := s.cordonedAt(vm)
	return cordoned
}

// takenByOther reports whether a VM is away for another wave, or an order or commit for one is in
// progress.
func (s *waveState) takenByOther(vm string, own *vmMaintenance) bool {
	for _, m := range s.vms[vm] {
		if m != own && (m.calling || m.away()) {
			return true
		}
	}
	return false
}

// calling reports whether an order or a commit for a VM is in progress for some wave.
func (s *waveState) calling(vm string) bool {
	for _, m := range s.vms[vm] {
		if m.calling {
			return true
		}
	}
	return false
}

// busyVM is a VM for which the platform answers busy. It may no longer exist, which shows
// by lists without it.
type busyVM struct {
	// answeredOrReadAt is the time of the first busy answer, or of the last list checked since.
	answeredOrReadAt time.Time
	// missing counts the consecutive lists without the VM.
	missing int
}

// progressKey identifies a VM of a wave.
type progressKey struct {
	wave uint64
	vm   string
}

// goneAfterLists is the number of consecutive lists without a VM after which it is
// permanently gone; a VM that will come back is listed as down.
const goneAfterLists = 2

func newWaveState() *waveState {
	return &waveState{vms: make(map[string]map[uint64]*vmMaintenance), adopted: make(map[progressKey]bool)}
}

// bornBefore is a time in Unix milliseconds that limits an order for a VM to the incarnations
// that were started there before. The order ends these; a later one may already be its result
// when the answer comes. The zero value limits it to none.
type bornBefore int64

// fleetView is the platform's list of VMs as last read.
type fleetView struct {
	vms    map[string]VM
	readAt time.Time
	// complete is set if the list names all VMs: one that it lacks does not exist.
	complete bool
	// changedAt is when this leader last learned of a change of a VM by other means.
	changedAt map[string]time.Time
	// largest is the CPU of the largest VM, in thousandths of a core.
	largest int64
}

// runWaves does what is due for each wave that is not complete.
func (d *Driver) runWaves() {
	var waves []*pb.Wave
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, w := range v.Waves() {
			if !workflow.WaveComplete(w) {
				waves = append(waves, w)
			}
		}
	})
	d.mu.Lock()
	d.waves.active = len(waves) > 0
	d.forgetMaintained(waves)
	d.mu.Unlock()
	for _, w := range waves {
		d.runWave(w)
	}
}

// forgetMaintained drops the maintenance of VMs for waves that have nothing left to do with them.
// The commit that ended it may have seemed to fail.
func (d *Driver) forgetMaintained(waves []*pb.Wave) {
	left := make(map[progressKey]bool)
	d.cfg.Machine.View(func(*workflow.View) {
		for _, w := range waves {
			for _, vm := range w.Vms {
				left[progressKey{w.Id, vm}] = !slices.Contains(w.Begun, vm)
			}
		}
	})
	for vm, byWave := range d.waves.vms {
		for wave, m := range byWave {
			if !left[progressKey{wave, vm}] && !m.calling {
				d.waves.forget(wave, vm)
			}
		}
	}
}

func (d *Driver) runWave(w *pb.Wave) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ordered, left []string
	d.cfg.Machine.View(func(*workflow.View) {
		ordered = slices.Clone(w.Ordered)
		for _, vm := range w.Vms {
			if !slices.Contains(w.Ordered, vm) && !slices.Contains(w.Begun, vm) {
				left = append(left, vm)
			}
		}
	})
	d.adoptProgress(w)
	for _, vm := range ordered {
		d.advanceMaintenance(w, vm)
	}
	atOnce := d.atOnce(w, len(left)+len(ordered))
	candidates := d.candidates(w, left)
	// Maintenance of VMs in an evacuated zone without long-running tasks takes no capacity: only the wave's cap limits how many VMs go at once.
	evacuated := min(int(w.Cap)-len(ordered), maintenance.CountEvacuated(candidates))
	d.cordonNext(w, candidates, max(atOnce-len(ordered)+drainAhead, evacuated))
	down := len(ordered)
	for _, vm := range left {
		if d.waves.maintenance(w.Id, vm).calling {
			down++
		}
	}
	forOthers := atOnce - maintenance.Reserved(candidates, atOnce, d.waveTimeLeft(w), d.cfg.Limits.VMMaintenance+drainTime)
	maintenance.SortForMaintenance(candidates)
	for _, candidate := range candidates {
		vm := candidate.VM
		switch {
		case down >= int(w.Cap):
			return
		case candidate.Evacuated:
		case down >= atOnce || down >= forOthers && len(candidate.Steps) == 0:
			return
		}
		if m := d.waves.maintenance(w.Id, vm); !m.cordoned() || m.calling || !d.drained(vm, m) {
			continue
		}
		// VMs whose order is being committed count as away, also for the next one in this loop.
		if d.mayGoDown(vm) {
			d.commitOrder(w, vm)
			down++
			continue
		}
		d.evacuate(vm)
	}
}

// adoptProgress takes over how far former leaders have brought the VMs of a wave.
func (d *Driver) adoptProgress(w *pb.Wave) {
	d.cfg.Machine.View(func(*workflow.View) {
		for _, p := range w.Progress {
			if d.waves.adopted[progressKey{w.Id, p.Vm}] {
				continue
			}
			d.waves.adopted[progressKey{w.Id, p.Vm}] = true
			m := d.waves.maintenance(w.Id, p.Vm)
			if p.CordonedIndex > 0 && !m.cordoned() {
				m.cordonedAt = d.appliedAt(p.CordonedIndex)
			}
			if p.AwayIndex > 0 && !m.away() && slices.Contains(w.Ordered, p.Vm) {
				m.awaySince, m.ends = d.appliedAt(p.AwayIndex), bornBefore(p.EndsBeforeUnixMs)
			}
			if p.MissingIndex > 0 && m.busy == nil {
				m.busy = &busyVM{answeredOrReadAt: d.appliedAt(p.MissingIndex), missing: 1}
			}
		}
	})
}

// noteProgress commits a step of a VM of a wave. If that fails, a later leader begins the step anew.
func (d *Driver) noteProgress(wave uint64, progress *pb.VMProgress) {
	d.waves.adopted[progressKey{wave, progress.Vm}] = true
	d.background(func() {
		_, err := d.commit(&pb.Command{Body: &pb.Command_NoteProgress{NoteProgress: &pb.NoteProgress{Wave: wave, Vm: progress.Vm, Progress: progress}}})
		if err != nil {
			event.WaveStepFailed.Emit(event.F("wave", wave), event.F("vm", progress.Vm), event.F("step", "commit its progress"), event.Err(err))
		}
	})
}

// atOnce returns how many VMs of a wave may be down now.
func (d *Driver) atOnce(w *pb.Wave, left int) int {
	return maintenance.Pace(left, d.waveTimeLeft(w), d.cfg.Limits.VMMaintenance+drainTime, int(w.Cap))
}

func (d *Driver) waveTimeLeft(w *pb.Wave) time.Duration {
	return time.Duration(w.DeclaredUnixMs+w.DurationMs-d.cfg.NowMS()) * time.Millisecond
}

// evacuate stops one lasting task of a step with more tasks on the VM than may be
// unavailable at once, if the step's budget allows it; the task restarts elsewhere.
func (d *Driver) evacuate(vm string) {
	l := d.linkOfVM(vm)
	if l == nil {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		for first, here := range lastingOn(v, l.target.Id) {
			budget := int(v.Task(first).Spec().MaxUnavailable)
			if here <= budget || d.unavailableElsewhere(v, first, "")+1 > budget {
				continue
			}
			for _, task := range v.PlacedOn(l.target.Id) {
				r := d.runOn(task, l.target.Id)
				if r != nil && r.phase == runConfirmed && task.ID.FirstOfStep() == first {
					event.TaskEvacuated.Emit(event.F("task", task.ID.String()), event.F("vm", vm), event.F("here", here), event.F("may_be_away", budget))
					d.callStop(r)
					return
				}
			}
		}
	})
}

// lastingOn counts the tasks on a target by lasting step with an availability budget; the
// key is the step's first task.
func lastingOn(v *workflow.View, target string) map[workflow.TaskID]int {
	steps := make(map[workflow.TaskID]int)
	for _, task := range v.PlacedOn(target) {
		if task.Spec().Lasting && task.Spec().MaxUnavailable > 0 && !workflow.Ended(task.Job.State) {
			steps[task.ID.FirstOfStep()]++
		}
	}
	return steps
}

// candidates describes VMs of a wave whose maintenance has not been ordered. It leaves out those
// that are being taken down for another wave: the platform carries out one order at a time.
func (d *Driver) candidates(w *pb.Wave, vms []string) []maintenance.Candidate {
	links := d.linksByVM()
	out := make([]maintenance.Candidate, 0, len(vms))
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, vm := range vms {
			m := d.waves.maintenance(w.Id, vm)
			if !m.calling && (d.waves.takenByOther(vm, m) || v.MaintenanceOrdered(vm)) {
				continue
			}
			l := links[vm]
			c := maintenance.Candidate{VM: vm, Cordoned: m.cordoned(), Evacuated: v.Evacuated(zoneOfVM(v, d.fleet.vms[vm], l))}
			if l != nil {
				// Long-running tasks that are still there have no room elsewhere yet: a VM with such tasks is not cheap.
				c.Evacuated = c.Evacuated && v.UsedOn(l.target.Id).Lasting == 0
				c.LoadMillis, c.Steps = v.UsedOn(l.target.Id).Room.CPUMillis, lastingSteps(v, l.target.Id)
			}
			out = append(out, c)
		}
	})
	return out
}

// cordonNext begins to drain VMs of the wave, so that one is ready when the wave's cap and
// pace allow it; want are to be drained.
func (d *Driver) cordonNext(w *pb.Wave, left []maintenance.Candidate, want int) {
	load := make(map[string]int64, len(left))
	for _, c := range left {
		load[c.VM] = c.LoadMillis
	}
	for _, vm := range maintenance.ToCordon(left, want, d.waveTimeLeft(w), d.cfg.Limits.VMMaintenance+drainTime) {
		d.waves.maintenance(w.Id, vm).cordonedAt = d.cfg.Now()
		d.noteProgress(w.Id, &pb.VMProgress{Vm: vm, CordonedIndex: 1})
		event.VMCordoned.Emit(event.F("vm", vm), event.F("wave", w.Id), event.F("cpu_millis", load[vm]))
		d.vmDecisions.note(d.cfg.Now(), vm, "takes no starts ahead of its maintenance in wave %d", w.Id)
	}
}

// lastingSteps returns the lasting steps with an availability budget on a target.
func lastingSteps(v *workflow.View, target string) []maintenance.LastingStep {
	if v.UsedOn(target).Lasting == 0 {
		return nil
	}
	var steps []maintenance.LastingStep
	for first := range lastingOn(v, target) {
		steps = append(steps, maintenance.LastingStep{ID: first.String(), Budget: int(v.Task(first).Spec().MaxUnavailable)})
	}
	return steps
}

// linkOfVM returns the link of the newest target on a VM, or nil.
func (d *Driver) linkOfVM(vm string) *link {
	var newest *link
	for _, l := range d.linksOn(vm) {
		newest = newer(newest, l)
	}
	return newest
}

// linksByVM returns the link of the newest target on each VM, for callers that need all of
// them.
func (d *Driver) linksByVM() map[string]*link {
	out := make(map[string]*link, len(d.links))
	for _, l := range d.links {
		out[l.target.Vm] = newer(out[l.target.Vm], l)
	}
	return out
}

// newer returns the link whose target was started last; a may be nil.
func newer(a, b *link) *link {
	if a == nil || b.target.BornUnixMs > a.target.BornUnixMs {
		return b
	}
	return a
}

// knownOn returns the limit that covers the incarnations known on a VM now.
func (d *Driver) knownOn(vm string) bornBefore {
	if l := d.linkOfVM(vm); l != nil {
		return bornBefore(l.target.BornUnixMs + 1)
	}
	return 0
}

// endIncarnationsOn ends the incarnations on a VM that were started before a time: a VM runs
// one target, so earlier ones are gone.
func (d *Driver) endIncarnationsOn(vm string, before bornBefore, reason endReason) {
	if vm == "" {
		return
	}
	for _, l := range d.linksOn(vm) {
		if bornBefore(l.target.BornUnixMs) < before {
			d.endIncarnation(l, reason)
		}
	}
}

// linksOn returns the links of the targets on a VM.
func (d *Driver) linksOn(vm string) []*link {
	var on []*link
	for _, l := range d.links {
		if l.target.Vm == vm {
			on = append(on, l)
		}
	}
	return on
}

// drained reports whether only lasting tasks are left on a cordoned VM and its pool has other VMs
// for them, or drainTimeout is over.
func (d *Driver) drained(vm string, m *vmMaintenance) bool {
	if d.cfg.Now().Sub(m.cordonedAt) > drainTimeout {
		return true
	}
	l := d.linkOfVM(vm)
	if l == nil {
		return true
	}
	occupied := false
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, task := range v.PlacedOn(l.target.Id) {
			occupied = occupied || !task.Spec().Lasting || d.pools.belowMinVMs[l.target.Pool]
		}
	})
	return !occupied
}

// mayGoDown reports whether every lasting step with tasks on the VM stays within its
// availability budget when they end.
func (d *Driver) mayGoDown(vm string) bool {
	l := d.linkOfVM(vm)
	if l == nil {
		return true
	}
	allowed := true
	d.cfg.Machine.View(func(v *workflow.View) {
		for first, here := range lastingOn(v, l.target.Id) {
			if d.unavailableElsewhere(v, first, vm)+here > int(v.Task(first).Spec().MaxUnavailable) {
				allowed = false
			}
		}
	})
	return allowed
}

// unavailableElsewhere counts the tasks of a lasting step on other VMs that are not at
// work, have only just started, or are about to end by an order.
func (d *Driver) unavailableElsewhere(v *workflow.View, first workflow.TaskID, except string) int {
	away := 0
	for _, task := range v.Job(first.Job).Tasks[first.Occurrence][first.Step] {
		if task.State == pb.TaskState_TASK_STATE_PLACED && v.Target(task.Target).GetVm() == except {
			continue
		}
		if d.isUnavailable(v, task) {
			away++
		}
	}
	return away
}

// isUnavailable reports whether a lasting task is not at work, has only just started, or is about to end by an order.
func (d *Driver) isUnavailable(v *workflow.View, task *workflow.Task) bool {
	vm := v.Target(task.Target).GetVm()
	r := d.runOn(task, task.Target)
	atWork := task.State == pb.TaskState_TASK_STATE_PLACED && r != nil && r.phase == runConfirmed &&
		r.percent >= fullPace && d.hasFreshListing(task.Target)
	return !atWork || d.cfg.Now().Sub(r.progressAt) < minTimeAtWork || d.waves.calling(vm) || v.MaintenanceOrdered(vm)
}

// maxListingAge limits the age of a listing on which an order relies.
const maxListingAge = 900 * time.Millisecond

// hasFreshListing reports whether the target's last listing is recent and no call to it has
// failed since.
func (d *Driver) hasFreshListing(target string) bool {
	l := d.links[target]
	return l != nil && l.failures == 0 && d.cfg.Now().Sub(l.answeredAt) < maxListingAge
}

// maintenanceOrdered reports whether the VM's maintenance is ordered, so that its target ends.
func (d *Driver) maintenanceOrdered(vm string) bool {
	down := false
	d.cfg.Machine.View(func(v *workflow.View) { down = v.MaintenanceOrdered(vm) })
	return down
}

// minTimeAtWork is how long a lasting task must have been at work to count as available.
const minTimeAtWork = 500 * time.Millisecond

// commitOrder commits that the VM's maintenance begins; the platform is asked afterwards.
func (d *Driver) commitOrder(w *pb.Wave, vm string) {
	m := d.waves.maintenance(w.Id, vm)
	m.calling = true
	id := w.Id
	d.background(func() {
		out, err := d.commit(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: id, Vm: vm}}})
		d.mu.Lock()
		m.calling = false
		if err == nil && out.Code == workflow.OK {
			m.ends = d.knownOn(vm)
		}
		d.mu.Unlock()
		if err != nil || out.Code != workflow.OK {
			event.WaveStepFailed.Emit(event.F("wave", id), event.F("vm", vm), event.F("step", "commit the begin of maintenance"))
			return
		}
		d.requestRound()
	})
}

// advanceMaintenance sends a VM's maintenance order until the platform accepts it, then
// waits until the VM is back.
func (d *Driver) advanceMaintenance(w *pb.Wave, vm string) {
	now := d.cfg.Now()
	m := d.waves.maintenance(w.Id, vm)
	if m.calling {
		return
	}
	if m.away() {
		if d.isRestingPool(d.fleet.vms[vm].Pool) && d.linkOfVM(vm) == nil {
			if now.Sub(m.awaySince) > d.cfg.Limits.VMMaintenance+restingMargin {
				d.finishMaintenance(w.Id, vm, "its pool is resting and its maintenance time is over")
			}
			return
		}
		if now.Sub(m.awaySince) > returnTimeout {
			d.readFleet()
			if listed, known := d.fleet.vms[vm]; d.fleet.readAt.After(m.awaySince.Add(returnTimeout)) && (!known || listed.State == VMUp || listed.State == VMDown) {
				d.finishMaintenance(w.Id, vm, "the platform's list: "+d.listedState(vm))
			}
		}
		return
	}
	if d.permanentlyGone(w, vm, m.busy) {
		event.VMGone.Emit(event.F("vm", vm), event.F("wave", w.Id), event.F("lists", goneAfterLists))
		d.finishMaintenance(w.Id, vm, "it no longer exists")
		return
	}
	if now.Sub(m.lastOrderAt) < orderRetryPause || d.waves.takenByOther(vm, m) {
		return
	}
	m.calling, m.lastOrderAt = true, now
	id := w.Id
	d.callPlatform(vm, func(ctx context.Context, order VMOrder) (VMRefusal, error) {
		return d.cfg.VMs.Maintain(ctx, order, id)
	}, func(refusal VMRefusal, err error) { d.handleMaintenanceAnswer(id, vm, m, refusal, err) })
}

// callPlatform sends an order for a VM in the background, only while the leader's lease is
// held, and passes the answer to take.
func (d *Driver) callPlatform(vm string, send func(context.Context, VMOrder) (VMRefusal, error), take func(VMRefusal, error)) {
	order := VMOrder{VM: vm, Holder: d.cfg.Holder, Fence: d.cfg.Epoch}
	d.background(func() {
		if !d.cfg.Log.HoldsLease() {
			take(VMStaleFence, ErrNoLease)
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		go d.cancelWithLease(ctx, cancel)
		take(send(ctx, order))
	})
}

// cancelWithLease cancels an order once the leader's lease is no longer held: what the network
// holds back of it must not reach the platform after the orders of a later leader.
func (d *Driver) cancelWithLease(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(leaseWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !d.cfg.Log.HoldsLease() {
				cancel()
				return
			}
		}
	}
}

// permanentlyGone reports whether a VM that cannot be taken down no longer exists, and
// reads the platform's list until that is known.
func (d *Driver) permanentlyGone(w *pb.Wave, vm string, busy *busyVM) bool {
	if busy == nil {
		return false
	}
	if !d.fleet.readAt.After(busy.answeredOrReadAt) {
		d.readFleet()
		return false
	}
	busy.answeredOrReadAt = d.fleet.readAt
	_, listed := d.fleet.vms[vm]
	switch {
	case listed:
		busy.missing = 0
	case d.fleet.complete:
		busy.missing++
		if busy.missing == 1 {
			d.noteProgress(w.Id, &pb.VMProgress{Vm: vm, MissingIndex: 1})
		}
	}
	return busy.missing >= goneAfterLists
}

func (d *Driver) handleMaintenanceAnswer(wave uint64, vm string, m *vmMaintenance, refusal VMRefusal, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.calling = false
	if err != nil {
		event.PlatformSilent.Emit(event.F("step", "maintenance"), event.F("vm", vm), event.Err(err))
		return
	}
	now := d.cfg.Now()
	event.MaintenanceAnswered.Emit(event.F("wave", wave), event.F("vm", vm), event.F("answer", refusal.String()), event.F("sent_ms_ago", ageMS(m.lastOrderAt, now)))
	d.vmDecisions.note(d.cfg.Now(), vm, "the platform answered the maintenance of wave %d: %s", wave, refusal)
	if refusal != VMBusy {
		m.busy = nil
	}
	switch refusal {
	case VMBusy:
		if m.busy == nil {
			m.busy = &busyVM{answeredOrReadAt: d.cfg.Now()}
		}
	case VMAccepted:
		m.awaySince = now
		d.noteProgress(wave, &pb.VMProgress{Vm: vm, AwayIndex: 1, EndsBeforeUnixMs: int64(m.ends)})
		d.endIncarnationsOn(vm, m.ends, "its VM is in maintenance")
		if d.knownOn(vm) > m.ends {
			// The VM may be back already: the platform's list tells.
			m.awaySince = now.Add(-returnTimeout)
		}
	case VMUnknown, VMNotInWave:
		d.finishMaintenance(wave, vm, "the platform answered: "+refusal.String())
	}
}

// noteVMBack ends the move of a VM on which a new incarnation has started, and its maintenance for
// the waves for which the platform has accepted the order.
func (d *Driver) noteVMBack(target *pb.Target) {
	for _, m := range d.waves.vms[target.Vm] {
		if bornBefore(target.BornUnixMs) < m.ends {
			// A late announcement of an incarnation from before the order.
			return
		}
	}
	d.noteMoved(target)
	for wave, m := range d.waves.vms[target.Vm] {
		if m.away() {
			d.finishMaintenance(wave, target.Vm, "its target has announced itself")
		}
	}
}

// finishMaintenance commits that the maintenance of a VM for a wave is over.
func (d *Driver) finishMaintenance(wave uint64, vm, reason string) {
	m := d.waves.maintenance(wave, vm)
	if m.calling {
		return
	}
	m.calling = true
	d.background(func() {
		_, err := d.commit(&pb.Command{Body: &pb.Command_EndMaintenance{EndMaintenance: &pb.EndMaintenance{Wave: wave, Vm: vm}}})
		d.mu.Lock()
		defer d.mu.Unlock()
		m.calling = false
		if err != nil {
			event.WaveStepFailed.Emit(event.F("wave", wave), event.F("vm", vm), event.F("step", "commit the end of maintenance"), event.Err(err))
			return
		}
		d.waves.forget(wave, vm)
		event.MaintenanceEnded.Emit(event.F("vm", vm), event.F("wave", wave), event.F("reason", reason))
		d.vmDecisions.note(d.cfg.Now(), vm, "its maintenance of wave %d is over: %s", wave, reason)
	})
}

// readFleet reads the platform's list of VMs in the background, at most once per
// fleetReadPause.
func (d *Driver) readFleet() { d.readFleetAfter(fleetReadPause) }

// readFleetAfter is readFleet with another pause since the last read.
func (d *Driver) readFleetAfter(pause time.Duration) {
	now := d.cfg.Now()
	if d.waves.readingFleet || now.Sub(d.waves.fleetReadBegan) < pause {
		return
	}
	d.waves.readingFleet, d.waves.fleetReadBegan = true, now
	d.background(func() {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		asked := d.cfg.Now()
		list, err := d.cfg.VMs.List(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waves.readingFleet = false
		if err != nil {
			event.PlatformSilent.Emit(event.F("step", "list VMs"), event.Err(err))
			return
		}
		d.updateFleet(list, asked)
	})
}

// noteChanged stores what this leader has learned of a listed VM by other means than the
// platform's list.
func (f *fleetView) noteChanged(vm VM, now time.Time) {
	f.vms[vm.Name] = vm
	if f.changedAt == nil {
		f.changedAt = make(map[string]time.Time)
	}
	f.changedAt[vm.Name] = now
}

// updateFleet stores the platform's list, requested at asked. Moves that this leader
// ordered since then, and what it has learned since then, are newer than the list.
func (d *Driver) updateFleet(list VMList, asked time.Time) {
	before := d.fleet.vms
	d.fleet.vms = make(map[string]VM, len(list.VMs))
	for _, vm := range list.VMs {
		if known, ok := before[vm.Name]; ok && d.fleet.changedAt[vm.Name].After(asked) {
			d.fleet.vms[vm.Name] = known
			continue
		}
		delete(d.fleet.changedAt, vm.Name)
		if m := d.pools.moving[vm.Name]; m != nil && m.sentAt.After(asked) {
			vm.Pool = before[vm.Name].Pool
		}
		if (vm.State == VMMoving || vm.State == VMInMaintenance) && asked.After(d.pools.restingBusyUntil[vm.Name]) {
			d.pools.restingBusyUntil[vm.Name] = asked.Add(max(d.cfg.Limits.VMMove, d.cfg.Limits.VMMaintenance))
		}
		d.fleet.vms[vm.Name] = vm
		d.fleet.largest = max(d.fleet.largest, vm.Capacity.CPUMillis)
	}
	d.fleet.readAt, d.fleet.complete = asked, list.complete()
	d.noteListed(list, asked)
}

// listedState returns what the platform's list, as last read, says of a VM.
func (d *Driver) listedState(name string) string {
	if d.fleet.readAt.IsZero() {
		return "not read"
	}
	if vm, ok := d.fleet.vms[name]; ok {
		return vm.State.String()
	}
	return "missing"
}

// noteListed notes what the platform's list, requested at asked, says of the VMs of targets that
// have sent nothing since, and ends the incarnations of silent ones whose VMs are down.
func (d *Driver) noteListed(list VMList, asked time.Time) {
	listed := make(map[string]VMState, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Name] = vm.State
	}
	for _, l := range d.links {
		if asked.Before(d.lastHeard(l)) {
			continue
		}
		state, present := listed[l.target.Vm]
		switch {
		case present:
			l.missingInLists = 0
			if l.failures > 0 && state == VMDown {
				d.endIncarnation(l, vmListedAsDown)
			}
		case list.complete():
			l.missingInLists++
			l.missingAsked = asked
		}
	}
}

// noteHeard records that the target has sent something.
func (l *link) noteHeard() {
	l.unlisted = l.unlisted || l.missingInLists > 0
	l.missingInLists = 0
}

// lastHeard returns when the target last sent something to this leader, or to a former one at the
// latest.
func (d *Driver) lastHeard(l *link) time.Time {
	return later(later(l.answeredAt, l.announcedAt), d.startedAt)
}

// vmIsGone reports whether the platform's lists no longer contain the VM of a silent target. A
// VM that will come back is listed as down.
func (l *link) vmIsGone() bool {
	return l.failures > 0 && l.target.Vm != "" && !l.unlisted && l.missingInLists >= goneAfterLists
}
