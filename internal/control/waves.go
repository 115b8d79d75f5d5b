package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

const (
	// rebootTimeout is how long a VM may be away before its reboot counts as
	// failed.
	rebootTimeout    = 15 * time.Minute
	defaultAction    = "reboot"
	noPlatformReason = "no platform is configured (platform_url)"
)

// runWaves plans the running waves, starts reboots of drained VMs, and returns
// rebooted VMs to service.
func (m *Manager) runWaves(ctx context.Context, v *reportView) error {
	errs := []error{m.planWaves(ctx, v)}
	for _, vm := range m.cfg.Machine.VMs() {
		switch vm.Phase {
		case statepb.VMPhase_VM_PHASE_DRAINED:
			errs = append(errs, m.startReboot(ctx, v, vm))
		case statepb.VMPhase_VM_PHASE_REBOOTING:
			errs = append(errs, m.pollReboot(ctx, v, vm))
		}
	}
	return errors.Join(errs...)
}

// planWaves plans the running waves, ends those that are done or stopped, and
// starts the drains that the plan lists.
func (m *Manager) planWaves(ctx context.Context, v *reportView) error {
	m.fleet.spareNeeds = nil
	if !m.anyWaveRunning() {
		return nil
	}
	plan := maintenance.MakePlan(m.maintenanceSnapshot(v))
	m.fleet.spareNeeds = plan.SpareRequests
	var errs []error
	for _, end := range plan.Ends {
		errs = append(errs, m.endWave(ctx, end))
	}
	for _, start := range plan.Starts {
		errs = append(errs, m.startMaintenance(ctx, start))
	}
	m.recordWaits(plan.Waits)
	return errors.Join(errs...)
}

func (m *Manager) anyWaveRunning() bool {
	return slices.ContainsFunc(m.cfg.Machine.Waves(), func(wave *statepb.Wave) bool {
		return wave.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING
	})
}

// recordWaits records why each VM waits, and a summary for each wave.
func (m *Manager) recordWaits(waits []maintenance.Wait) {
	counts := make(map[string]map[string]int)
	for _, wait := range waits {
		m.reasons.Record("vm", wait.VM, "waits in wave %s: %s", wait.Wave, wait.Reason)
		if counts[wait.Wave] == nil {
			counts[wait.Wave] = make(map[string]int)
		}
		counts[wait.Wave][wait.Reason]++
	}
	for wave, reasons := range counts {
		var parts []string
		for reason, n := range reasons {
			parts = append(parts, fmt.Sprintf("%d VMs wait: %s", n, reason))
		}
		sort.Strings(parts)
		m.reasons.Record("wave", wave, "%s", strings.Join(parts, "; "))
	}
}

// explainVM describes a VM from the committed state.
func (m *Manager) explainVM(id string) ([]string, bool) {
	vm := m.cfg.Machine.VM(id)
	if vm == nil {
		return nil, false
	}
	line := fmt.Sprintf("VM of pool %s in availability zone %s, rack %s: %s", vm.Pool, vm.Zone, vm.Rack, vm.Phase)
	if vm.DrainOwner != "" {
		line += fmt.Sprintf(", taken out by %s: %s", vm.DrainOwner, vm.DrainReason)
	}
	if vm.MoveToPool != "" {
		line += ", moves to pool " + vm.MoveToPool
	}
	if vm.LentFrom != "" {
		line += ", lent by pool " + vm.LentFrom
	}
	return []string{line}, true
}

// explainWave describes a wave from the committed state.
func (m *Manager) explainWave(id string) ([]string, bool) {
	wave := m.cfg.Machine.Wave(id)
	if wave == nil {
		return nil, false
	}
	return []string{fmt.Sprintf("wave over %d VMs: %s %s, %d done, %d failed",
		len(wave.Vms), wave.Phase, wave.Reason, len(wave.DoneVms), len(wave.FailedVms))}, true
}

// maintenanceSnapshot is what the maintenance policy plans from.
func (m *Manager) maintenanceSnapshot(v *reportView) maintenance.Snapshot {
	now := m.cfg.Now()
	s := MaintenanceSnapshot(m.cfg.Machine, now)
	for _, vm := range s.VMs {
		if reason := v.incompleteReason(vm.Zone); reason != "" {
			s.IncompleteZones[vm.Zone] = reason
		}
		if h := m.fleet.drainHolds[vm.Name]; now.Before(h.until) {
			s.Held[vm.Name] = h.reason
		}
		if m.cfg.Platform == nil {
			s.Held[vm.Name] = noPlatformReason
		}
	}
	return s
}

// MaintenanceSnapshot is the part of the maintenance policy's snapshot that
// comes from the committed state.
func MaintenanceSnapshot(machine *state.Machine, now time.Time) maintenance.Snapshot {
	s := maintenance.Snapshot{
		Now: now, Budgets: make(map[string]int), IncompleteZones: make(map[string]string), Held: make(map[string]string),
	}
	for pool, budget := range machine.Budgets() {
		s.Budgets[pool] = int(budget.MinAvailable)
	}
	for _, vm := range machine.VMs() {
		s.VMs = append(s.VMs, maintenance.VM{
			Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Condition: condition(vm.Phase),
			Wave: state.WaveOfDrainOwner(vm.DrainOwner), Maintained: time.UnixMilli(vm.LastMaintainedUnixMs),
			Since: time.UnixMilli(vm.PhaseSinceUnixMs),
		})
	}
	for _, wave := range machine.Waves() {
		if wave.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING {
			s.Waves = append(s.Waves, MaintenanceWave(wave))
		}
	}
	return s
}

