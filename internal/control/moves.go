package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/capacity"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// movePlanInterval is the time between two plans of moves.
const movePlanInterval = time.Second

// moveVMs completes the moves of drained VMs and plans new ones.
func (m *Manager) moveVMs(ctx context.Context) error {
	var errs []error
	for _, vm := range m.cfg.Machine.VMs() {
		if vm.Phase == statepb.VMPhase_VM_PHASE_DRAINED && vm.MoveToPool != "" {
			errs = append(errs, m.commitMove(ctx, vm))
		}
	}
	if now := m.cfg.Now(); !now.Before(m.fleet.nextMovePlan) {
		m.fleet.nextMovePlan = now.Add(movePlanInterval)
		errs = append(errs, m.planMoves(ctx, now))
	}
	return errors.Join(errs...)
}

// commitMove commits the one transition between two pools. It is fenced by the
// VM's revision: if another leader repeats it, the VM has moved already and the
// command is refused.
func (m *Manager) commitMove(ctx context.Context, vm *statepb.VM) error {
	refusal, err := m.tryPropose(ctx, &statepb.Command{Body: &statepb.Command_MoveVm{
		MoveVm: &statepb.MoveVM{Vm: vm.Name, BaseRevision: vm.Revision, ToPool: vm.MoveToPool},
	}})
	if err != nil {
		return fmt.Errorf("move vm %s to pool %s: %w", vm.Name, vm.MoveToPool, err)
	}
	if refusal != "" {
		m.reasons.Record("vm", vm.Name, "move to pool %s is refused: %s", vm.MoveToPool, refusal)
		return nil
	}
	m.reasons.Record("vm", vm.Name, "moved from pool %s to pool %s: %s", vm.Pool, vm.MoveToPool, vm.DrainReason)
	event.VMMoved.Emit(event.F("vm", vm.Name), event.F("from", vm.Pool), event.F("to", vm.MoveToPool), event.F("reason", vm.DrainReason))
	return nil
}

func (m *Manager) planMoves(ctx context.Context, now time.Time) error {
	for pool, units := range m.poolDemand() {
		m.fleet.history.Observe(pool, now, units)
	}
	plan := capacity.MakePlan(CapacitySnapshot(m.cfg.Machine, now, m.extraVMs()), m.fleet.history)
	for _, wait := range plan.Waits {
		m.reasons.Record("pool", wait.Pool, "%s", wait.Reason)
	}
	var errs []error
	for _, move := range plan.Moves {
		if h := m.fleet.drainHolds[move.VM]; now.Before(h.until) {
			m.reasons.Record("vm", move.VM, "is not moved: %s", h.reason)
			continue
		}
		_, err := m.startDrain(ctx, &statepb.StartDrain{
			Vm: move.VM, BaseRevision: m.cfg.Machine.VM(move.VM).GetRevision(), Owner: state.MoveDrainOwner,
			Reason: move.Reason, MoveToPool: move.To, ToPoolEpoch: move.ToEpoch,
		})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// extraVMs returns the VMs that waves ask for, by pool.
func (m *Manager) extraVMs() map[string]capacity.Pool {
	extras := make(map[string]capacity.Pool)
	for _, need := range m.fleet.spareNeeds {
		extras[need.Pool] = capacity.Pool{Extra: need.VMs, ExtraReason: need.Reason}
	}
	return extras
}

// CapacitySnapshot is what the capacity policy plans moves from. extras holds
// what maintenance asks for, by pool.
func CapacitySnapshot(machine *state.Machine, now time.Time, extras map[string]capacity.Pool) capacity.Snapshot {
	s := capacity.Snapshot{Now: now}
	slots, count := make(map[string]int), make(map[string]int)
	for _, vm := range machine.VMs() {
		slots[vm.Pool] += int(vm.Slots)
		count[vm.Pool]++
		s.VMs = append(s.VMs, capacity.VM{
			Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack,
			Available: vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE,
			MovingTo:  vm.MoveToPool, LentFrom: vm.LentFrom, Since: time.UnixMilli(vm.PhaseSinceUnixMs),
		})
	}
	budgets := machine.Budgets()
	for _, pool := range machine.Pools() {
		s.Pools = append(s.Pools, capacity.Pool{
			Name: pool.Name, Spare: pool.Spare, Budget: int(budgets[pool.Name].MinAvailable), Epoch: pool.Epoch,
			UnitsPerVM: slots[pool.Name] / max(1, count[pool.Name]),
			Extra:      extras[pool.Name].Extra, ExtraReason: extras[pool.Name].ExtraReason,
		})
	}
	return s
}

// poolDemand returns the units that each pool needs: jobs count for their pool,
// and requests of a team are spread evenly over the pools of its queues.
func (m *Manager) poolDemand() map[string]float64 {
	demand := make(map[string]float64)
	for _, pool := range m.cfg.Machine.Pools() {
		demand[pool.Name] = 0
	}
	for _, job := range m.cfg.Machine.OpenJobs() {
		if job.State != statepb.JobState_JOB_STATE_PARKED {
			demand[job.Pool]++
		}
	}
	for _, r := range m.sessions.reports(m.cfg.Machine.Sessions()) {
		for _, d := range r.demands {
			pools := m.teamPools(d.Team)
			for _, pool := range pools {
				demand[pool] += float64(d.RunningUnits+d.WaitingUnits) / float64(len(pools))
			}
		}
	}
	return demand
}

// teamPools returns the pools that the queues of a team use.
func (m *Manager) teamPools(team string) []string {
	var pools []string
	seen := make(map[string]bool)
	for _, queue := range m.cfg.Machine.Document(team).GetQueues() {
		if !seen[queue.Pool] {
			seen[queue.Pool] = true
			pools = append(pools, queue.Pool)
		}
	}
	return pools
}
