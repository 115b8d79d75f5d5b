package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// explainTask describes the state of a task, where it runs, and why it waits.
func (d *Driver) explainTask(v *workflow.View, id workflow.TaskID) []string {
	task := v.Task(id)
	if task == nil {
		return []string{fmt.Sprintf("task %s does not exist", id)}
	}
	lines := []string{fmt.Sprintf("task %s: %s, %d runs so far, %d failed", id,
		strings.ToLower(strings.TrimPrefix(task.State.String(), "TASK_STATE_")), task.Attempt, task.Failed)}
	if task.Superseded {
		lines = append(lines, "an earlier run is done: the newest one is being stopped")
	}
	for _, target := range task.Targets() {
		lines = append(lines, d.explainTaskRun(task, target))
	}
	if task.State == pb.TaskState_TASK_STATE_WAITING {
		lines = append(lines, "waits: "+d.waitReason(v, task.Job, int(id.Occurrence), int(id.Step)))
	}
	if failed := d.learned.failedOn(id); failed != "" {
		lines = append(lines, "a run failed or stalled on "+failed+", which is avoided")
	}
	return lines
}

// explainTaskRun describes the run of a task on a target.
func (d *Driver) explainTaskRun(task *workflow.Task, target string) string {
	line := fmt.Sprintf("run %d on %s%s", task.AttemptOn(target), target, d.runPhaseNote(task, target))
	r := d.runOn(task, target)
	if r == nil {
		return line
	}
	line += fmt.Sprintf(", placed %s ago, %.0f%% done", elapsedSince(d.cfg.Now(), r.placedAt), r.percent)
	if l := d.links[target]; l != nil && l.overdueFor(d.cfg.Now()) > 0 {
		line += fmt.Sprintf("; its target's answer has been overdue for %s", l.overdueFor(d.cfg.Now()).Round(time.Millisecond))
	}
	return line
}

func elapsedSince(now, at time.Time) time.Duration { return now.Sub(at).Round(time.Millisecond) }

// explainVM describes a VM: its place, what runs there, why it takes no starts, and the
// latest decisions about it.
func (d *Driver) explainVM(name string) *pb.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	vm, known := d.fleet.vms[name]
	decisions := d.vmDecisions.about(name)
	if !known && len(decisions) == 0 {
		return &pb.Response{Answer: pb.Answer_ANSWER_GONE, Reason: fmt.Sprintf("VM %q is not known to this leader", name)}
	}
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK, Lines: []string{
		fmt.Sprintf("VM %s of pool %q in zone %s, labels %v, listed %s ago", name, vm.Pool, vm.Zone, vm.Labels, elapsedSince(d.cfg.Now(), d.fleet.readAt)),
	}}
	d.cfg.Machine.View(func(v *workflow.View) {
		response.Lines = append(response.Lines, d.explainTarget(v, name)...)
		for _, reason := range d.noStartReasons(v, name) {
			response.Lines = append(response.Lines, "takes no starts: "+reason)
		}
	})
	response.Lines = append(response.Lines, decisions...)
	return response
}

// explainTarget describes the target on a VM and its tasks.
func (d *Driver) explainTarget(v *workflow.View, vm string) []string {
	l := d.linkOfVM(vm)
	if l == nil {
		return []string{"no target runs there"}
	}
	var tasks []string
	for id := range v.PlacedOn(l.target.Id) {
		tasks = append(tasks, id.String())
	}
	slices.Sort(tasks)
	return []string{fmt.Sprintf("target %s, announced %s ago, runs %d tasks: %s",
		l.target.Id, elapsedSince(d.cfg.Now(), l.lastAnnounced), len(tasks), strings.Join(tasks, ", "))}
}

// noStartReasons returns every reason for which a VM takes no starts now.
func (d *Driver) noStartReasons(v *workflow.View, vm string) []string {
	now := d.cfg.Now()
	var reasons []string
	if m := d.pools.moving[vm]; m != nil {
		reasons = append(reasons, fmt.Sprintf("it has been moving to pool %s for %s", m.to, elapsedSince(now, m.begunAt)))
	}
	add := func(holds bool, format string, args ...any) {
		if holds {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	add(d.pools.draining[vm], "its pool no longer needs it, it is being drained")
	add(d.waves.cordoned(vm), "it is being drained for maintenance")
	add(v.MaintenanceOrdered(vm), "its maintenance is ordered")
	l := d.linkOfVM(vm)
	zone := d.fleet.vms[vm].Zone
	if l != nil {
		zone = zoneOf(v, l)
	}
	add(v.Evacuated(zone), "availability zone %q is evacuated", zone)
	if l == nil {
		return reasons
	}
	add(l.leaving, "its target is leaving")
	add(l.failures > 0, "its target gave no answer to %d calls", l.failures)
	add(d.missedAnnouncements(l), "its target has not announced itself for %s", elapsedSince(now, l.lastAnnounced))
	add(now.Before(l.noStartsUntil), "its target refused a start")
	add(!l.health.allowsStarts(now), "several consecutive runs failed there")
	return reasons
}
