package control

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	// gateSettleTime is how long the target must have been reported with its
	// gate closed, that is refusing new work. Entry VMs without a live session
	// dispatch only on announcements that are younger than this, and the target
	// refuses dispatches that rely on older ones. So nothing that was admitted
	// before the gate closed arrives after this time.
	gateSettleTime = target.MaxAnnouncementAge + 2*target.AnnounceInterval
	// drainTimeout is when the drain of a wave or a move is aborted if the VM
	// is not idle. It is longer than the longest request.
	drainTimeout = (state.MaxRequestDeadlineMS + 60_000) * time.Millisecond
	// holdAfterAbort is how long a VM stays in service after an aborted drain.
	holdAfterAbort = 30 * time.Second
	// maxAbortedDrains is the number of timed-out drains after which a VM
	// counts as failed in its wave.
	maxAbortedDrains = 2
)

// closedGate is since when all reports agree that one incarnation of a target
// has closed its gate for a drain.
type closedGate struct {
	drainRevision uint64
	incarnation   string
	since         time.Time
}

// drainVMs advances drains until nothing can run on their VMs any more, and
// aborts drains whose wave has ended.
func (m *Manager) drainVMs(ctx context.Context, v *reportView) error {
	errs := []error{m.abortForBudgets(ctx)}
	for _, vm := range m.cfg.Machine.VMs() {
		switch vm.Phase {
		case statepb.VMPhase_VM_PHASE_DRAINING:
			errs = append(errs, m.drainVM(ctx, v, vm))
		case statepb.VMPhase_VM_PHASE_DRAINED:
			if reason := m.ownerEndedReason(vm); reason != "" {
				errs = append(errs, m.abortDrain(ctx, vm, reason, false))
			}
		default:
			delete(m.fleet.closedGates, vm.Name)
		}
	}
	return errors.Join(errs...)
}

// drainVM moves one draining VM to DRAINED once it is certainly idle.
func (m *Manager) drainVM(ctx context.Context, v *reportView, vm *statepb.VM) error {
	if reason := m.ownerEndedReason(vm); reason != "" {
		return m.abortDrain(ctx, vm, reason, false)
	}
	if m.drainTimedOut(vm) {
		return m.timeOutDrain(ctx, vm)
	}
	jobs := m.jobsOn(vm.Name)
	if err := m.preemptJobs(ctx, vm, jobs); err != nil {
		return err
	}
	if reason := m.drainBlocker(v, vm); reason != "" {
		m.reasons.Record("vm", vm.Name, "drain waits: %s", reason)
		return nil
	}
	if len(jobs) > 0 {
		m.reasons.Record("vm", vm.Name, "drain waits: job %s still runs", jobs[0].Id)
		return nil
	}
	_, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_DRAINED, Reason: "nothing runs on it",
	})
	return err
}

// drainBlocker returns what the drain still waits for at the entry VMs and the
// target, or "". Every entry VM with a live session must report that the target
// has echoed this drain; gateSettleTime covers those without one.
func (m *Manager) drainBlocker(v *reportView, vm *statepb.VM) string {
	reason := v.missingEcho(vm)
	if reason != "" {
		delete(m.fleet.closedGates, vm.Name)
		return reason
	}
	now := m.cfg.Now()
	closed, ok := m.fleet.closedGates[vm.Name]
	if !ok || closed.drainRevision != vm.DrainRevision || closed.incarnation != vm.Incarnation {
		closed = closedGate{drainRevision: vm.DrainRevision, incarnation: vm.Incarnation, since: now}
		m.fleet.closedGates[vm.Name] = closed
	}
	if now.Sub(closed.since) < gateSettleTime {
		return "the gate closed only recently"
	}
	for _, s := range v.vmReports[vm.Name] {
		if s.report.InFlight > 0 {
			return fmt.Sprintf("%d requests are in flight", s.report.InFlight)
		}
	}
	return ""
}

// missingEcho returns which entry VM has not reported the target's echo of the
// drain, or "".
func (v *reportView) missingEcho(vm *statepb.VM) string {
	if len(v.freshMembers[vm.Zone]) == 0 {
		return fmt.Sprintf("no entry VM of availability zone %s reports", vm.Zone)
	}
	echoed := make(map[string]bool)
	for _, s := range v.vmReports[vm.Name] {
		closed := s.report.GateClosed && s.report.DrainRevision == vm.DrainRevision
		if closed && s.report.Incarnation == vm.Incarnation && s.age <= maxReportAge {
			echoed[s.member] = true
		}
	}
	for _, member := range v.freshMembers[vm.Zone] {
		if !echoed[member] {
			return fmt.Sprintf("entry VM %s has not reported the closed gate", member)
		}
	}
	return ""
}

