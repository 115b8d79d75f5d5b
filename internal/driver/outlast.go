package driver

import (
	"slices"
	"time"

	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/outlast"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// suspectTargets returns the targets that may be unsuitable for long tasks: those on VMs that a wave has still to take,
// which may be drained at any time, and slow ones.
func (d *Driver) suspectTargets(v *workflow.View) map[string]outlast.Target {
	if !d.cfg.Learning.Placement {
		return nil
	}
	inWave := make(map[string]bool)
	for _, w := range v.Waves() {
		for _, vm := range w.Vms {
			inWave[vm] = inWave[vm] || !slices.Contains(w.Begun, vm)
		}
	}
	var out map[string]outlast.Target
	for id, l := range d.links {
		target := outlast.Target{Leaves: inWave[l.target.Vm], LeavesIn: drainTimeout, Slowness: l.health.slowness()}
		if !target.Suspect() {
			continue
		}
		if out == nil {
			out = make(map[string]outlast.Target)
		}
		out[id] = target
	}
	return out
}

// avoidSuspects adds the suspect targets that a step should not be placed on to those it avoids; they are used
// if no other has room.
func (d *Driver) avoidSuspects(planned *assign.Step, job *workflow.Job, occurrence, step int, queue *pb.Queue, nowMS int64) {
	spec := job.Spec.Steps[step]
	if len(d.suspects) == 0 || spec.Lasting || spec.Fills || spec.EstimateMs <= 0 {
		return
	}
	times := d.timesOf(job, queue)
	work := outlast.Work{
		Expected:    time.Duration(d.learned.expectedIn(job, occurrence, step)) * time.Millisecond,
		Pessimistic: time.Duration(d.learned.pessimisticIn(job, occurrence, step)) * time.Millisecond,
		Slack:       time.Duration(times.deadlineMS-nowMS-times.remainingMS) * time.Millisecond,
	}
	for id, target := range d.suspects {
		if outlast.Reason(target, work) == "" {
			continue
		}
		if planned.Avoid == nil {
			planned.Avoid = make(map[string]bool)
		}
		planned.Avoid[id] = true
	}
}
