package workflow

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// declareWave stores a wave; a wave that is already stored stays unchanged.
func (m *Machine) declareWave(w *pb.Wave) *Outcome {
	if w.GetId() == 0 || len(w.Vms) == 0 || w.Cap == 0 {
		return m.outcome(Invalid, "wave %d: an id, VMs and a cap above 0 are required", w.GetId())
	}
	if m.waves[w.Id] != nil {
		return m.ok()
	}
	stored := proto.CloneOf(w)
	stored.DeclaredUnixMs = m.nowMS
	stored.Ordered, stored.Begun, stored.Progress = nil, nil, nil
	m.waves[w.Id] = stored
	return m.ok()
}

// beginMaintenance records that maintenance of a VM is ordered, before the order is
// sent, so that a new leader counts the VM as one that may be down.
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

// checkAvailability returns which lasting step would have more unavailable tasks than
// it allows if the VM went down, or "". Tasks that wait for a start, and tasks on VMs
// with ordered maintenance, count as unavailable.
func (m *Machine) checkAvailability(vm string) string {
	for _, target := range m.targets {
		if target.Vm != vm {
			continue
		}
		for _, task := range m.tasksByTarget[target.Id] {
			step := task.Spec()
			if !step.Lasting || step.MaxUnavailable == 0 || Ended(task.Job.State) {
				continue
			}
			if unavailable := m.unavailableWithout(task, vm); unavailable > int(step.MaxUnavailable) {
				return fmt.Sprintf("%d tasks of step %d of job %s would be away, at most %d are allowed",
					unavailable, task.ID.Step, task.ID.Job, step.MaxUnavailable)
			}
		}
	}
	return ""
}

// unavailableWithout counts the tasks of the step that would be unavailable without the
// VM.
func (m *Machine) unavailableWithout(task *Task, vm string) int {
	unavailable := 0
	for _, other := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
		taskVM := m.targets[other.Target].GetVm()
		if other.State != pb.TaskState_TASK_STATE_PLACED || taskVM == vm || m.maintenanceOrdered(taskVM) {
			unavailable++
		}
	}
	return unavailable
}

func (m *Machine) maintenanceOrdered(vm string) bool {
	for _, w := range m.waves {
		if slices.Contains(w.Ordered, vm) {
			return true
		}
	}
	return false
}

// MaintenanceOrdered reports whether maintenance of the VM is ordered and not over.
func (v *View) MaintenanceOrdered(vm string) bool { return (*Machine)(v).maintenanceOrdered(vm) }

func (m *Machine) endMaintenance(c *pb.EndMaintenance) *Outcome {
	w := m.waves[c.Wave]
	if w == nil || !slices.Contains(w.Vms, c.Vm) {
		return m.outcome(NotFound, "wave %d has no VM %q", c.Wave, c.Vm)
	}
	w.Ordered = slices.DeleteFunc(w.Ordered, func(vm string) bool { return vm == c.Vm })
	if !slices.Contains(w.Begun, c.Vm) {
		w.Begun = append(w.Begun, c.Vm)
	}
	w.Progress = slices.DeleteFunc(w.Progress, func(p *pb.VMProgress) bool { return p.Vm == c.Vm })
	return m.ok()
}

// noteProgress records the steps of a VM of a wave that were not recorded before.
func (m *Machine) noteProgress(c *pb.NoteProgress) *Outcome {
	w := m.waves[c.Wave]
	if w == nil || !slices.Contains(w.Vms, c.Vm) {
		return m.outcome(NotFound, "wave %d has no VM %q", c.Wave, c.Vm)
	}
	if slices.Contains(w.Begun, c.Vm) {
		return m.ok()
	}
	p := ProgressOf(w, c.Vm)
	if p == nil {
		p = &pb.VMProgress{Vm: c.Vm}
		w.Progress = append(w.Progress, p)
	}
	record := func(noted uint64, index *uint64) {
		if noted > 0 && *index == 0 {
			*index = m.index
		}
	}
	record(c.Progress.GetCordonedIndex(), &p.CordonedIndex)
	record(c.Progress.GetMissingIndex(), &p.MissingIndex)
	if p.AwayIndex == 0 {
		p.EndsBeforeUnixMs = c.Progress.GetEndsBeforeUnixMs()
	}
	record(c.Progress.GetAwayIndex(), &p.AwayIndex)
	return m.ok()
}

// ProgressOf returns the recorded progress of a VM of a wave, or nil.
func ProgressOf(w *pb.Wave, vm string) *pb.VMProgress {
	for _, p := range w.Progress {
		if p.Vm == vm {
			return p
		}
	}
	return nil
}

// WaveComplete reports whether maintenance of every VM of the wave is over.
func WaveComplete(w *pb.Wave) bool { return len(w.Begun) >= len(w.Vms) }