// jobsOn returns the jobs that run on a VM.
func (m *Manager) jobsOn(vm string) []*statepb.Job {
	var jobs []*statepb.Job
	for _, job := range m.cfg.Machine.OpenJobs() {
		if state.CurrentAttempt(job).GetVm() == vm {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// preemptJobs asks the running jobs to checkpoint and stop. A job that is not
// repeatable would be lost that way, so the drain waits until it ends.
func (m *Manager) preemptJobs(ctx context.Context, vm *statepb.VM, jobs []*statepb.Job) error {
	for _, job := range jobs {
		if job.PreemptRequested || !job.Repeatable {
			continue
		}
		if err := m.preempt(ctx, job.Id, fmt.Sprintf("vm %s drains for %s", vm.Name, vm.DrainOwner)); err != nil {
			return err
		}
	}
	return nil
}

// ownerEndedReason returns why the drain is no longer needed, or "".
func (m *Manager) ownerEndedReason(vm *statepb.VM) string {
	id := state.WaveOfDrainOwner(vm.DrainOwner)
	if id == "" {
		return ""
	}
	wave := m.cfg.Machine.Wave(id)
	if wave.GetPhase() == statepb.WavePhase_WAVE_PHASE_RUNNING {
		return ""
	}
	return fmt.Sprintf("wave %s has ended", id)
}

// drainTimedOut reports whether the drain of a wave or a move has exceeded
// drainTimeout. An operator's drain has no timeout.
func (m *Manager) drainTimedOut(vm *statepb.VM) bool {
	if vm.DrainOwner != state.MoveDrainOwner && state.WaveOfDrainOwner(vm.DrainOwner) == "" {
		return false
	}
	return m.cfg.NowMS()-vm.PhaseSinceUnixMs > drainTimeout.Milliseconds()
}

func (m *Manager) timeOutDrain(ctx context.Context, vm *statepb.VM) error {
	key := vm.DrainOwner + " " + vm.Name
	m.fleet.abortedDrains[key]++
	failed := m.fleet.abortedDrains[key] >= maxAbortedDrains
	return m.abortDrain(ctx, vm, fmt.Sprintf("not idle after %s", drainTimeout), failed)
}

// abortDrain makes the VM active again. failed counts the VM as failed in its
// wave.
func (m *Manager) abortDrain(ctx context.Context, vm *statepb.VM, reason string, failed bool) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_ACTIVE,
		Reason: "drain aborted: " + reason, Failed: failed,
	})
	if ok {
		m.fleet.drainHolds[vm.Name] = drainHold{until: m.cfg.Now().Add(holdAfterAbort), reason: "its drain was aborted: " + reason}
		event.DrainAborted.Emit(event.F("vm", vm.Name), event.F("owner", vm.DrainOwner), event.F("reason", reason))
	}
	return err
}

// abortForBudgets aborts drains in pools that unplanned losses have taken below
// their availability budget, the newest drains first.
func (m *Manager) abortForBudgets(ctx context.Context) error {
	var errs []error
	for pool, budget := range m.cfg.Machine.Budgets() {
		if budget.Available >= budget.MinAvailable {
			continue
		}
		drains := m.abortableDrains(pool)
		for _, vm := range drains[:min(len(drains), int(budget.MinAvailable-budget.Available))] {
			reason := fmt.Sprintf("pool %s has %d available VMs, its budget is %d", pool, budget.Available, budget.MinAvailable)
			errs = append(errs, m.abortDrain(ctx, vm, reason, false))
		}
	}
	return errors.Join(errs...)
}

// abortableDrains returns the VMs of a pool whose drain can still be aborted,
// the newest drains first.
func (m *Manager) abortableDrains(pool string) []*statepb.VM {
	var drains []*statepb.VM
	for _, vm := range m.cfg.Machine.VMs() {
		abortable := vm.Phase == statepb.VMPhase_VM_PHASE_DRAINING || vm.Phase == statepb.VMPhase_VM_PHASE_DRAINED
		if vm.Pool == pool && abortable {
			drains = append(drains, vm)
		}
	}
	sort.SliceStable(drains, func(i, j int) bool { return drains[i].DrainRevision > drains[j].DrainRevision })
	return drains
}
