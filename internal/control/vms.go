package control

import (
	"context"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state/statepb"
)

// downAfter is how long a VM may be silent towards every entry VM of its zone.
const downAfter = 10 * time.Second

// watchVMs marks silent VMs as down and returning ones as active. Silence
// counts only while this leader hears the zone: a VM in a zone that it cannot
// hear, or that it began to hear just now, stays as it is.
func (m *Manager) watchVMs(ctx context.Context, v *view) error {
	now := m.cfg.Now()
	for _, vm := range m.cfg.Machine.VMs() {
		if err := m.watchVM(ctx, v, vm, now); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) watchVM(ctx context.Context, v *view, vm *statepb.VM, now time.Time) error {
	s, sighted := v.newest(vm)
	m.noteSeen(v, vm, s, sighted, now)
	silent := now.Sub(m.fleet.seen[vm.Name]) > downAfter
	switch vm.Phase {
	case statepb.VMPhase_VM_PHASE_ACTIVE:
		if silent {
			return m.markDown(ctx, vm, "no announcement")
		}
		if m.leavesByItself(vm, s, now) {
			return m.markDown(ctx, vm, "leaves by itself")
		}
	case statepb.VMPhase_VM_PHASE_DRAINING, statepb.VMPhase_VM_PHASE_DRAINED:
		if silent {
			return m.markDown(ctx, vm, "lost while drained for "+vm.DrainOwner)
		}
	case statepb.VMPhase_VM_PHASE_DOWN:
		if sighted && s.age < downAfter/2 && !leaving(s) {
			return m.markActive(ctx, vm)
		}
	}
	return nil
}

// noteSeen keeps when the VM was last heard of.
func (m *Manager) noteSeen(v *view, vm *statepb.VM, s sighting, sighted bool, now time.Time) {
	last, known := m.fleet.seen[vm.Name]
	if !known || !v.heard[vm.Zone] {
		m.fleet.seen[vm.Name] = now
		return
	}
	if at := now.Add(-s.age); sighted && at.After(last) {
		m.fleet.seen[vm.Name] = at
	}
}

// leaving reports whether the target leaves without having been drained.
func leaving(s sighting) bool {
	return s.report != nil && s.report.Leaving && s.report.DrainRevision == 0
}

// leavesByItself reports whether an active VM has announced its own leaving for
// so long that it no longer counts as available.
func (m *Manager) leavesByItself(vm *statepb.VM, s sighting, now time.Time) bool {
	if !leaving(s) {
		delete(m.fleet.left, vm.Name)
		return false
	}
	since, known := m.fleet.left[vm.Name]
	if !known {
		m.fleet.left[vm.Name] = now
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
