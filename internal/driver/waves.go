package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// orderPause spaces orders for one VM that were not carried out.
	orderPause = 500 * time.Millisecond
	// listPause spaces readings of the platform's list of VMs.
	listPause = 2 * time.Second
	// drainPatience is how long a VM of a wave waits for its short tasks to end.
	drainPatience = 4 * time.Second
	// returnPatience is how long a VM may be away after its maintenance before
	// the platform is asked about it.
	returnPatience = 4 * time.Second
	// restingMargin is added to the maintenance of a resting VM, of whose return
	// nothing tells.
	restingMargin = 500 * time.Millisecond
	// drainAhead is how many VMs beyond those that go down are being emptied.
	drainAhead = 2
	// emptyTime is how long the next VM takes to empty beyond what drainAhead hides.
	emptyTime = time.Second
)

// waveLoop is what the leader remembers of waves. The driver's mutex guards it.
type waveLoop struct {
	// cordoned VMs get no starts.
	cordoned map[string]bool
	since    map[string]time.Time
	// calling holds VMs with an order under way, tried when the last one began.
	calling map[string]bool
	tried   map[string]time.Time
	// away holds VMs whose maintenance has begun and that are not back, with
	// the time of the order.
	away map[string]time.Time
	// busy holds ordered VMs that the platform would not take down.
	busy    map[string]*busyVM
	listing bool
	listed  time.Time
	// active tells that a wave is under way.
	active bool
}

// busyVM is a VM that may be gone for good: the platform answers busy for it,
// and no list names it any more.
type busyVM struct {
	// checked is the time of the last answer or list that was looked at.
	checked time.Time
	// missing counts the lists in a row without the VM.
	missing int
}

// goneAfter is the number of lists in a row without a VM after which it is gone
// for good; a VM that comes back is listed as down meanwhile.
const goneAfter = 2

func newWaveLoop() *waveLoop {
	return &waveLoop{
		busy:     make(map[string]*busyVM),
		cordoned: make(map[string]bool), since: make(map[string]time.Time), calling: make(map[string]bool),
		tried: make(map[string]time.Time), away: make(map[string]time.Time),
	}
}

// fleetView is the platform's list of VMs as last read.
type fleetView struct {
	vms    map[string]VM
	readAt time.Time
	// largest is the processor room of the largest VM.
	largest int64
}

// runWaves brings each wave on by what is due.
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
	d.mu.Unlock()
	for _, w := range waves {
		d.runWave(w)
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
	for _, vm := range ordered {
		d.bringOn(w, vm)
	}
	atOnce := d.atOnce(w, len(left)+len(ordered))
	d.cordonNext(w, left, atOnce-len(ordered))
	down := len(ordered)
	for _, vm := range left {
		if d.waves.calling[vm] {
			down++
		}
	}
	for _, vm := range left {
		if down >= atOnce {
			return
		}
		if !d.waves.cordoned[vm] || d.waves.calling[vm] || !d.emptied(vm) {
			continue
		}
		// VMs that are being ordered count as away, also for the next one here.
		if d.mayGoDown(vm) {
			d.order(w, vm)
			down++
			continue
		}
		d.evacuate(vm)
	}
}

// atOnce returns how many VMs of a wave may be down now.
func (d *Driver) atOnce(w *pb.Wave, left int) int {
	end := w.DeclaredUnixMs + w.DurationMs
	return maintenance.Pace(left, time.Duration(end-d.cfg.NowMS())*time.Millisecond, d.cfg.Limits.VMMaintenance+emptyTime, int(w.Cap))
}

// evacuate stops one lasting task of a step that has more tasks on the VM than
// may be away at once, if one may: it starts again elsewhere.
func (d *Driver) evacuate(vm string) {
	l := d.linkOfVM(vm)
	if l == nil {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		for first, here := range lastingOn(v, l.target.Id) {
			most := int(v.Task(first).Spec().MaxUnavailable)
			if here <= most || d.awayElsewhere(v, first, "")+1 > most {
				continue
			}
			for _, task := range v.Placed(l.target.Id) {
				r := d.runOn(task, l.target.Id)
				if r != nil && r.phase == runConfirmed && task.ID.FirstOfStep() == first {
					event.TaskEvacuated.Emit(event.F("task", task.ID.String()), event.F("vm", vm), event.F("here", here), event.F("may_be_away", most))
					d.callStop(r)
					return
				}
			}
		}
	})
}

