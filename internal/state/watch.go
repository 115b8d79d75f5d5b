package state

// Changed returns a channel that is closed when the next command is applied.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// notifyChanged wakes all callers that wait for a change. The caller holds m.mu.
func (m *Machine) notifyChanged() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}
