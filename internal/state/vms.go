package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

const (
	// MoveDrainOwner is the owner of drains for moves between pools.
	MoveDrainOwner = "move"
	// waveOwnerPrefix and operatorOwnerPrefix end in a byte that no name contains.
	waveOwnerPrefix     = "wave:"
	operatorOwnerPrefix = "operator:"
	// removedWindow is how long the last incarnation of a removed VM is refused.
	removedWindow = 24 * time.Hour
)

// WaveDrainOwner returns the owner of the drains of a wave.
func WaveDrainOwner(wave string) string { return waveOwnerPrefix + wave }

// OperatorDrainOwner returns the owner of drains that an operator asked for.
func OperatorDrainOwner(operator string) string { return operatorOwnerPrefix + operator }

// WaveOfDrainOwner returns the wave that a drain owner names, or "" if it is not a wave.
func WaveOfDrainOwner(owner string) string {
	wave, ok := strings.CutPrefix(owner, waveOwnerPrefix)
	if !ok {
		return ""
	}
	return wave
}

func (m *Machine) putPool(c *statepb.PutPool) *statepb.Outcome {
	pool := c.GetPool()
	if !ValidName(pool.GetName()) {
		return m.invalid("pool: %q is not a name", pool.GetName())
	}
	current := m.pools[pool.Name]
	if c.BaseRevision != current.GetRevision() {
		return m.conflict("pool", pool.Name, c.BaseRevision, current.GetRevision())
	}
	stored := proto.CloneOf(pool)
	stored.Revision = m.index
	// A pool that is created again never repeats an epoch of its predecessor.
	stored.Epoch = m.index
	if current != nil {
		stored.Epoch = current.Epoch
	}
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
	if team := m.teamWithBudget(c.Name); team != "" {
		return m.refused("pool %q: the document of team %q states a budget for it", c.Name, team)
	}
	delete(m.pools, c.Name)
	return m.ok(m.index)
}

// announceVM registers a VM. The announced pool is used only for a VM that is not
// registered yet; a registered VM stays in its committed pool.
func (m *Machine) announceVM(c *statepb.AnnounceVM) *statepb.Outcome {
	vm := c.GetVm()
	if !ValidName(vm.GetName()) {
		return m.invalid("vm: %q is not a name", vm.GetName())
	}
	if removed := m.removedVMs[vm.Name]; removed != nil && removed.Incarnation == vm.Incarnation {
		return m.refused("vm %q: incarnation %q was removed", vm.Name, vm.Incarnation)
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
		clearDrain(stored)
		stored.LentFrom = ""
		stored.MoveEpoch = m.bumpEpoch(vm.Pool)
		stored.LastMaintainedUnixMs = m.nowMS
		delete(m.removedVMs, vm.Name)
	} else {
		stored.Pool, stored.MoveEpoch = known.Pool, known.MoveEpoch
		stored.Phase, stored.PhaseSinceUnixMs = known.Phase, known.PhaseSinceUnixMs
		stored.DrainOwner, stored.DrainReason = known.DrainOwner, known.DrainReason
		stored.MoveToPool, stored.DrainRevision = known.MoveToPool, known.DrainRevision
		stored.RebootIncarnation, stored.LentFrom = known.RebootIncarnation, known.LentFrom
		stored.LastMaintainedUnixMs = known.LastMaintainedUnixMs
	}
	m.vms[vm.Name] = stored
	m.indexVM(stored.Name, stored.Pool)
	return m.ok(m.index)
}

func (m *Machine) bumpEpoch(name string) uint64 {
	pool := proto.CloneOf(m.pools[name])
	pool.Epoch++
	m.pools[name] = pool
	return pool.Epoch
}

