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
	// gateSettle is how long the target's own gate must have been seen closed.
	// Entry VMs without a live session dispatch only on announcements that are
	// younger than this, and the target refuses dispatches that rely on older
	// ones, so nothing that was admitted before the gate arrives after it.
	gateSettle = target.MaxAnnouncementAge + 2*target.AnnounceInterval
	// drainTimeout ends drains of waves and moves that do not get idle. It is
	// longer than the longest request.
	drainTimeout = (state.MaxRequestDeadlineMS + 60_000) * time.Millisecond
	// holdAfterAbort keeps a VM in service after an aborted drain.
	holdAfterAbort = 30 * time.Second
	// maxAborts counts a VM as failed in its wave after so many aborted drains.
	maxAborts = 2
)

// gate is since when all reports agree that a drain's gate is closed.
type gate struct {
	drain uint64
	since time.Time
}

// drainVMs carries drains on until nothing can run on their VMs any more.
func (m *Manager) drainVMs(ctx context.Context, v *view) error {
	errs := []error{m.abortForBudgets(ctx)}
	for _, vm := range m.cfg.Machine.VMs() {
		switch vm.Phase {
		case statepb.VMPhase_VM_PHASE_DRAINING:
			errs = append(errs, m.drainVM(ctx, v, vm))
		case statepb.VMPhase_VM_PHASE_DRAINED:
			if reason := m.ownerGone(vm); reason != "" {
				errs = append(errs, m.abortDrain(ctx, vm, reason, false))
			}
		default:
			delete(m.fleet.gates, vm.Name)
		}
	}
	return errors.Join(errs...)
}

// drainVM takes one draining VM to DRAINED once it is surely idle.
func (m *Manager) drainVM(ctx context.Context, v *view, vm *statepb.VM) error {
	if reason := m.ownerGone(vm); reason != "" {
		return m.abortDrain(ctx, vm, reason, false)
	}
	if m.drainTimedOut(vm) {
		return m.timeOutDrain(ctx, vm)
	}
	jobs := m.jobsOn(vm.Name)
	if err := m.preemptAll(ctx, vm, jobs); err != nil {
		return err
	}
	if reason := m.gateOpen(v, vm); reason != "" {
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

// gateOpen returns what the drain still waits for at the entry VMs and the
// target, or "". Every entry VM with a live session must report the target's
// echo of this drain; those without one are covered by gateSettle.
func (m *Manager) gateOpen(v *view, vm *statepb.VM) string {
	reason := v.echoMissing(vm)
	if reason != "" {
		delete(m.fleet.gates, vm.Name)
		return reason
	}
	now := m.cfg.Now()
	closed, ok := m.fleet.gates[vm.Name]
	if !ok || closed.drain != vm.DrainRevision {
		closed = gate{drain: vm.DrainRevision, since: now}
		m.fleet.gates[vm.Name] = closed
	}
	if now.Sub(closed.since) < gateSettle {
		return "the gate closed a moment ago"
	}
	for _, s := range v.sightings[vm.Name] {
		if s.report.InFlight > 0 {
			return fmt.Sprintf("%d requests are in flight", s.report.InFlight)
		}
	}
	return ""
}

// echoMissing returns which entry VM has not reported the echo of the drain.
func (v *view) echoMissing(vm *statepb.VM) string {
	if len(v.members[vm.Zone]) == 0 {
		return fmt.Sprintf("no entry VM of zone %s reports", vm.Zone)
	}
	echoed := make(map[string]bool)
	for _, s := range v.sightings[vm.Name] {
		closed := s.report.GateClosed && s.report.DrainRevision == vm.DrainRevision
		if closed && s.report.Incarnation == vm.Incarnation && s.age <= maxReportAge {
			echoed[s.member] = true
		}
	}
	for _, member := range v.members[vm.Zone] {
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

// preemptAll asks the running jobs to checkpoint and stop. One that is not
// repeatable would be lost by that: the drain waits for its end.
func (m *Manager) preemptAll(ctx context.Context, vm *statepb.VM, jobs []*statepb.Job) error {
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

// ownerGone returns why nobody wants the drain any more, or "".
func (m *Manager) ownerGone(vm *statepb.VM) string {
	id := state.WaveOfDrainOwner(vm.DrainOwner)
	if id == "" {
		return ""
	}
	wave := m.cfg.Machine.Wave(id)
	if wave.GetPhase() == statepb.WavePhase_WAVE_PHASE_RUNNING {
		return ""
	}
	return fmt.Sprintf("wave %s is over", id)
}

// drainTimedOut reports whether the drain of a wave or a move takes too long.
// An operator's drain has no end of its own.
func (m *Manager) drainTimedOut(vm *statepb.VM) bool {
	if vm.DrainOwner != state.MoveDrainOwner && state.WaveOfDrainOwner(vm.DrainOwner) == "" {
		return false
	}
	return m.cfg.NowMS()-vm.PhaseSinceUnixMs > drainTimeout.Milliseconds()
}

func (m *Manager) timeOutDrain(ctx context.Context, vm *statepb.VM) error {
	key := vm.DrainOwner + " " + vm.Name
	m.fleet.aborts[key]++
	failed := m.fleet.aborts[key] >= maxAborts
	return m.abortDrain(ctx, vm, fmt.Sprintf("not idle after %s", drainTimeout), failed)
}

// abortDrain puts the VM back to work.
func (m *Manager) abortDrain(ctx context.Context, vm *statepb.VM, reason string, failed bool) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_ACTIVE,
		Reason: "drain aborted: " + reason, Failed: failed,
	})
	if ok {
		m.fleet.holds[vm.Name] = hold{until: m.cfg.Now().Add(holdAfterAbort), reason: "its drain was aborted: " + reason}
		event.DrainAborted.Emit(event.F("vm", vm.Name), event.F("owner", vm.DrainOwner), event.F("reason", reason))
	}
	return err
}

// abortForBudgets puts drained and draining VMs back to work in pools that
// unplanned losses have taken under their budget, the youngest drains first.
func (m *Manager) abortForBudgets(ctx context.Context) error {
	var errs []error
	for pool, budget := range m.cfg.Machine.Budgets() {
		if budget.Available >= budget.MinAvailable {
			continue
		}
		drains := m.drainsOf(pool)
		for _, vm := range drains[:min(len(drains), int(budget.MinAvailable-budget.Available))] {
			reason := fmt.Sprintf("pool %s has %d available VMs, its budget is %d", pool, budget.Available, budget.MinAvailable)
			errs = append(errs, m.abortDrain(ctx, vm, reason, false))
		}
	}
	return errors.Join(errs...)
}

// drainsOf returns the VMs of a pool whose drain can still be undone.
func (m *Manager) drainsOf(pool string) []*statepb.VM {
	var drains []*statepb.VM
	for _, vm := range m.cfg.Machine.VMs() {
		undoable := vm.Phase == statepb.VMPhase_VM_PHASE_DRAINING || vm.Phase == statepb.VMPhase_VM_PHASE_DRAINED
		if vm.Pool == pool && undoable {
			drains = append(drains, vm)
		}
	}
	sort.SliceStable(drains, func(i, j int) bool { return drains[i].DrainRevision > drains[j].DrainRevision })
	return drains
}
