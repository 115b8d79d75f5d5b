package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/capacity"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

// fleetState is what the leader remembers about VMs besides the committed
// state. A new leader starts with nothing: where something is not known yet,
// each rule waits instead of acting.
type fleetState struct {
	// lastSeen is when each VM was last known to announce itself, or when this
	// leader began to receive reports about its zone.
	lastSeen map[string]time.Time
	// leavingSince is since when an active VM has announced that it leaves
	// without a drain.
	leavingSince map[string]time.Time
	closedGates  map[string]closedGate
	// drainHolds keep VMs from being drained again right after an aborted
	// drain.
	drainHolds map[string]drainHold
	// abortedDrains counts the drains that timed out, by owner and VM.
	abortedDrains map[string]int
	history       *capacity.History
	// spareNeeds are the pools in which the last wave plan found no VM that may
	// be taken out.
	spareNeeds   []maintenance.SpareRequest
	nextMovePlan time.Time
	calls        *platformCalls
}

// manageVMs runs the loops that watch, drain, reboot and move VMs. They run
// once a round and not at every step, since their timeouts are seconds.
func (m *Manager) manageVMs(ctx context.Context) error {
	v := m.collectReports()
	return errors.Join(m.watchVMs(ctx, v), m.drainVMs(ctx, v), m.runWaves(ctx, v), m.moveVMs(ctx))
}

// drainHold keeps a VM in service until a time.
type drainHold struct {
	until  time.Time
	reason string
}

func newFleetState() *fleetState {
	return &fleetState{
		lastSeen: make(map[string]time.Time), leavingSince: make(map[string]time.Time), closedGates: make(map[string]closedGate),
		drainHolds: make(map[string]drainHold), abortedDrains: make(map[string]int), history: capacity.NewHistory(),
		calls: newPlatformCalls(),
	}
}

// memberReport is the last report of one entry VM about one VM.
type memberReport struct {
	member string
	report *wirepb.VMReport
	// age is the time since the announcement that the report is based on.
	age time.Duration
}

// reportView collects the last reports of all entry VMs.
type reportView struct {
	// incomplete holds, by zone, why the zone's reports are incomplete.
	incomplete map[string]string
	// reporting zones have at least one entry VM with a fresh report.
	reporting map[string]bool
	// freshMembers are the entry VMs with a fresh report, by zone.
	freshMembers map[string][]string
	vmReports    map[string][]memberReport
}

// collectReports collects the newest report of every entry VM.
func (m *Manager) collectReports() *reportView {
	v := &reportView{
		incomplete: make(map[string]string), reporting: make(map[string]bool),
		freshMembers: make(map[string][]string), vmReports: make(map[string][]memberReport),
	}
	newest := make(map[string]report)
	for _, r := range m.sessions.reports(m.cfg.Machine.Sessions()) {
		if known, ok := newest[r.member]; !r.silent && (!ok || r.age < known.age) {
			newest[r.member] = r
		}
	}
	for _, member := range m.cfg.Members() {
		r, ok := newest[member.Id]
		switch {
		case !ok:
			v.incomplete[member.Zone] = fmt.Sprintf("entry VM %s has no live session", member.Name)
		case r.age > maxReportAge:
			v.incomplete[member.Zone] = fmt.Sprintf("the last report of entry VM %s is %s old", member.Name, r.age.Round(time.Second))
		default:
			v.reporting[member.Zone] = true
			v.freshMembers[member.Zone] = append(v.freshMembers[member.Zone], member.Id)
			v.addVMReports(r)
		}
	}
	return v
}

func (v *reportView) addVMReports(r report) {
	for _, vm := range r.vms {
		v.vmReports[vm.Vm] = append(v.vmReports[vm.Vm], memberReport{
			member: r.member, report: vm, age: r.age + time.Duration(vm.AgeMs)*time.Millisecond,
		})
	}
}

// incompleteReason returns why the zone's reports are incomplete, or "".
func (v *reportView) incompleteReason(zone string) string {
	if reason := v.incomplete[zone]; reason != "" {
		return reason
	}
	if !v.reporting[zone] {
		return "it has no entry VM"
	}
	return ""
}

// newestReport returns the newest report about the VM's registered incarnation.
func (v *reportView) newestReport(vm *statepb.VM) (memberReport, bool) {
	var best memberReport
	found := false
	for _, s := range v.vmReports[vm.Name] {
		if s.report.Incarnation == vm.Incarnation && (!found || s.age < best.age) {
			best, found = s, true
		}
	}
	return best, found
}

// announcedRecently reports whether the VM's registered incarnation announced
// itself within target.MaxAnnouncementAge.
func (v *reportView) announcedRecently(vm *statepb.VM) bool {
	s, ok := v.newestReport(vm)
	return ok && s.age <= target.MaxAnnouncementAge
}

// tryPropose commits a command that the state machine may refuse. It returns ""
// when the command took effect, and otherwise why it was refused.
func (m *Manager) tryPropose(ctx context.Context, command *statepb.Command) (refusal string, err error) {
	outcome, err := m.cfg.Log.ProposeLocal(ctx, command)
	if err != nil {
		return "", err
	}
	if outcome.Code != statepb.Code_CODE_OK {
		return fmt.Sprintf("%s: %s", outcome.Code, outcome.Message), nil
	}
	return "", nil
}

// advanceVM commits a phase of a VM. A refusal is recorded as a reason of the
// VM.
func (m *Manager) advanceVM(ctx context.Context, c *statepb.AdvanceVM) (bool, error) {
	refusal, err := m.tryPropose(ctx, &statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: c}})
	if err != nil {
		return false, fmt.Errorf("vm %s to %s: %w", c.Vm, c.Phase, err)
	}
	if refusal != "" {
		m.reasons.Record("vm", c.Vm, "%s is refused: %s", c.Phase, refusal)
		return false, nil
	}
	m.reasons.Record("vm", c.Vm, "%s: %s", c.Phase, c.Reason)
	return true, nil
}

// startDrain commits the start of a drain. A refusal is recorded as a reason of
// the VM.
func (m *Manager) startDrain(ctx context.Context, c *statepb.StartDrain) (bool, error) {
	refusal, err := m.tryPropose(ctx, &statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: c}})
	if err != nil {
		return false, fmt.Errorf("drain vm %s for %s: %w", c.Vm, c.Owner, err)
	}
	if refusal != "" {
		m.reasons.Record("vm", c.Vm, "drain is refused: %s", refusal)
		return false, nil
	}
	m.reasons.Record("vm", c.Vm, "drains for %s: %s", c.Owner, c.Reason)
	event.DrainStarted.Emit(event.F("vm", c.Vm), event.F("owner", c.Owner), event.F("reason", c.Reason))
	return true, nil
}
