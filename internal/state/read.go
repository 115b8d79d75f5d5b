package state

import (
	"crypto/sha256"
	"crypto/subtle"

	"sapphirering/internal/state/statepb"
)

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// NowMS returns the latest time of any command, in Unix milliseconds.
func (m *Machine) NowMS() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.nowMS
}

// HashKey returns the stored form of a key's secret.
func HashKey(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }

// KeyBySecret returns the granted key with the secret, or nil. The look-up is
// by hash; the hash is compared in constant time.
func (m *Machine) KeyBySecret(secret string) *statepb.Key {
	hash := HashKey(secret)
	m.mu.RLock()
	defer m.mu.RUnlock()
	key := m.keys[m.keyByHash[hash]]
	if key == nil || subtle.ConstantTimeCompare(key.Hash, hash[:]) != 1 {
		return nil
	}
	return key
}

// Queue returns a queue and the team that owns it; nil if it does not exist.
func (m *Machine) Queue(name string) (*statepb.Queue, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ref := m.queues[name]
	return ref.queue, ref.team
}

// Document returns the document of a team, or nil.
func (m *Machine) Document(team string) *statepb.TeamDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.documents[team]
}

// Documents returns all documents, sorted by team.
func (m *Machine) Documents() []*statepb.TeamDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.documents)
}

// Keys returns all keys, sorted by id.
func (m *Machine) Keys() []*statepb.Key {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.keys)
}

// Pool returns a pool, or nil.
func (m *Machine) Pool(name string) *statepb.Pool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.pools[name]
}

// Pools returns all pools, sorted by name.
func (m *Machine) Pools() []*statepb.Pool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.pools)
}

// VM returns a VM, or nil.
func (m *Machine) VM(name string) *statepb.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.vms[name]
}

// VMs returns all VMs, sorted by name.
func (m *Machine) VMs() []*statepb.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.vms)
}

// Wave returns a wave, or nil.
func (m *Machine) Wave(id string) *statepb.Wave {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.waves[id]
}

// Waves returns all waves, sorted by id.
func (m *Machine) Waves() []*statepb.Wave {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.waves)
}

// Session returns a session, or nil.
func (m *Machine) Session(id string) *statepb.Session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sessions[id]
}

// Sessions returns all sessions that are not reclaimed, sorted by id.
func (m *Machine) Sessions() []*statepb.Session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.sessions)
}

// ReservedUnits returns the units of a team that a live session has reserved.
func (m *Machine) ReservedUnits(session, team string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return reservedUnits(m.liveSession(session), team)
}

// KeptUnits returns the units of a team that the named VM may use while cut off.
func (m *Machine) KeptUnits(memberName, team string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.kept[keptID{memberName, team}].GetUnits()
}

// KeptReservation returns the kept reservation of the named VM for a team, or nil.
func (m *Machine) KeptReservation(memberName, team string) *statepb.KeptReservation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.kept[keptID{memberName, team}]
}

// KeptReservations returns all kept reservations, sorted by VM and team.
func (m *Machine) KeptReservations() []*statepb.KeptReservation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.keptList()
}

// AllocatedUnits returns the units of a team that may be in use anywhere.
func (m *Machine) AllocatedUnits(team string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.allocatedUnits(team)
}

// RunningJobs returns the number of running jobs of a team.
func (m *Machine) RunningJobs(team string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.runningJobs[team]
}

// Claim returns a claim, or nil.
func (m *Machine) Claim(requestID string) *statepb.Claim {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims[requestID]
}

// Job returns a job, or nil.
func (m *Machine) Job(id string) *statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs[id]
}

// Jobs returns all jobs, sorted by id.
func (m *Machine) Jobs() []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sorted(m.jobs)
}

// Budget returns the availability budget of a pool and how many VMs are available.
func (m *Machine) Budget(pool string) (minAvailable, available uint32) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.budget(pool), m.availableVMs(pool)
}
