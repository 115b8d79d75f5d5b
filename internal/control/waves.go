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
	// rebootTimeout is how long a VM may be away before its reboot counts as failed.
	rebootTimeout = 15 * time.Minute
	defaultAction = "reboot"
	noPlatform    = "no platform is set (platform_url)"
)

// runWaves plans the running waves, reboots drained VMs and takes them back.
func (m *Manager) runWaves(ctx context.Context, v *view) error {
	errs := []error{m.planWaves(ctx, v)}
	for _, vm := range m.cfg.Machine.VMs() {
		switch vm.Phase {
		case statepb.VMPhase_VM_PHASE_DRAINED:
			errs = append(errs, m.startReboot(ctx, v, vm))
		case statepb.VMPhase_VM_PHASE_REBOOTING:
			errs = append(errs, m.followReboot(ctx, v, vm))
		}
	}
	return errors.Join(errs...)
}

// planWaves plans the running waves and begins what they do next.
func (m *Manager) planWaves(ctx context.Context, v *view) error {
	m.fleet.needs = nil
	if !m.wavesRun() {
		return nil
	}
	plan := maintenance.Next(m.maintenanceSnapshot(v))
	m.fleet.needs = plan.Needs
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

func (m *Manager) wavesRun() bool {
	return slices.ContainsFunc(m.cfg.Machine.Waves(), func(wave *statepb.Wave) bool {
		return wave.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING
	})
}

// recordWaits keeps why each VM waits, and one line for each wave.
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

// maintenanceSnapshot is what the policy plans from.
func (m *Manager) maintenanceSnapshot(v *view) maintenance.Snapshot {
	now := m.cfg.Now()
	s := MaintenanceSnapshot(m.cfg.Machine, now)
	for _, vm := range s.VMs {
		if reason := v.blindReason(vm.Zone); reason != "" {
			s.Blind[vm.Zone] = reason
		}
		if h := m.fleet.holds[vm.Name]; now.Before(h.until) {
			s.Held[vm.Name] = h.reason
		}
		if m.cfg.Platform == nil {
			s.Held[vm.Name] = noPlatform
		}
	}
	return s
}

// MaintenanceSnapshot is the part of the policy's snapshot that the committed
// state holds.
func MaintenanceSnapshot(machine *state.Machine, now time.Time) maintenance.Snapshot {
	s := maintenance.Snapshot{
		Now: now, Budgets: make(map[string]int), Blind: make(map[string]string), Held: make(map[string]string),
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
			s.Waves = append(s.Waves, PolicyWave(wave))
		}
	}
	return s
}

// PolicyWave converts a wave for the policy.
func PolicyWave(wave *statepb.Wave) maintenance.Wave {
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
	refusal, err := m.try(ctx, &statepb.Command{Body: &statepb.Command_EndWave{
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
// is asked only afterwards, so a leader that takes over knows of the reboot.
func (m *Manager) startReboot(ctx context.Context, v *view, vm *statepb.VM) error {
	id := state.WaveOfDrainOwner(vm.DrainOwner)
	if id == "" || vm.MoveToPool != "" || m.ownerGone(vm) != "" || m.cfg.Platform == nil {
		return nil
	}
	if reason := v.blindReason(vm.Zone); reason != "" {
		m.reasons.Record("vm", vm.Name, "reboot waits: availability zone %s cannot be seen whole: %s", vm.Zone, reason)
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

// followReboot asks the platform under the operation id of this drain until
// the VM is back or the reboot has failed.
func (m *Manager) followReboot(ctx context.Context, v *view, vm *statepb.VM) error {
	wave := m.cfg.Machine.Wave(state.WaveOfDrainOwner(vm.DrainOwner))
	operation := m.askPlatform(ctx, vm, wave)
	away := time.Duration(m.cfg.NowMS()-vm.PhaseSinceUnixMs) * time.Millisecond
	switch {
	case operation.failed:
		return m.failReboot(ctx, vm, "the platform reports: "+operation.reason)
	case operation.done && m.isBack(v, vm):
		return m.finishReboot(ctx, vm)
	case away > rebootTimeout && v.blindReason(vm.Zone) == "":
		return m.failReboot(ctx, vm, fmt.Sprintf("did not return within %s", rebootTimeout))
	}
	return nil
}

// isBack reports whether another incarnation than before the reboot announces itself.
func (m *Manager) isBack(v *view, vm *statepb.VM) bool {
	return vm.Incarnation != vm.RebootIncarnation && v.announces(vm)
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