// MaintenanceWave converts a committed wave to the form that the maintenance
// policy plans with.
func MaintenanceWave(wave *statepb.Wave) maintenance.Wave {
	w := maintenance.Wave{
		ID: wave.Id, VMs: wave.Vms, Done: wave.DoneVms, Failed: wave.FailedVms,
		Canary: int(wave.CanaryVms), MaxParallel: int(wave.MaxParallelVms), Declared: time.UnixMilli(wave.DeclaredUnixMs),
	}
	if wave.DeadlineUnixMs != 0 {
		w.Deadline = time.UnixMilli(wave.DeadlineUnixMs)
	}
	return w
}

func condition(phase statepb.VMPhase) maintenance.Condition {
	switch phase {
	case statepb.VMPhase_VM_PHASE_ACTIVE:
		return maintenance.Available
	case statepb.VMPhase_VM_PHASE_DOWN:
		return maintenance.Lost
	}
	return maintenance.Out
}

func (m *Manager) endWave(ctx context.Context, end maintenance.End) error {
	phase := statepb.WavePhase_WAVE_PHASE_STOPPED
	if end.Done {
		phase = statepb.WavePhase_WAVE_PHASE_DONE
	}
	refusal, err := m.tryPropose(ctx, &statepb.Command{Body: &statepb.Command_EndWave{
		EndWave: &statepb.EndWave{Wave: end.Wave, Phase: phase, Reason: end.Reason},
	}})
	if err != nil {
		return fmt.Errorf("end wave %s: %w", end.Wave, err)
	}
	if refusal == "" {
		event.WaveEnded.Emit(event.F("wave", end.Wave), event.F("phase", phase.String()), event.F("reason", end.Reason))
		m.reasons.Record("wave", end.Wave, "ended: %s", end.Reason)
	}
	return nil
}

func (m *Manager) startMaintenance(ctx context.Context, start maintenance.Start) error {
	vm := m.cfg.Machine.VM(start.VM)
	if vm == nil {
		return nil
	}
	ok, err := m.startDrain(ctx, &statepb.StartDrain{
		Vm: vm.Name, BaseRevision: vm.Revision, Owner: state.WaveDrainOwner(start.Wave), Reason: start.Reason,
	})
	if ok {
		m.reasons.Record("wave", start.Wave, "drains VM %s: %s", start.VM, start.Reason)
	}
	return err
}

// startReboot commits that a drained VM is about to be rebooted. The platform
// is called only afterwards, so that a new leader knows of the reboot.
func (m *Manager) startReboot(ctx context.Context, v *reportView, vm *statepb.VM) error {
	id := state.WaveOfDrainOwner(vm.DrainOwner)
	if id == "" || vm.MoveToPool != "" || m.ownerEndedReason(vm) != "" || m.cfg.Platform == nil {
		return nil
	}
	if reason := v.incompleteReason(vm.Zone); reason != "" {
		m.reasons.Record("vm", vm.Name, "reboot waits: reports of availability zone %s are incomplete: %s", vm.Zone, reason)
		return nil
	}
	// The target may have been restarted since the drain: its next incarnation has to close its gate, too.
	if reason := m.drainBlocker(v, vm); reason != "" {
		m.reasons.Record("vm", vm.Name, "reboot waits: %s", reason)
		return nil
	}
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_REBOOTING, Reason: "wave " + id,
	})
	if ok {
		event.RebootStarted.Emit(event.F("vm", vm.Name), event.F("wave", id))
	}
	return err
}

// pollReboot calls the platform with the operation id of this drain until the
// VM is back or the reboot has failed.
func (m *Manager) pollReboot(ctx context.Context, v *reportView, vm *statepb.VM) error {
	wave := m.cfg.Machine.Wave(state.WaveOfDrainOwner(vm.DrainOwner))
	operation := m.pollOperation(ctx, vm, wave)
	away := time.Duration(m.cfg.NowMS()-vm.PhaseSinceUnixMs) * time.Millisecond
	switch {
	case operation.failed:
		return m.failReboot(ctx, vm, "the platform reports: "+operation.reason)
	case operation.done && m.returnedFromReboot(v, vm):
		return m.finishReboot(ctx, vm)
	case away > rebootTimeout && v.incompleteReason(vm.Zone) == "":
		return m.failReboot(ctx, vm, fmt.Sprintf("did not return within %s", rebootTimeout))
	}
	return nil
}

// returnedFromReboot reports whether an incarnation other than the one before
// the reboot has announced itself recently.
func (m *Manager) returnedFromReboot(v *reportView, vm *statepb.VM) bool {
	return vm.Incarnation != vm.RebootIncarnation && v.announcedRecently(vm)
}

func (m *Manager) finishReboot(ctx context.Context, vm *statepb.VM) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_ACTIVE,
		Reason: "back from its reboot", Maintained: true,
	})
	if ok {
		event.VMReturned.Emit(event.F("vm", vm.Name), event.F("pool", vm.Pool))
	}
	return err
}

func (m *Manager) failReboot(ctx context.Context, vm *statepb.VM, reason string) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_DOWN, Reason: reason, Failed: true,
	})
	if ok {
		event.RebootFailed.Emit(event.F("vm", vm.Name), event.F("reason", reason))
	}
	return err
}
