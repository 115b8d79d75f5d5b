package workflow

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// declareWave stores a wave; one that is known is left as it is.
func (m *Machine) declareWave(w *pb.Wave) *Outcome {
	if w.GetId() == 0 || len(w.Vms) == 0 || w.Cap == 0 {
		return m.outcome(Invalid, "wave %d: an id, VMs and a cap above 0 are required", w.GetId())
	}
	if m.waves[w.Id] != nil {
		return m.ok()
	}
	stored := proto.CloneOf(w)
	stored.DeclaredUnixMs = m.nowMS
	stored.Ordered, stored.Begun = nil, nil
	m.waves[w.Id] = stored
	return m.ok()
}

// beginMaintenance records the order before it is given, so that a new leader
// counts a VM that may be down for it.
func (m *Machine) beginMaintenance(c *pb.BeginMaintenance) *Outcome {
	w := m.waves[c.Wave]
	if w == nil || !slices.Contains(w.Vms, c.Vm) {
		return m.outcome(NotFound, "wave %d has no VM %q", c.Wave, c.Vm)
	}
	if slices.Contains(w.Ordered, c.Vm) || slices.Contains(w.Begun, c.Vm) {
		return m.ok()
	}
	if len(w.Ordered) >= int(w.Cap) {
		return m.outcome(Refused, "wave %d has %d VMs down, at most %d are allowed", c.Wave, len(w.Ordered), w.Cap)
	}
	if reason := m.checkAvailability(c.Vm); reason != "" {
		return m.outcome(Refused, "wave %d, VM %q: %s", c.Wave, c.Vm, reason)
	}
	w.Ordered = append(w.Ordered, c.Vm)
	return m.ok()
}

// checkAvailability returns the lasting step whose budget would be exceeded if
// the VM went down, or "". Tasks that wait, and those on VMs with an order,
// count as away.
func (m *Machine) checkAvailability(vm string) string {
	for _, target := range m.targets {
		if target.Vm != vm {
			continue
		}
		for _, task := range m.placed[target.Id] {
			step := task.Spec()
			if !step.Lasting || step.MaxUnavailable == 0 || Ended(task.Job.State) {
				continue
			}
			if away := m.awayWithout(task, vm); away > int(step.MaxUnavailable) {
				return fmt.Sprintf("%d tasks of step %d of job %s would be away, at most %d are allowed",
					away, task.ID.Step, task.ID.Job, step.MaxUnavailable)
			}
		}
	}
	return ""
}

// awayWithout counts the tasks of the step that would be away without the VM.
func (m *Machine) awayWithout(task *Task, vm string) int {
	away := 0
	for _, other := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
		on := m.targets[other.Target].GetVm()
		if other.State != pb.TaskState_TASK_STATE_PLACED || on == vm || m.ordered(on) {
			away++
		}
	}
	return away
}

func (m *Machine) ordered(vm string) bool {
	for _, w := range m.waves {
		if slices.Contains(w.Ordered, vm) {
			return true
		}
	}
	return false
}

// MaintenanceOrdered reports whether maintenance of the VM is ordered and not over.
func (v *View) MaintenanceOrdered(vm string) bool { return (*Machine)(v).ordered(vm) }

func (m *Machine) endMaintenance(c *pb.EndMaintenance) *Outcome {
	w := m.waves[c.Wave]
	if w == nil || !slices.Contains(w.Vms, c.Vm) {
		return m.outcome(NotFound, "wave %d has no VM %q", c.Wave, c.Vm)
	}
	w.Ordered = slices.DeleteFunc(w.Ordered, func(vm string) bool { return vm == c.Vm })
	if !slices.Contains(w.Begun, c.Vm) {
		w.Begun = append(w.Begun, c.Vm)
	}
	return m.ok()
}

// WaveComplete reports whether every VM has had its maintenance.
func WaveComplete(w *pb.Wave) bool { return len(w.Begun) >= len(w.Vms) }
