package driver

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/evacuation"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// maxZonesNoted limits the availability zones that one command records.
const maxZonesNoted = 64

// orderEvacuation begins or ends the evacuation of an availability zone. It answers once the
// order is committed.
func (d *Driver) orderEvacuation(ctx context.Context, r *pb.Request) *pb.Response {
	if refused := d.checkZone(r.Zone); refused != nil {
		return refused
	}
	order := &pb.EvacuationOrder{Zone: r.Zone, Id: r.OrderId, After: r.OrderAfter}
	if order.Id == "" {
		d.cfg.Machine.View(func(v *workflow.View) { order.After = v.Zone(r.Zone).GetLastOrder() })
	}
	begin := r.Operation == pb.Operation_OPERATION_BEGIN_EVACUATION
	command := &pb.Command{Body: &pb.Command_EndEvacuation{EndEvacuation: &pb.EndEvacuation{Order: order}}}
	if begin {
		command = &pb.Command{Body: &pb.Command_BeginEvacuation{BeginEvacuation: &pb.BeginEvacuation{Order: order}}}
	}
	out, err := d.commitWithContext(ctx, command)
	if err != nil {
		return commitFailed(err)
	}
	switch out.Code {
	case workflow.OK:
	case workflow.Refused:
		return &pb.Response{Answer: pb.Answer_ANSWER_CONFLICT, Reason: out.Reason}
	default:
		return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: out.Reason}
	}
	ordered := event.EvacuationEnded
	if begin {
		ordered = event.EvacuationBegun
	}
	ordered.Emit(event.F("zone", r.Zone), event.F("index", out.Index))
	d.requestRound()
	return &pb.Response{Answer: pb.Answer_ANSWER_OK, OrderNumber: out.Index, Evacuated: begin}
}

// checkZone returns the refusal of a request about an availability zone that was never named, or
// nil. A new leader does not know the zones of all VMs before the platform has listed these.
func (d *Driver) checkZone(zone string) *pb.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := false
	d.cfg.Machine.View(func(v *workflow.View) { known = v.Zone(zone) != nil })
	switch {
	case known || slices.Contains(d.namedZones(), zone):
		return nil
	case d.fleet.readAt.IsZero() && d.cfg.Now().Sub(d.startedAt) < discoveryPeriod:
		return notReady(fmt.Sprintf("zone %q is not known yet, this leader has not read the platform's list of VMs", zone))
	}
	return &pb.Response{Answer: pb.Answer_ANSWER_GONE, Reason: fmt.Sprintf("no availability zone %q is known: neither the settings nor a core daemon, a target or a VM has named it", zone)}
}

