package workflow

import (
	"maps"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// putTargets registers targets. Runs of a former incarnation stay placed until each of
// them is ended: a start that is still in transit may reach the new incarnation.
func (m *Machine) putTargets(targets []*pb.Target) *Outcome {
	for _, target := range targets {
		if target.GetId() == "" {
			return m.outcome(Invalid, "target without an id")
		}
		known := m.targets[target.Id]
		if known != nil && known.BornUnixMs > target.BornUnixMs {
			continue
		}
		stored := proto.CloneOf(target)
		if known != nil && known.BornUnixMs == target.BornUnixMs {
			stored.Leaving = known.Leaving || target.Leaving
		}
		m.targets[target.Id] = stored
		m.noteZone(stored.Zone)
	}
	return m.ok()
}

// removeTargets removes incarnations that have ended. A target on which something may
// still run stays.
func (m *Machine) removeTargets(targets []*pb.Target) *Outcome {
	for _, target := range targets {
		known := m.targets[target.GetId()]
		if known != nil && known.BornUnixMs == target.BornUnixMs && len(m.tasksByTarget[known.Id]) == 0 {
			delete(m.targets, known.Id)
			delete(m.usedByTarget, known.Id)
			delete(m.leases, known.Id)
			if known.Vm != "" {
				m.formerTargets[known.Vm] = &pb.FormerTarget{Target: known, RemovedUnixMs: m.nowMS}
			}
		}
	}
	maps.DeleteFunc(m.formerTargets, func(_ string, f *pb.FormerTarget) bool {
		return m.nowMS-f.RemovedUnixMs > FormerTargetMemoryMS
	})
	return m.ok()
}

// FormerTargetMemoryMS is how long a removed target is remembered, in milliseconds.
const FormerTargetMemoryMS = 60_000

// FormerTargets returns the target that was last removed from each VM within FormerTargetMemoryMS, by VM.
func (v *View) FormerTargets() map[string]*pb.FormerTarget { return v.formerTargets }