// lastingOn counts the tasks on a target of each lasting step with a budget, by
// the step's first task.
func lastingOn(v *workflow.View, target string) map[workflow.TaskID]int {
	steps := make(map[workflow.TaskID]int)
	for _, task := range v.Placed(target) {
		if task.Spec().Lasting && task.Spec().MaxUnavailable > 0 && !workflow.Ended(task.Job.State) {
			steps[task.ID.FirstOfStep()]++
		}
	}
	return steps
}

// cordonNext empties VMs of the wave so that one is ready when the cap allows
// and the pace allow it: those first that have the least to lose.
func (d *Driver) cordonNext(w *pb.Wave, left []string, free int) {
	cordoned := 0
	for _, vm := range left {
		if d.waves.cordoned[vm] {
			cordoned++
		}
	}
	want := free + drainAhead
	if cordoned >= want {
		return
	}
	load, links := make(map[string]int64), d.linksByVM()
	for _, vm := range left {
		load[vm] = d.workOn(links[vm])
	}
	slices.SortStableFunc(left, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
	for _, vm := range left {
		if cordoned >= want {
			return
		}
		if !d.waves.cordoned[vm] {
			d.waves.cordoned[vm] = true
			d.waves.since[vm] = d.cfg.Now()
			cordoned++
			event.VMCordoned.Emit(event.F("vm", vm), event.F("wave", w.Id), event.F("cpu_millis", load[vm]))
			d.decided.note(d.cfg.Now(), vm, "takes no starts ahead of its maintenance in wave %d", w.Id)
		}
	}
}

// linkOfVM returns the link of the newest target on a VM, or nil.
func (d *Driver) linkOfVM(vm string) *link {
	var newest *link
	for _, l := range d.links {
		if l.target.Vm == vm {
			newest = newer(newest, l)
		}
	}
	return newest
}

// linksByVM returns the link of the newest target on each VM, for who looks at
// all VMs.
func (d *Driver) linksByVM() map[string]*link {
	out := make(map[string]*link, len(d.links))
	for _, l := range d.links {
		out[l.target.Vm] = newer(out[l.target.Vm], l)
	}
	return out
}

// newer returns the link of the target that began last; a may be nil.
func newer(a, b *link) *link {
	if a == nil || b.target.BornUnixMs > a.target.BornUnixMs {
		return b
	}
	return a
}

// endIncarnationsOn ends the incarnations on a VM that began before a time: a VM runs one
// target, and what it ran before is gone.
func (d *Driver) endIncarnationsOn(vm string, before int64, reason string) {
	if vm == "" {
		return
	}
	for _, l := range d.links {
		if l.target.Vm == vm && l.target.BornUnixMs < before {
			d.endIncarnation(l, reason)
		}
	}
}

// workOn returns the processor room that tasks take on a target; 0 without one.
func (d *Driver) workOn(l *link) int64 {
	if l == nil {
		return 0
	}
	total := int64(0)
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, task := range v.Placed(l.target.Id) {
			total += task.Spec().Needs.GetCpuMillis()
		}
	})
	return total
}

// emptied reports whether no short task runs on the VM any more and its lasting ones
// find another VM, or the wait for that is over.
func (d *Driver) emptied(vm string) bool {
	if d.cfg.Now().Sub(d.waves.since[vm]) > drainPatience {
		return true
	}
	l := d.linkOfVM(vm)
	if l == nil {
		return true
	}
	held := false
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, task := range v.Placed(l.target.Id) {
			held = held || !task.Spec().Lasting || d.pools.thin[l.target.Pool]
		}
	})
	return !held
}

// mayGoDown reports whether every lasting step with tasks on the VM keeps its
// availability budget when they end.
func (d *Driver) mayGoDown(vm string) bool {
	l := d.linkOfVM(vm)
	if l == nil {
		return true
	}
	allowed := true
	d.cfg.Machine.View(func(v *workflow.View) {
		for first, here := range lastingOn(v, l.target.Id) {
			if d.awayElsewhere(v, first, vm)+here > int(v.Task(first).Spec().MaxUnavailable) {
				allowed = false
			}
		}
	})
	return allowed
}

