package workflow

import (
	"strings"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// MaxLearnedBytes limits the summary of what leaders have learned: it is part of every snapshot.
const MaxLearnedBytes = 64 << 10

// QueueKey identifies a queue by its place, or by its name if it has none, so that what was learned survives
// that the queue is renamed.
func QueueKey(name, host, path string) string {
	if host == "" && path == "" {
		return name
	}
	return strings.ToLower(host) + path
}

// putLearned replaces the summary. It accepts any version: replicas of different versions must store the same.
func (m *Machine) putLearned(learned *pb.Learned) *Outcome {
	if learned == nil {
		return m.outcome(Invalid, "no summary")
	}
	if size := proto.Size(learned); size > MaxLearnedBytes {
		return m.outcome(Invalid, "summary has %d bytes, %d are allowed", size, MaxLearnedBytes)
	}
	m.learned = learned
	m.dropUnknownLearned()
	return m.ok()
}

// dropUnknownLearned removes the entries of queues and pools that are not in the catalogue. It replaces the
// message and never changes it, since readers keep references.
func (m *Machine) dropUnknownLearned() {
	if m.learned == nil {
		return
	}
	known := (*View)(m).QueueKeys()
	kept := &pb.Learned{Version: m.learned.Version, AtUnixMs: m.learned.AtUnixMs, Vms: m.learned.Vms}
	for _, queue := range m.learned.Queues {
		if known[queue.GetQueue()] {
			kept.Queues = append(kept.Queues, queue)
		}
	}
	for _, pool := range m.learned.Pools {
		if m.lookup.pools[pool.GetPool()] != nil {
			kept.Pools = append(kept.Pools, pool)
		}
	}
	m.learned = kept
}

// QueueKeys returns the keys of the queues in the catalogue.
func (v *View) QueueKeys() map[string]bool {
	known := make(map[string]bool, 2*len(v.lookup.queues))
	for _, queue := range v.lookup.queues {
		known[QueueKey(queue.Name, queue.Host, queue.PathPrefix)] = true
		// Jobs of older versions have no place.
		known[queue.Name] = true
	}
	return known
}

// Learned returns the newest summary of what leaders have learned, or nil. The caller must not change it.
func (v *View) Learned() *pb.Learned { return v.learned }
