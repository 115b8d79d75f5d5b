package state

import "sapphirering/internal/state/statepb"

// indexVM adds a VM to the index of its pool.
func (m *Machine) indexVM(name, pool string) {
	names := m.poolVMs[pool]
	if names == nil {
		names = make(map[string]struct{})
		m.poolVMs[pool] = names
	}
	names[name] = struct{}{}
}

// unindexVM removes a VM from the index of a pool.
func (m *Machine) unindexVM(name, pool string) {
	delete(m.poolVMs[pool], name)
	if len(m.poolVMs[pool]) == 0 {
		delete(m.poolVMs, pool)
	}
}

// countVMs counts the VMs of one pool for which include returns true.
func (m *Machine) countVMs(pool string, include func(*statepb.VM) bool) uint32 {
	count := uint32(0)
	for name := range m.poolVMs[pool] {
		if include(m.vms[name]) {
			count++
		}
	}
	return count
}

// indexBudgets recomputes the budget of every pool after a document changed.
func (m *Machine) indexBudgets() {
	m.budgets = make(map[string]uint32)
	for _, doc := range m.documents {
		for _, budget := range doc.Budgets {
			m.budgets[budget.Pool] = max(m.budgets[budget.Pool], budget.MinAvailableVms)
		}
	}
}

// budget returns the availability budget of the pool: the largest minimum of available
// VMs that any team states.
func (m *Machine) budget(pool string) uint32 { return m.budgets[pool] }
