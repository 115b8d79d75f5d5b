package state

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

// sorted returns the values of a map in the order of its keys.
func sorted[K cmp.Ordered, V any](objects map[K]V) []V {
	keys := slices.Sorted(maps.Keys(objects))
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, objects[key])
	}
	return values
}

// Snapshot returns the whole state in serialized form; replicas at the same index
// return equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	snapshot := &statepb.Snapshot{
		Index: m.index, TimeUnixMs: m.nowMS,
		Documents: sorted(m.documents), Keys: sorted(m.keys), Pools: sorted(m.pools),
		Vms: sorted(m.vms), Waves: sorted(m.waves), Sessions: sorted(m.sessions),
		Kept: m.keptList(), Claims: sorted(m.claims), Jobs: sorted(m.jobs),
		Operations: sorted(m.operations), RemovedVms: sorted(m.removedVMs),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("marshal state at index %d: %w", m.index, err)
	}
	return data, nil
}

func (m *Machine) keptList() []*statepb.KeptReservation {
	var list []*statepb.KeptReservation
	for _, kept := range m.kept {
		list = append(list, kept)
	}
	slices.SortFunc(list, func(a, b *statepb.KeptReservation) int {
		return cmp.Or(cmp.Compare(a.MemberName, b.MemberName), cmp.Compare(a.Team, b.Team))
	})
	return list
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	snapshot := new(statepb.Snapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fmt.Errorf("unmarshal state: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.index, m.nowMS = snapshot.Index, snapshot.TimeUnixMs
	for _, doc := range snapshot.Documents {
		m.documents[doc.Team] = doc
		m.indexQueues(doc)
	}
	m.indexBudgets()
	for _, key := range snapshot.Keys {
		if len(key.Hash) != sha256.Size {
			return fmt.Errorf("key %q: hash of %d bytes", key.Id, len(key.Hash))
		}
		m.keys[key.Id] = key
		m.keyByHash[[sha256.Size]byte(key.Hash)] = key.Id
	}
	m.restoreFleet(snapshot)
	m.restoreWork(snapshot)
	return nil
}

func (m *Machine) restoreFleet(snapshot *statepb.Snapshot) {
	for _, pool := range snapshot.Pools {
		m.pools[pool.Name] = pool
	}
	for _, vm := range snapshot.Vms {
		m.vms[vm.Name] = vm
		m.indexVM(vm.Name, vm.Pool)
	}
	for _, removed := range snapshot.RemovedVms {
		m.removedVMs[removed.Name] = removed
	}
	for _, wave := range snapshot.Waves {
		m.waves[wave.Id] = wave
	}
}

func (m *Machine) restoreWork(snapshot *statepb.Snapshot) {
	for _, session := range snapshot.Sessions {
		m.sessions[session.Id] = session
	}
	for _, kept := range snapshot.Kept {
		m.kept[keptID{kept.MemberName, kept.Team}] = kept
	}
	for _, claim := range snapshot.Claims {
		m.claims[claim.RequestId] = claim
	}
	for _, job := range snapshot.Jobs {
		m.putJob(job)
	}
	for _, operation := range snapshot.Operations {
		m.operations[operation.Id] = operation
	}
}
