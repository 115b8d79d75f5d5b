package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// explainTask tells how far a task is, where it runs, and why it waits.
func (d *Driver) explainTask(v *workflow.View, id workflow.TaskID) []string {
	task := v.Task(id)
	if task == nil {
		return []string{fmt.Sprintf("task %s does not exist", id)}
	}
	lines := []string{fmt.Sprintf("task %s: %s, %d runs so far, %d failed", id,
		strings.ToLower(strings.TrimPrefix(task.State.String(), "TASK_STATE_")), task.Attempt, task.Failed)}
	if task.Superseded {
		lines = append(lines, "a former run has done the work: the newest one is being stopped")
	}
	for _, target := range task.Targets() {
		lines = append(lines, d.explainPlaced(task, target))
	}
	if task.State == pb.TaskState_TASK_STATE_WAITING {
		lines = append(lines, "waits: "+d.waitReason(v, task.Job, int(id.Occurrence), int(id.Step)))
	}
	if failed := d.learned.failedOn(id); failed != "" {
		lines = append(lines, "a run failed or stood still on "+failed+", which is avoided")
	}
	return lines
}

// explainPlaced tells how a run on a target does.
func (d *Driver) explainPlaced(task *workflow.Task, target string) string {
	line := fmt.Sprintf("run %d on %s%s", task.AttemptOn(target), target, d.explainRun(task, target))
	r := d.runOn(task, target)
	if r == nil {
		return line
	}
	line += fmt.Sprintf(", placed %s ago, %.0f%% done", since(d.cfg.Now(), r.begun), r.percent)
	if l := d.links[target]; l != nil && l.owesFor(d.cfg.Now()) > 0 {
		line += fmt.Sprintf("; its target has owed an answer for %s", l.owesFor(d.cfg.Now()).Round(time.Millisecond))
	}
	return line
}

func since(now, at time.Time) time.Duration { return now.Sub(at).Round(time.Millisecond) }

// explainVM tells where a VM is, what runs there, why it takes no starts, and what was
// decided about it last.
func (d *Driver) explainVM(name string) *pb.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	vm, known := d.fleet.vms[name]
	decisions := d.decided.of(name)
	if !known && len(decisions) == 0 {
		return &pb.Response{Answer: pb.Answer_ANSWER_GONE, Reason: fmt.Sprintf("VM %q is not known here", name)}
	}
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK, Lines: []string{
		fmt.Sprintf("VM %s of pool %q in zone %s, labels %v, listed %s ago", name, vm.Pool, vm.Zone, vm.Labels, since(d.cfg.Now(), d.fleet.readAt)),
	}}
	d.cfg.Machine.View(func(v *workflow.View) {
		response.Lines = append(response.Lines, d.explainTarget(v, name)...)
		for _, reason := range d.noStarts(v, name) {
			response.Lines = append(response.Lines, "takes no starts: "+reason)
		}
	})
	response.Lines = append(response.Lines, decisions...)
	return response
}

// explainTarget tells what runs on a VM.
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
		l.target.Id, since(d.cfg.Now(), l.lastAnnounced), len(tasks), strings.Join(tasks, ", "))}
}

// noStarts returns every reason for which a VM takes no starts now.
func (d *Driver) noStarts(v *workflow.View, vm string) []string {
	now := d.cfg.Now()
	var reasons []string
	if m := d.pools.moving[vm]; m != nil {
		reasons = append(reasons, fmt.Sprintf("it moves to pool %s since %s", m.to, since(now, m.begun)))
	}
	add := func(holds bool, format string, args ...any) {
		if holds {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	add(d.pools.draining[vm], "its pool does without it, it is to become empty")
	add(d.waves.cordoned[vm], "its maintenance is next")
	add(v.MaintenanceOrdered(vm), "its maintenance is ordered")
	l := d.linkOfVM(vm)
	if l == nil {
		return reasons
	}
	add(l.leaving, "its target is leaving")
	add(l.failures > 0, "its target gave no answer to %d calls", l.failures)
	add(l.failures == 0 && l.owesFor(now) > 0, "its target has owed an answer for %s", l.owesFor(now).Round(time.Millisecond))
	add(d.silent(l), "its target has not announced itself for %s", since(now, l.lastAnnounced))
	add(now.Before(l.unhealthy), "its target refused a start")
	add(!l.health.admits(now), "runs failed there one after the other")
	return reasons
}