// awayElsewhere counts the tasks of a lasting step on other VMs that are not at
// work, have only just begun, or are about to end by an order.
func (d *Driver) awayElsewhere(v *workflow.View, first workflow.TaskID, except string) int {
	away := 0
	now := d.cfg.Now()
	for _, task := range v.Job(first.Job).Tasks[first.Occurrence][first.Step] {
		vm := v.Target(task.Target).GetVm()
		if task.State == pb.TaskState_TASK_STATE_PLACED && vm == except {
			continue
		}
		r := d.runOn(task, task.Target)
		atWork := task.State == pb.TaskState_TASK_STATE_PLACED && r != nil && r.phase == runConfirmed &&
			r.percent >= fullPace && d.fresh(task.Target)
		if !atWork || now.Sub(r.movedAt) < backMargin || d.waves.calling[vm] || v.Ordered(vm) {
			away++
		}
	}
	return away
}

// freshListing bounds the age of a listing that an order relies on.
const freshListing = 900 * time.Millisecond

// fresh reports whether a target has just listed its runs.
func (d *Driver) fresh(target string) bool {
	l := d.links[target]
	return l != nil && l.failures == 0 && d.cfg.Now().Sub(l.answeredAt) < freshListing
}

// orderedDown reports whether the VM's maintenance is ordered: its target ends.
func (d *Driver) orderedDown(vm string) bool {
	down := false
	d.cfg.Machine.View(func(v *workflow.View) { down = v.Ordered(vm) })
	return down
}

// backMargin is how long a lasting task must have been seen at work.
const backMargin = 500 * time.Millisecond

// order commits that the VM's maintenance begins, then asks the platform.
func (d *Driver) order(w *pb.Wave, vm string) {
	if d.waves.calling[vm] {
		return
	}
	d.waves.calling[vm] = true
	id := w.Id
	d.call(func() {
		out, err := d.commit(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: id, Vm: vm}}})
		d.mu.Lock()
		delete(d.waves.calling, vm)
		d.mu.Unlock()
		if err != nil || out.Code != workflow.OK {
			event.WaveStepFailed.Emit(event.F("wave", id), event.F("vm", vm), event.F("step", "commit the order"))
			return
		}
		d.kick()
	})
}

// bringOn sends the order of a VM until it is carried out, then waits until
// the VM is back.
func (d *Driver) bringOn(w *pb.Wave, vm string) {
	now := d.cfg.Now()
	if d.waves.calling[vm] {
		return
	}
	if at, ok := d.waves.away[vm]; ok {
		if d.restingPool(d.fleet.vms[vm].Pool) && d.linkOfVM(vm) == nil {
			if now.Sub(at) > d.cfg.Limits.VMMaintenance+restingMargin {
				d.finishMaintenance(w.Id, vm)
			}
			return
		}
		if now.Sub(at) > returnPatience {
			d.readFleet()
			if listed, known := d.fleet.vms[vm]; d.fleet.readAt.After(at.Add(returnPatience)) && (!known || listed.State == VMUp || listed.State == VMDown) {
				d.finishMaintenance(w.Id, vm)
			}
		}
		return
	}
	if d.goneForGood(vm) {
		event.VMGone.Emit(event.F("vm", vm), event.F("wave", w.Id), event.F("lists", goneAfter))
		d.finishMaintenance(w.Id, vm)
		return
	}
	if now.Sub(d.waves.tried[vm]) < orderPause {
		return
	}
	d.waves.calling[vm], d.waves.tried[vm] = true, now
	id := w.Id
	d.callPlatform(vm, func(ctx context.Context, order VMOrder) (VMRefusal, error) {
		return d.cfg.VMs.Maintain(ctx, order, id)
	}, func(refusal VMRefusal, err error) { d.takeOrder(id, vm, refusal, err) })
}

