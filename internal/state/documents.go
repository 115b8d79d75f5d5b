package state

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

const (
	// MaxNameBytes is the maximum length of every name in the state.
	MaxNameBytes = 64
	// MaxRequestDeadlineMS is the longest deadline of any request.
	MaxRequestDeadlineMS = 120_000
)

// ValidName reports whether s is a name: 1 to 64 bytes of a-z, 0-9, '-', '_' and '.'.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func (m *Machine) applyDocument(c *statepb.ApplyDocument) *statepb.Outcome {
	doc := c.GetDocument()
	if outcome := m.checkDocument(doc); outcome != nil {
		return outcome
	}
	current := m.documents[doc.Team].GetRevision()
	if c.BaseRevision != current {
		return m.conflict("document", doc.Team, c.BaseRevision, current)
	}
	if outcome := m.checkDocumentConstraints(doc); outcome != nil {
		return outcome
	}
	m.unindexQueues(doc.Team)
	stored := proto.CloneOf(doc)
	stored.Revision = m.index
	m.documents[doc.Team] = stored
	m.allocationChanges++
	m.indexQueues(stored)
	m.indexBudgets()
	m.raiseDeadlines()
	return m.ok(m.index)
}

// checkDocument checks the fields of a document, and its queues against the state.
func (m *Machine) checkDocument(doc *statepb.TeamDocument) *statepb.Outcome {
	if violations := CheckDocument(doc); len(violations) > 0 {
		return m.invalid("%s: %s", violations[0].Field, violations[0].Reason)
	}
	for _, queue := range doc.Queues {
		if m.pools[queue.Pool] == nil {
			return m.invalid("queue %q: pool: %q does not exist", queue.Name, queue.Pool)
		}
		if other, ok := m.queues[queue.Name]; ok && other.team != doc.Team {
			return m.invalid("queue %q: belongs to team %q", queue.Name, other.team)
		}
	}
	return nil
}

// checkDocumentConstraints checks a document against the team's kept reservations
// and the VMs that are being drained.
func (m *Machine) checkDocumentConstraints(doc *statepb.TeamDocument) *statepb.Outcome {
	if kept := m.keptUnits(doc.Team); doc.UpperLimitUnits < kept {
		return m.refused("upper_limit: %d is below the %d units that VMs keep for a cut", doc.UpperLimitUnits, kept)
	}
	for _, budget := range doc.Budgets {
		if m.pools[budget.Pool] == nil {
			return m.invalid("availability: pool %q does not exist", budget.Pool)
		}
		if budget.MinAvailableVms > m.availableVMs(budget.Pool) && m.drainingVMs(budget.Pool) > 0 {
			return m.refused("availability: pool %q has VMs in maintenance and cannot keep %d available",
				budget.Pool, budget.MinAvailableVms)
		}
	}
	return nil
}

func (m *Machine) deleteDocument(c *statepb.DeleteDocument) *statepb.Outcome {
	doc := m.documents[c.Team]
	if doc == nil {
		return m.notFound("document", c.Team)
	}
	if doc.Revision != c.BaseRevision {
		return m.conflict("document", c.Team, c.BaseRevision, doc.Revision)
	}
	// Units reserved by sessions do not block the deletion, since idle units are
	// always reserved. They stay counted, so that they reduce what a new document
	// of the team can allocate.
	if jobs := m.runningJobs[c.Team] + m.queuedJobs[c.Team]; jobs > 0 {
		return m.refused("document %q: %d jobs are running or queued", c.Team, jobs)
	}
	for _, key := range m.keys {
		if key.Team == c.Team {
			return m.refused("document %q: key %q is still granted", c.Team, key.Id)
		}
	}
	m.unindexQueues(c.Team)
	delete(m.documents, c.Team)
	m.allocationChanges++
	m.indexBudgets()
	return m.ok(m.index)
}

func (m *Machine) unindexQueues(team string) {
	for _, queue := range m.documents[team].GetQueues() {
		delete(m.queues, queue.Name)
	}
}

func (m *Machine) indexQueues(doc *statepb.TeamDocument) {
	for _, queue := range doc.Queues {
		m.queues[queue.Name] = queueRef{team: doc.Team, queue: queue}
	}
}

func (m *Machine) grantKey(c *statepb.GrantKey) *statepb.Outcome {
	key := c.GetKey()
	if !ValidName(key.GetId()) {
		return m.invalid("key id: %q is not a name", key.GetId())
	}
	if len(key.Hash) != sha256.Size {
		return m.invalid("key hash: %d bytes given, want %d", len(key.Hash), sha256.Size)
	}
	if m.documents[key.Team] == nil {
		return m.notFound("document", key.Team)
	}
	if m.keys[key.Id] != nil {
		return m.refused("key %q exists already", key.Id)
	}
	hash := [sha256.Size]byte(key.Hash)
	if _, ok := m.keyByHash[hash]; ok {
		return m.refused("key %q: the secret is in use", key.Id)
	}
	stored := proto.CloneOf(key)
	stored.GrantedUnixMs = m.nowMS
	stored.GrantedRevision = m.index
	m.keys[key.Id] = stored
	m.keyByHash[hash] = key.Id
	return m.ok(m.index)
}

func (m *Machine) withdrawKey(c *statepb.WithdrawKey) *statepb.Outcome {
	key := m.keys[c.KeyId]
	if key == nil {
		return m.notFound("key", c.KeyId)
	}
	delete(m.keys, c.KeyId)
	delete(m.keyByHash, [sha256.Size]byte(key.Hash))
	return m.ok(m.index)
}
