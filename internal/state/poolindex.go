package state

import "sapphirering/internal/state/statepb"

// indexVM notes that a VM belongs to the pool.
func (m *Machine) indexVM(name, pool string) {
	names := m.poolVMs[pool]
	if names == nil {
		names = make(map[string]struct{})
		m.poolVMs[pool] = names
	}
	names[name] = struct{}{}
}

// unindexVM notes that a VM has left the pool.
func (m *Machine) unindexVM(name, pool string) {
	delete(m.poolVMs[pool], name)
	if len(m.poolVMs[pool]) == 0 {
		delete(m.poolVMs, pool)
	}
}

// countVMs counts VMs of one pool.
func (m *Machine) countVMs(pool string, counts func(*statepb.VM) bool) uint32 {
	count := uint32(0)
	for name := range m.poolVMs[pool] {
		if counts(m.vms[name]) {
			count++
		}
	}
	return count
}

// indexBudgets works out the budget of every pool after a document changed.
func (m *Machine) indexBudgets() {
	m.budgets = make(map[string]uint32)
	for _, doc := range m.documents {
		for _, budget := range doc.Budgets {
			m.budgets[budget.Pool] = max(m.budgets[budget.Pool], budget.MinAvailableVms)
		}
	}
}

// budget returns the least number of available VMs that any team asks of the pool.
func (m *Machine) budget(pool string) uint32 { return m.budgets[pool] }