// callPlatform sends an order for a VM beside the loop, under the leader's lease
// alone, and hands on the answer.
func (d *Driver) callPlatform(vm string, send func(context.Context, VMOrder) (VMRefusal, error), take func(VMRefusal, error)) {
	order := VMOrder{VM: vm, Holder: d.cfg.Holder, Fence: d.cfg.Epoch}
	d.call(func() {
		if !d.cfg.Log.HoldsLease() {
			take(VMStaleFence, ErrNoLease)
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		take(send(ctx, order))
	})
}

// goneForGood reports whether a VM that cannot be taken down does not exist any
// more, and asks for the platform's list while that is open.
func (d *Driver) goneForGood(vm string) bool {
	busy := d.waves.busy[vm]
	if busy == nil {
		return false
	}
	if !d.fleet.readAt.After(busy.checked) {
		d.readFleet()
		return false
	}
	busy.checked = d.fleet.readAt
	if _, listed := d.fleet.vms[vm]; listed {
		busy.missing = 0
	} else {
		busy.missing++
	}
	return busy.missing >= goneAfter
}

func (d *Driver) takeOrder(wave uint64, vm string, refusal VMRefusal, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waves.calling, vm)
	if err != nil {
		event.PlatformSilent.Emit(event.F("step", "maintenance"), event.F("vm", vm), event.Err(err))
		return
	}
	event.MaintenanceAnswered.Emit(event.F("wave", wave), event.F("vm", vm), event.F("answer", refusal.String()))
	d.decided.note(d.cfg.Now(), vm, "the platform answered the maintenance of wave %d: %s", wave, refusal)
	if refusal != VMBusy {
		delete(d.waves.busy, vm)
	}
	switch refusal {
	case VMBusy:
		if d.waves.busy[vm] == nil {
			d.waves.busy[vm] = &busyVM{checked: d.cfg.Now()}
		}
	case VMAccepted:
		d.waves.away[vm] = d.cfg.Now()
		if l := d.linkOfVM(vm); l != nil {
			d.endIncarnationsOn(vm, l.target.BornUnixMs+1, "its VM is in maintenance")
		}
	case VMUnknown, VMNotInWave:
		d.finishMaintenance(wave, vm)
	}
}

// noteVMBack ends the wait for a VM whose target has begun a new incarnation.
func (d *Driver) noteVMBack(target *pb.Target) {
	d.noteMoved(target)
	if _, ok := d.waves.away[target.Vm]; !ok {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, w := range v.Waves() {
			if slices.Contains(w.Ordered, target.Vm) {
				d.finishMaintenance(w.Id, target.Vm)
			}
		}
	})
}

func (d *Driver) finishMaintenance(wave uint64, vm string) {
	if d.waves.calling[vm] {
		return
	}
	d.waves.calling[vm] = true
	d.call(func() {
		_, err := d.commit(&pb.Command{Body: &pb.Command_EndMaintenance{EndMaintenance: &pb.EndMaintenance{Wave: wave, Vm: vm}}})
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waves.calling, vm)
		if err != nil {
			event.WaveStepFailed.Emit(event.F("wave", wave), event.F("vm", vm), event.F("step", "commit the return"), event.Err(err))
			return
		}
		delete(d.waves.cordoned, vm)
		delete(d.waves.away, vm)
		delete(d.waves.busy, vm)
		event.VMBack.Emit(event.F("vm", vm), event.F("wave", wave))
		d.decided.note(d.cfg.Now(), vm, "is back from the maintenance of wave %d", wave)
	})
}

// readFleet reads the platform's list of VMs beside the loop, at most once in
// listPause.
func (d *Driver) readFleet() {
	now := d.cfg.Now()
	if d.waves.listing || now.Sub(d.waves.listed) < listPause {
		return
	}
	d.waves.listing, d.waves.listed = true, now
	d.call(func() {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		asked := d.cfg.Now()
		vms, err := d.cfg.VMs.List(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waves.listing = false
		if err != nil {
			event.PlatformSilent.Emit(event.F("step", "list VMs"), event.Err(err))
			return
		}
		d.takeFleet(vms, asked)
	})
}

// takeFleet takes in the platform's list. What this leader ordered since it
// asked is newer than the list.
func (d *Driver) takeFleet(vms []VM, asked time.Time) {
	before := d.fleet.vms
	d.fleet.vms = make(map[string]VM, len(vms))
	for _, vm := range vms {
		if m := d.pools.moving[vm.Name]; m != nil && m.tried.After(asked) {
			vm.Pool = before[vm.Name].Pool
		}
		if (vm.State == VMMoving || vm.State == VMInMaintenance) && asked.After(d.pools.settles[vm.Name]) {
			d.pools.settles[vm.Name] = asked.Add(max(d.cfg.Limits.VMMove, d.cfg.Limits.VMMaintenance))
		}
		d.fleet.vms[vm.Name] = vm
		d.fleet.largest = max(d.fleet.largest, vm.Capacity.CPUMillis)
	}
	d.fleet.readAt = asked
}
