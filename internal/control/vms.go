package control

import (
	"context"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state/statepb"
)

// downAfter is how long no entry VM of its zone may have received an
// announcement of a VM before the VM counts as down.
const downAfter = 10 * time.Second

// watchVMs marks silent VMs as down and returning ones as active. Silence
// counts only while entry VMs of the zone report to this leader: a VM in a zone
// that does not report, or has only just begun to, stays as it is.
func (m *Manager) watchVMs(ctx context.Context, v *reportView) error {
	now := m.cfg.Now()
	for _, vm := range m.cfg.Machine.VMs() {
		if err := m.watchVM(ctx, v, vm, now); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) watchVM(ctx context.Context, v *reportView, vm *statepb.VM, now time.Time) error {
	s, reported := v.newestReport(vm)
	m.updateLastSeen(v, vm, s, reported, now)
	silent := now.Sub(m.fleet.lastSeen[vm.Name]) > downAfter
	switch vm.Phase {
	case statepb.VMPhase_VM_PHASE_ACTIVE:
		if silent {
			return m.markDown(ctx, vm, "no announcement")
		}
		if m.leftUndrained(vm, s, now) {
			return m.markDown(ctx, vm, "left without a drain")
		}
	case statepb.VMPhase_VM_PHASE_DRAINING, statepb.VMPhase_VM_PHASE_DRAINED:
		if silent {
			return m.markDown(ctx, vm, "lost during the drain for "+vm.DrainOwner)
		}
	case statepb.VMPhase_VM_PHASE_DOWN:
		if reported && s.age < downAfter/2 && !leavingUndrained(s) {
			return m.markActive(ctx, vm)
		}
	}
	return nil
}

// updateLastSeen records when the VM last announced itself. While its zone does
// not report, that time is set to now.
func (m *Manager) updateLastSeen(v *reportView, vm *statepb.VM, s memberReport, reported bool, now time.Time) {
	last, known := m.fleet.lastSeen[vm.Name]
	if !known || !v.reporting[vm.Zone] {
		m.fleet.lastSeen[vm.Name] = now
		return
	}
	if at := now.Add(-s.age); reported && at.After(last) {
		m.fleet.lastSeen[vm.Name] = at
	}
}

// leavingUndrained reports whether the target announces that it leaves although
// no drain was started.
func leavingUndrained(s memberReport) bool {
	return s.report != nil && s.report.Leaving && s.report.DrainRevision == 0
}

// leftUndrained reports whether an active VM has announced for longer than
// downAfter that it leaves without a drain. It then no longer counts as
// available.
func (m *Manager) leftUndrained(vm *statepb.VM, s memberReport, now time.Time) bool {
	if !leavingUndrained(s) {
		delete(m.fleet.leavingSince, vm.Name)
		return false
	}
	since, known := m.fleet.leavingSince[vm.Name]
	if !known {
		m.fleet.leavingSince[vm.Name] = now
		return false
	}
	return now.Sub(since) > downAfter
}

func (m *Manager) markDown(ctx context.Context, vm *statepb.VM, reason string) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_DOWN, Reason: reason,
	})
	if ok {
		event.VMLost.Emit(event.F("vm", vm.Name), event.F("pool", vm.Pool), event.F("reason", reason))
	}
	return err
}

func (m *Manager) markActive(ctx context.Context, vm *statepb.VM) error {
	ok, err := m.advanceVM(ctx, &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: statepb.VMPhase_VM_PHASE_ACTIVE, Reason: "announces itself again",
	})
	if ok {
		event.VMReturned.Emit(event.F("vm", vm.Name), event.F("pool", vm.Pool))
	}
	return err
}
