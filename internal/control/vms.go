package control

import (
	"context"
	"fmt"
	"time"

	"sapphirering/internal/state/statepb"
)

// downAfter is how long a VM may be silent towards every entry VM of its zone.
const downAfter = 10 * time.Second

// watchVMs marks silent VMs as down and returning ones as active. A VM in a
// zone without any live session cannot be judged and stays as it is.
func (m *Manager) watchVMs(ctx context.Context) error {
	ages := make(map[string]time.Duration)
	zones := make(map[string]bool)
	for _, r := range m.sessions.reports(m.cfg.Machine.Sessions()) {
		zones[r.zone] = true
		for _, v := range r.vms {
			age := r.age + time.Duration(v.AgeMs)*time.Millisecond
			if known, ok := ages[v.Vm]; !ok || age < known {
				ages[v.Vm] = age
			}
		}
	}
	for _, vm := range m.cfg.Machine.VMs() {
		age, reported := ages[vm.Name]
		since := time.Duration(m.cfg.Now().UnixMilli()-vm.PhaseSinceUnixMs) * time.Millisecond
		switch {
		case !zones[vm.Zone]:
		case vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE && (!reported || age > downAfter) && since > downAfter:
			if err := m.advance(ctx, vm, statepb.VMPhase_VM_PHASE_DOWN, "no announcement"); err != nil {
				return err
			}
		case vm.Phase == statepb.VMPhase_VM_PHASE_DOWN && reported && age < downAfter/2:
			if err := m.advance(ctx, vm, statepb.VMPhase_VM_PHASE_ACTIVE, "announces itself again"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *Manager) advance(ctx context.Context, vm *statepb.VM, phase statepb.VMPhase, reason string) error {
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: phase, Reason: reason,
	}}})
	if err != nil {
		return fmt.Errorf("vm %s to %s: %w", vm.Name, phase, err)
	}
	return nil
}
