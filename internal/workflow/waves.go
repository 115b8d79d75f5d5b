package workflow

import (
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
	w.Ordered = append(w.Ordered, c.Vm)
	return m.ok()
}

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