// namedZones returns the availability zones that the settings, the member list and the platform's
// list of VMs name.
func (d *Driver) namedZones() []string {
	var zones []string
	if d.cfg.Zones != nil {
		zones = slices.Clone(d.cfg.Zones())
	}
	for _, vm := range d.fleet.vms {
		zones = append(zones, vm.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// noteZones commits the named zones that the state does not hold, so that later leaders know them.
func (d *Driver) noteZones() {
	if d.cfg.Zones == nil {
		return
	}
	d.mu.Lock()
	zones := d.namedZones()
	d.mu.Unlock()
	d.cfg.Machine.View(func(v *workflow.View) {
		zones = slices.DeleteFunc(zones, func(zone string) bool { return zone == "" || v.Zone(zone) != nil })
	})
	zones = slices.DeleteFunc(zones, func(zone string) bool { return slices.Contains(d.zonesNoted, zone) })
	zones = zones[:min(len(zones), maxZonesNoted-min(len(d.zonesNoted), maxZonesNoted))]
	if len(zones) == 0 {
		return
	}
	if _, err := d.commit(&pb.Command{Body: &pb.Command_NoteZones{NoteZones: &pb.NoteZones{Zones: zones}}}); err != nil {
		// The next check tries again.
		return
	}
	d.zonesNoted = append(d.zonesNoted, zones...)
}

// getEvacuation answers whether an availability zone is evacuated and what still runs there.
func (d *Driver) getEvacuation(zone string) *pb.Response {
	if refused := d.checkZone(zone); refused != nil {
		return refused
	}
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK}
	d.cfg.Machine.View(func(v *workflow.View) {
		stored := v.Zone(zone)
		response.OrderNumber, response.Evacuated = stored.GetLastOrder(), stored.GetEvacuated()
		response.Lines = d.explainZone(v, zone)
	})
	if !d.cfg.Log.HoldsLease() {
		return notReady(ErrNoLease.Error())
	}
	return response
}

// maxTasksNamed limits the tasks that a line about a target names.
const maxTasksNamed = 20

// explainZone describes whether an availability zone is evacuated and what runs there, one line for
// each target with tasks.
func (d *Driver) explainZone(v *workflow.View, zone string) []string {
	head := fmt.Sprintf("zone %s is not evacuated", zone)
	if stored := v.Zone(zone); stored.GetEvacuated() {
		head = fmt.Sprintf("zone %s has been evacuated for %d ms: no task is started there", zone, max(d.cfg.NowMS()-stored.SinceUnixMs, 0))
	}
	targets, tasks, lasting := 0, 0, 0
	var lines []string
	for id, target := range v.Targets() {
		if target.Zone != zone {
			continue
		}
		targets++
		var names []string
		for task := range v.PlacedOn(id) {
			names = append(names, task.String())
		}
		if len(names) == 0 {
			continue
		}
		tasks += len(names)
		lasting += v.UsedOn(id).Lasting
		slices.Sort(names)
		if more := len(names) - maxTasksNamed; more > 0 {
			names = append(names[:maxTasksNamed], fmt.Sprintf("and %d more", more))
		}
		lines = append(lines, fmt.Sprintf("%s on VM %s runs %s", id, target.Vm, strings.Join(names, ", ")))
	}
	slices.Sort(lines)
	return append([]string{head, fmt.Sprintf("%d tasks run on its %d targets, %d of them long-running", tasks, targets, lasting)}, lines...)
}

// evacuatedNote names the evacuated zones with targets of a pool, as the end of the reason for a wait, or "".
func evacuatedNote(v *workflow.View, pool string) string {
	targets := make(map[string]int)
	for _, target := range v.Targets() {
		if target.Pool == pool && v.Evacuated(target.Zone) {
			targets[target.Zone]++
		}
	}
	note := ""
	for _, zone := range slices.Sorted(maps.Keys(targets)) {
		note += fmt.Sprintf("; zone %q is evacuated, its %d targets get no starts", zone, targets[zone])
	}
	return note
}

// zoneOf returns the availability zone of a target as registered, or as it announced itself.
func zoneOf(v *workflow.View, l *link) string {
	if known := v.Target(l.target.Id); known != nil {
		return known.Zone
	}
	return l.target.Zone
}

// zoneOfVM returns the availability zone of a VM: that of its target, or as listed if no target is known.
func zoneOfVM(v *workflow.View, vm VM, l *link) string {
	if l != nil {
		return zoneOf(v, l)
	}
	return vm.Zone
}

// inEvacuatedZone reports whether the target of a run is in an evacuated zone.
func (d *Driver) inEvacuatedZone(v *workflow.View, r *run) bool {
	l := d.links[r.target]
	return l != nil && v.Evacuated(zoneOf(v, l))
}

// endUnsent ends a run of which no start was sent and none will be, since its target's zone is
// evacuated: its task may start elsewhere at once.
func (d *Driver) endUnsent(r *run, l *link) {
	if r.unanswered || r.startCalls > 0 {
		return
	}
	evacuated := false
	d.cfg.Machine.View(func(v *workflow.View) { evacuated = v.Evacuated(zoneOf(v, l)) })
	if evacuated {
		d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "its zone is evacuated, no start was sent")
	}
}

// evacuateZones stops long-running tasks in evacuated zones that have room elsewhere, within the
// availability budgets of their steps.
func (d *Driver) evacuateZones() {
	d.mu.Lock()
	defer d.mu.Unlock()
	stop := make(map[*run]string)
	d.cfg.Machine.View(func(v *workflow.View) {
		leaving := d.lastingInEvacuatedZones(v)
		for pool, tasks := range leaving {
			snapshot := d.evacuationSnapshot(v, pool, tasks)
			for _, id := range evacuation.Plan(snapshot) {
				task := v.Task(id)
				stop[d.runOn(task, task.Target)] = v.Target(task.Target).GetVm()
				event.TaskLeavesZone.Emit(event.F("task", id.String()), event.F("attempt", task.Attempt), event.F("target", task.Target), event.F("zone", v.Target(task.Target).GetZone()))
			}
		}
	})
	for r, vm := range stop {
		countLeftZone()
		d.vmDecisions.note(d.cfg.Now(), vm, "long-running task %s is stopped, its zone is evacuated", r.task)
		d.callStop(r)
	}
}

// lastingInEvacuatedZones returns the long-running tasks that are at work in evacuated zones, by pool.
func (d *Driver) lastingInEvacuatedZones(v *workflow.View) map[string][]*workflow.Task {
	var out map[string][]*workflow.Task
	for id, target := range v.Targets() {
		if !v.Evacuated(target.Zone) || v.UsedOn(id).Lasting == 0 {
			continue
		}
		for _, task := range v.PlacedOn(id) {
			r := d.runOn(task, id)
			if !task.Spec().Lasting || workflow.Ended(task.Job.State) || r == nil || r.phase != runConfirmed {
				continue
			}
			if out == nil {
				out = make(map[string][]*workflow.Task)
			}
			out[target.Pool] = append(out[target.Pool], task)
		}
	}
	return out
}

// evacuationSnapshot describes the long-running tasks of a pool and where there is room for them.
func (d *Driver) evacuationSnapshot(v *workflow.View, pool string, leaving []*workflow.Task) *evacuation.Snapshot {
	s := &evacuation.Snapshot{Steps: make(map[workflow.TaskID]*evacuation.Step)}
	targets, _ := d.planTargets(v, pool)
	for i := range targets {
		s.Targets = append(s.Targets, evacuation.Target{ID: targets[i].ID, Free: targets[i].Free})
	}
	requirements := make(map[workflow.TaskID]*assign.Step)
	describe := func(task *workflow.Task) evacuation.Task {
		spec, first := task.Spec(), task.ID.FirstOfStep()
		if s.Steps[first] == nil {
			step := stepRequirements(v, spec, task.Job.Tasks[first.Occurrence][first.Step])
			// A step without a budget stays: nothing is asked for it.
			if queue := v.QueueOf(task.Job); queue != nil && queue.Advised && spec.MaxUnavailable > 0 {
				step.Allowed = d.advisedTargets(v, first, pool)
			}
			requirements[first] = &step
			s.Steps[first] = &evacuation.Step{
				Budget: int(spec.MaxUnavailable), Away: d.awayOrLeaving(v, first),
				MaxPerTarget: step.MaxPerTarget, OnTarget: step.OnTarget,
			}
		}
		return evacuation.Task{ID: task.ID, Room: workflow.RequiredCapacity(spec), Admits: func(at int) bool {
			return requirements[first].MayRunOn(&targets[at])
		}}
	}
	for _, job := range v.OpenJobs() {
		queue := v.QueueOf(job)
		if queue == nil || queue.Pool != pool || workflow.Ended(job.State) || !slices.ContainsFunc(job.Spec.Steps, (*pb.Step).GetLasting) {
			continue
		}
		job.EachTask(func(task *workflow.Task) {
			if task.Spec().Lasting && job.DueMS(int(task.ID.Occurrence)) <= d.cfg.NowMS() && d.isUnplaced(task) {
				s.Unplaced = append(s.Unplaced, describe(task))
			}
		})
	}
	for _, task := range leaving {
		s.Leaving = append(s.Leaving, describe(task))
	}
	return s
}

// awayOrLeaving counts the tasks of a long-running step that are not available, or on targets that are leaving: these
// may end at any moment.
func (d *Driver) awayOrLeaving(v *workflow.View, first workflow.TaskID) int {
	away := 0
	for _, task := range v.Job(first.Job).Tasks[first.Occurrence][first.Step] {
		if l := d.links[task.Target]; d.isUnavailable(v, task) || l != nil && l.leaving {
			away++
		}
	}
	return away
}

// isUnplaced reports whether a long-running task waits for a start or is being stopped.
func (d *Driver) isUnplaced(task *workflow.Task) bool {
	if task.State != pb.TaskState_TASK_STATE_PLACED {
		return task.State == pb.TaskState_TASK_STATE_WAITING
	}
	r := d.runOn(task, task.Target)
	return r != nil && r.phase >= runStopping
}
