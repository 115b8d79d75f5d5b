package state

import (
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

func (m *Machine) putPool(c *statepb.PutPool) *statepb.Outcome {
	pool := c.GetPool()
	if !ValidName(pool.GetName()) {
		return m.invalid("pool: %q is not a name", pool.GetName())
	}
	inForce := m.pools[pool.Name]
	if c.BaseRevision != inForce.GetRevision() {
		return m.conflict("pool", pool.Name, c.BaseRevision, inForce.GetRevision())
	}
	stored := proto.CloneOf(pool)
	stored.Revision = m.index
	stored.Epoch = inForce.GetEpoch()
	m.pools[pool.Name] = stored
	return m.ok(m.index)
}

func (m *Machine) deletePool(c *statepb.DeletePool) *statepb.Outcome {
	pool := m.pools[c.Name]
	if pool == nil {
		return m.notFound("pool", c.Name)
	}
	if pool.Revision != c.BaseRevision {
		return m.conflict("pool", c.Name, c.BaseRevision, pool.Revision)
	}
	for _, vm := range m.vms {
		if vm.Pool == c.Name || vm.MoveToPool == c.Name {
			return m.refused("pool %q: VM %q is in it or moving to it", c.Name, vm.Name)
		}
	}
	for _, ref := range m.queues {
		if ref.queue.Pool == c.Name {
			return m.refused("pool %q: queue %q uses it", c.Name, ref.queue.Name)
		}
	}
	delete(m.pools, c.Name)
	return m.ok(m.index)
}

// announceVM registers a VM. The announced pool counts only for a VM that is
// not known yet; afterwards the committed pool is in force.
func (m *Machine) announceVM(c *statepb.AnnounceVM) *statepb.Outcome {
	vm := c.GetVm()
	if !ValidName(vm.GetName()) {
		return m.invalid("vm: %q is not a name", vm.GetName())
	}
	known := m.vms[vm.Name]
	if known == nil && m.pools[vm.Pool] == nil {
		return m.notFound("pool", vm.Pool)
	}
	stored := proto.CloneOf(vm)
	stored.Revision = m.index
	if known == nil {
		stored.Phase = statepb.VMPhase_VM_PHASE_ACTIVE
		stored.PhaseSinceUnixMs = m.nowMS
		stored.DrainOwner, stored.DrainReason, stored.MoveToPool = "", "", ""
		stored.MoveEpoch = m.bumpEpoch(vm.Pool)
		stored.LastMaintainedUnixMs = m.nowMS
	} else {
		stored.Pool, stored.MoveEpoch = known.Pool, known.MoveEpoch
		stored.Phase, stored.PhaseSinceUnixMs = known.Phase, known.PhaseSinceUnixMs
		stored.DrainOwner, stored.DrainReason = known.DrainOwner, known.DrainReason
		stored.MoveToPool = known.MoveToPool
		stored.LastMaintainedUnixMs = known.LastMaintainedUnixMs
	}
	m.vms[vm.Name] = stored
	return m.ok(m.index)
}

func (m *Machine) bumpEpoch(name string) uint64 {
	pool := proto.CloneOf(m.pools[name])
	pool.Epoch++
	m.pools[name] = pool
	return pool.Epoch
}

// vmAt returns the VM when base is its revision.
func (m *Machine) vmAt(name string, base uint64) (*statepb.VM, *statepb.Outcome) {
	vm := m.vms[name]
	if vm == nil {
		return nil, m.notFound("vm", name)
	}
	if vm.Revision != base {
		return nil, m.conflict("vm", name, base, vm.Revision)
	}
	return vm, nil
}

// availableVMs counts the VMs of the pool that can take work.
func (m *Machine) availableVMs(pool string) uint32 {
	return m.countVMs(pool, func(vm *statepb.VM) bool { return vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE })
}

// drainingVMs counts the VMs of the pool that maintenance or a move has taken out.
func (m *Machine) drainingVMs(pool string) uint32 {
	return m.countVMs(pool, func(vm *statepb.VM) bool { return vm.DrainOwner != "" })
}

func (m *Machine) countVMs(pool string, counts func(*statepb.VM) bool) uint32 {
	count := uint32(0)
	for _, vm := range m.vms {
		if vm.Pool == pool && counts(vm) {
			count++
		}
	}
	return count
}

// budget returns the least number of available VMs that any team asks of the pool.
func (m *Machine) budget(pool string) uint32 {
	least := uint32(0)
	for _, doc := range m.documents {
		for _, budget := range doc.Budgets {
			if budget.Pool == pool {
				least = max(least, budget.MinAvailableVms)
			}
		}
	}
	return least
}

// checkBudget refuses when taking out more VMs would leave the pool below its
// availability budget. VMs lost outside of maintenance are not available.
func (m *Machine) checkBudget(pool string, takenOut uint32) *statepb.Outcome {
	available, budget := m.availableVMs(pool), m.budget(pool)
	if available < budget+takenOut {
		return m.refused("pool %q: %d VMs are available, the availability budget keeps %d", pool, available, budget)
	}
	return nil
}

func (m *Machine) startDrain(c *statepb.StartDrain) *statepb.Outcome {
	vm, outcome := m.vmAt(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE {
		return m.refused("vm %q: is %s, only an active VM can be drained", vm.Name, vm.Phase)
	}
	if c.Owner == "" {
		return m.invalid("owner: a drain names its wave or move")
	}
	if c.MoveToPool != "" && (m.pools[c.MoveToPool] == nil || c.MoveToPool == vm.Pool) {
		return m.invalid("move_to_pool: %q does not exist or holds the VM already", c.MoveToPool)
	}
	if outcome := m.checkBudget(vm.Pool, 1); outcome != nil {
		return outcome
	}
	next := m.changeVM(vm)
	m.enterPhase(next, statepb.VMPhase_VM_PHASE_DRAINING)
	next.DrainOwner, next.DrainReason, next.MoveToPool = c.Owner, c.Reason, c.MoveToPool
	return m.ok(m.index)
}

// changeVM stores and returns a copy with a new revision.
func (m *Machine) changeVM(vm *statepb.VM) *statepb.VM {
	next := proto.CloneOf(vm)
	next.Revision = m.index
	m.vms[vm.Name] = next
	return next
}

func (m *Machine) enterPhase(vm *statepb.VM, phase statepb.VMPhase) {
	vm.Phase = phase
	vm.PhaseSinceUnixMs = m.nowMS
	if phase == statepb.VMPhase_VM_PHASE_ACTIVE || phase == statepb.VMPhase_VM_PHASE_DOWN {
		vm.DrainOwner, vm.DrainReason, vm.MoveToPool = "", "", ""
	}
}

// allowedPhases lists the phases that each phase may be followed by.
var allowedPhases = map[statepb.VMPhase][]statepb.VMPhase{
	statepb.VMPhase_VM_PHASE_ACTIVE:    {statepb.VMPhase_VM_PHASE_DOWN},
	statepb.VMPhase_VM_PHASE_DRAINING:  {statepb.VMPhase_VM_PHASE_ACTIVE, statepb.VMPhase_VM_PHASE_DRAINED, statepb.VMPhase_VM_PHASE_DOWN},
	statepb.VMPhase_VM_PHASE_DRAINED:   {statepb.VMPhase_VM_PHASE_ACTIVE, statepb.VMPhase_VM_PHASE_REBOOTING, statepb.VMPhase_VM_PHASE_DOWN},
	statepb.VMPhase_VM_PHASE_REBOOTING: {statepb.VMPhase_VM_PHASE_ACTIVE, statepb.VMPhase_VM_PHASE_DOWN},
	statepb.VMPhase_VM_PHASE_DOWN:      {statepb.VMPhase_VM_PHASE_ACTIVE},
}

func phaseAllowed(from, to statepb.VMPhase) bool {
	for _, phase := range allowedPhases[from] {
		if phase == to {
			return true
		}
	}
	return false
}

// advanceVM enters the next phase. A reboot checks the budget again, since
// other VMs may have been lost while this one drained.
func (m *Machine) advanceVM(c *statepb.AdvanceVM) *statepb.Outcome {
	vm, outcome := m.vmAt(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if !phaseAllowed(vm.Phase, c.Phase) {
		return m.refused("vm %q: %s cannot follow %s", vm.Name, c.Phase, vm.Phase)
	}
	if c.Phase == statepb.VMPhase_VM_PHASE_REBOOTING {
		if vm.MoveToPool != "" {
			return m.refused("vm %q: drains for a move, not for maintenance", vm.Name)
		}
		if outcome := m.checkBudget(vm.Pool, 0); outcome != nil {
			return outcome
		}
	}
	next := m.changeVM(vm)
	m.enterPhase(next, c.Phase)
	if c.Maintained {
		next.LastMaintainedUnixMs = m.nowMS
	}
	m.noteWaveResult(vm, c)
	return m.ok(m.index)
}

// moveVM commits the one transition between two pools.
func (m *Machine) moveVM(c *statepb.MoveVM) *statepb.Outcome {
	vm, outcome := m.vmAt(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if vm.Phase != statepb.VMPhase_VM_PHASE_DRAINED || vm.MoveToPool != c.ToPool {
		return m.refused("vm %q: is not drained for a move to pool %q", vm.Name, c.ToPool)
	}
	if m.pools[c.ToPool] == nil {
		return m.notFound("pool", c.ToPool)
	}
	if outcome := m.checkBudget(vm.Pool, 0); outcome != nil {
		return outcome
	}
	next := m.changeVM(vm)
	m.bumpEpoch(vm.Pool)
	next.Pool = c.ToPool
	next.MoveEpoch = m.bumpEpoch(c.ToPool)
	m.enterPhase(next, statepb.VMPhase_VM_PHASE_ACTIVE)
	return m.ok(m.index)
}

func (m *Machine) removeVM(c *statepb.RemoveVM) *statepb.Outcome {
	vm, outcome := m.vmAt(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if vm.Phase != statepb.VMPhase_VM_PHASE_DOWN && vm.Phase != statepb.VMPhase_VM_PHASE_DRAINED {
		return m.refused("vm %q: is %s, drain it first", vm.Name, vm.Phase)
	}
	delete(m.vms, vm.Name)
	return m.ok(m.index)
}
