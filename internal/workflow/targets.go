package workflow

import (
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// putTargets registers targets. Runs of a former incarnation stay placed until they
// are ended one by one: a start that is still under way may reach the new incarnation.
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
	}
	return m.ok()
}

// removeTargets forgets incarnations that are over. A target that may still run
// something stays.
func (m *Machine) removeTargets(targets []*pb.Target) *Outcome {
	for _, target := range targets {
		known := m.targets[target.GetId()]
		if known != nil && known.BornUnixMs == target.BornUnixMs && len(m.placed[known.Id]) == 0 {
			delete(m.targets, known.Id)
		}
	}
	return m.ok()
}