// vmAtRevision returns the VM if base is its current revision.
func (m *Machine) vmAtRevision(name string, base uint64) (*statepb.VM, *statepb.Outcome) {
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

// drainingVMs counts the VMs of the pool with a drain in progress, for maintenance or
// a move.
func (m *Machine) drainingVMs(pool string) uint32 {
	return m.countVMs(pool, func(vm *statepb.VM) bool { return vm.DrainOwner != "" })
}

// teamWithBudget returns a team whose document states a budget for the pool, or "".
func (m *Machine) teamWithBudget(pool string) string {
	for _, doc := range sorted(m.documents) {
		for _, budget := range doc.Budgets {
			if budget.Pool == pool {
				return doc.Team
			}
		}
	}
	return ""
}

// PoolBudget holds the minimum number of available VMs that a pool must keep, and
// how many are available.
type PoolBudget struct {
	MinAvailable uint32
	Available    uint32
}

// Budgets returns the budget of every pool in one pass over documents and VMs.
func (m *Machine) Budgets() map[string]PoolBudget {
	m.mu.RLock()
	defer m.mu.RUnlock()
	budgets := make(map[string]PoolBudget, len(m.pools))
	for name := range m.pools {
		budgets[name] = PoolBudget{}
	}
	for _, doc := range m.documents {
		for _, b := range doc.Budgets {
			budget := budgets[b.Pool]
			budget.MinAvailable = max(budget.MinAvailable, b.MinAvailableVms)
			budgets[b.Pool] = budget
		}
	}
	for _, vm := range m.vms {
		if vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE {
			budget := budgets[vm.Pool]
			budget.Available++
			budgets[vm.Pool] = budget
		}
	}
	return budgets
}

// checkBudget refuses to take more VMs out of service if that would leave the pool
// below its availability budget. VMs lost outside of maintenance are not available.
func (m *Machine) checkBudget(pool string, takenOut uint32) *statepb.Outcome {
	available, budget := m.availableVMs(pool), m.budget(pool)
	if available < budget+takenOut {
		return m.refused("pool %q: %d VMs are available, the availability budget keeps %d", pool, available, budget)
	}
	return nil
}

// startDrain starts to take one active VM out of service. Every planned removal from
// service starts here, so that the budget check also covers the VMs lost so far.
func (m *Machine) startDrain(c *statepb.StartDrain) *statepb.Outcome {
	vm, outcome := m.vmAtRevision(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE {
		return m.refused("vm %q: is %s, only an active VM can be drained", vm.Name, vm.Phase)
	}
	if outcome := m.checkDrainOwner(vm, c); outcome != nil {
		return outcome
	}
	if outcome := m.checkMoveTarget(vm, c); outcome != nil {
		return outcome
	}
	if outcome := m.checkBudget(vm.Pool, 1); outcome != nil {
		return outcome
	}
	next := m.updateVM(vm)
	m.enterPhase(next, statepb.VMPhase_VM_PHASE_DRAINING)
	next.DrainOwner, next.DrainReason, next.MoveToPool = c.Owner, c.Reason, c.MoveToPool
	next.DrainRevision = m.index
	return m.ok(m.index)
}

// checkDrainOwner refuses drains without a valid owner or that their wave does not allow.
func (m *Machine) checkDrainOwner(vm *statepb.VM, c *statepb.StartDrain) *statepb.Outcome {
	if id := WaveOfDrainOwner(c.Owner); id != "" {
		if c.MoveToPool != "" {
			return m.invalid("owner: a drain of wave %q cannot move the VM", id)
		}
		return m.checkWaveDrain(id, vm.Name)
	}
	if c.Owner != MoveDrainOwner && !strings.HasPrefix(c.Owner, operatorOwnerPrefix) {
		return m.invalid("owner: %q is not a wave, a move or an operator", c.Owner)
	}
	if c.Owner == MoveDrainOwner && c.MoveToPool == "" {
		return m.invalid("move_to_pool: a move names its pool")
	}
	return nil
}

// checkMoveTarget checks the destination of a move. The epoch rejects a plan that
// was made before another VM entered or left the pool.
func (m *Machine) checkMoveTarget(vm *statepb.VM, c *statepb.StartDrain) *statepb.Outcome {
	if c.MoveToPool == "" {
		return nil
	}
	pool := m.pools[c.MoveToPool]
	if pool == nil || c.MoveToPool == vm.Pool {
		return m.invalid("move_to_pool: %q does not exist or holds the VM already", c.MoveToPool)
	}
	if c.ToPoolEpoch != 0 && c.ToPoolEpoch != pool.Epoch {
		return m.conflict("pool epoch of", pool.Name, c.ToPoolEpoch, pool.Epoch)
	}
	return nil
}

// updateVM stores and returns a copy with a new revision.
func (m *Machine) updateVM(vm *statepb.VM) *statepb.VM {
	next := proto.CloneOf(vm)
	next.Revision = m.index
	m.vms[vm.Name] = next
	return next
}

func (m *Machine) enterPhase(vm *statepb.VM, phase statepb.VMPhase) {
	vm.Phase = phase
	vm.PhaseSinceUnixMs = m.nowMS
	if phase == statepb.VMPhase_VM_PHASE_ACTIVE || phase == statepb.VMPhase_VM_PHASE_DOWN {
		clearDrain(vm)
	}
}

func clearDrain(vm *statepb.VM) {
	vm.DrainOwner, vm.DrainReason, vm.MoveToPool = "", "", ""
	vm.DrainRevision, vm.RebootIncarnation = 0, ""
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

// advanceVM moves a VM to its next phase. A reboot checks the budget again, since
// other VMs may have been lost while this one drained.
func (m *Machine) advanceVM(c *statepb.AdvanceVM) *statepb.Outcome {
	vm, outcome := m.vmAtRevision(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	if !phaseAllowed(vm.Phase, c.Phase) {
		return m.refused("vm %q: %s cannot follow %s", vm.Name, c.Phase, vm.Phase)
	}
	if outcome := m.checkAdvance(vm, c); outcome != nil {
		return outcome
	}
	next := m.updateVM(vm)
	m.enterPhase(next, c.Phase)
	if c.Phase == statepb.VMPhase_VM_PHASE_REBOOTING {
		next.RebootIncarnation = vm.Incarnation
	}
	if c.Maintained {
		next.LastMaintainedUnixMs = m.nowMS
	}
	m.recordWaveResult(vm, c)
	return m.ok(m.index)
}

// checkAdvance checks the rules of a phase change beyond the order of phases.
func (m *Machine) checkAdvance(vm *statepb.VM, c *statepb.AdvanceVM) *statepb.Outcome {
	returned := vm.Phase == statepb.VMPhase_VM_PHASE_REBOOTING && c.Phase == statepb.VMPhase_VM_PHASE_ACTIVE
	if c.Maintained && !returned {
		return m.invalid("maintained: %s to %s is not the end of a reboot", vm.Phase, c.Phase)
	}
	switch c.Phase {
	case statepb.VMPhase_VM_PHASE_DRAINED:
		return m.checkIdle(vm)
	case statepb.VMPhase_VM_PHASE_REBOOTING:
		return m.checkReboot(vm)
	}
	return nil
}

// checkIdle refuses if a job attempt still runs on the VM.
func (m *Machine) checkIdle(vm *statepb.VM) *statepb.Outcome {
	for _, id := range m.openJobs {
		if CurrentAttempt(m.jobs[id]).GetVm() == vm.Name {
			return m.refused("vm %q: a job attempt still runs on it", vm.Name)
		}
	}
	return nil
}

// checkReboot allows reboots only for a running wave and within the budget.
func (m *Machine) checkReboot(vm *statepb.VM) *statepb.Outcome {
	wave := m.waves[WaveOfDrainOwner(vm.DrainOwner)]
	if wave.GetPhase() != statepb.WavePhase_WAVE_PHASE_RUNNING {
		return m.refused("vm %q: drained by %q, which is not a running wave", vm.Name, vm.DrainOwner)
	}
	return m.checkBudget(vm.Pool, 0)
}

// moveVM moves a drained VM from its pool to another in one step.
func (m *Machine) moveVM(c *statepb.MoveVM) *statepb.Outcome {
	vm, outcome := m.vmAtRevision(c.Vm, c.BaseRevision)
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
	next := m.updateVM(vm)
	m.bumpEpoch(vm.Pool)
	next.LentFrom = m.lenderPool(vm, c.ToPool)
	m.unindexVM(vm.Name, vm.Pool)
	next.Pool = c.ToPool
	m.indexVM(next.Name, next.Pool)
	next.MoveEpoch = m.bumpEpoch(c.ToPool)
	m.enterPhase(next, statepb.VMPhase_VM_PHASE_ACTIVE)
	return m.ok(m.index)
}

// lenderPool returns the spare pool that a moved VM is to return to, or "". It stays
// the same through moves between borrowing pools until the VM has returned.
func (m *Machine) lenderPool(vm *statepb.VM, toPool string) string {
	if vm.LentFrom == toPool || m.pools[toPool].Spare {
		return ""
	}
	if vm.LentFrom == "" && m.pools[vm.Pool].GetSpare() {
		return vm.Pool
	}
	return vm.LentFrom
}

// removeVM removes a VM that is lost or drained. Its incarnation may continue to
// announce itself for a while, which must not register the VM again.
func (m *Machine) removeVM(c *statepb.RemoveVM) *statepb.Outcome {
	vm, outcome := m.vmAtRevision(c.Vm, c.BaseRevision)
	if outcome != nil {
		return outcome
	}
	switch vm.Phase {
	case statepb.VMPhase_VM_PHASE_DOWN:
	case statepb.VMPhase_VM_PHASE_DRAINED:
		if outcome := m.checkBudget(vm.Pool, 0); outcome != nil {
			return outcome
		}
	default:
		return m.refused("vm %q: is %s, drain it first", vm.Name, vm.Phase)
	}
	delete(m.vms, vm.Name)
	m.unindexVM(vm.Name, vm.Pool)
	m.bumpEpoch(vm.Pool)
	m.recordRemovedVM(vm)
	return m.ok(m.index)
}

func (m *Machine) recordRemovedVM(vm *statepb.VM) {
	for name, removed := range m.removedVMs {
		if m.nowMS-removed.RemovedUnixMs > removedWindow.Milliseconds() {
			delete(m.removedVMs, name)
		}
	}
	m.removedVMs[vm.Name] = &statepb.RemovedVM{Name: vm.Name, Incarnation: vm.Incarnation, RemovedUnixMs: m.nowMS}
}
