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

// fleet is what the leader remembers about VMs beside the committed state. A
// new leader starts with nothing: each rule here waits, it never acts, on what
// is not known.
type fleet struct {
	// seen is when each VM was last known to announce itself, or when this
	// leader began to listen for it.
	seen map[string]time.Time
	// left is since when an active VM announces that it leaves by itself.
	left  map[string]time.Time
	gates map[string]gate
	// holds keep VMs from being drained again right after an aborted drain.
	holds   map[string]hold
	aborts  map[string]int
	history *capacity.History
	// needs are the pools where the last plan of the waves found no room.
	needs     []maintenance.SpareRequest
	nextMoves time.Time
	calls     *platformCalls
}

// runFleet runs the loops about VMs. They share one round of the manager, not
// every step: their timeouts are seconds.
func (m *Manager) runFleet(ctx context.Context) error {
	v := m.observe()
	return errors.Join(m.watchVMs(ctx, v), m.drainVMs(ctx, v), m.runWaves(ctx, v), m.moveVMs(ctx))
}

// hold keeps a VM in service until a time.
type hold struct {
	until  time.Time
	reason string
}

func newFleet() *fleet {
	return &fleet{
		seen: make(map[string]time.Time), left: make(map[string]time.Time), gates: make(map[string]gate),
		holds: make(map[string]hold), aborts: make(map[string]int), history: capacity.NewHistory(),
		calls: newPlatformCalls(),
	}
}

// sighting is the last report of one entry VM about one VM.
type sighting struct {
	member string
	report *wirepb.VMReport
	// age is the time since the announcement that the report relies on.
	age time.Duration
}

// view is what the entry VMs report now.
type view struct {
	// blind holds, by zone, why it cannot be seen whole.
	blind map[string]string
	// heard zones have at least one entry VM with a fresh report.
	heard map[string]bool
	// members with a fresh report, by zone.
	members   map[string][]string
	sightings map[string][]sighting
}

// observe collects the newest report of every entry VM.
func (m *Manager) observe() *view {
	v := &view{
		blind: make(map[string]string), heard: make(map[string]bool),
		members: make(map[string][]string), sightings: make(map[string][]sighting),
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
			v.blind[member.Zone] = fmt.Sprintf("entry VM %s has no live session", member.Name)
		case r.age > maxReportAge:
			v.blind[member.Zone] = fmt.Sprintf("the last report of entry VM %s is %s old", member.Name, r.age.Round(time.Second))
		default:
			v.heard[member.Zone] = true
			v.members[member.Zone] = append(v.members[member.Zone], member.Id)
			v.addSightings(r)
		}
	}
	return v
}

func (v *view) addSightings(r report) {
	for _, vm := range r.vms {
		v.sightings[vm.Vm] = append(v.sightings[vm.Vm], sighting{
			member: r.member, report: vm, age: r.age + time.Duration(vm.AgeMs)*time.Millisecond,
		})
	}
}

// blindReason returns why the zone cannot be seen whole, or "".
func (v *view) blindReason(zone string) string {
	if reason := v.blind[zone]; reason != "" {
		return reason
	}
	if !v.heard[zone] {
		return "it has no entry VM"
	}
	return ""
}

// newest returns the newest sighting of a VM's announced incarnation.
func (v *view) newest(vm *statepb.VM) (sighting, bool) {
	var best sighting
	found := false
	for _, s := range v.sightings[vm.Name] {
		if s.report.Incarnation == vm.Incarnation && (!found || s.age < best.age) {
			best, found = s, true
		}
	}
	return best, found
}

// announces reports whether the VM's incarnation announced itself lately.
func (v *view) announces(vm *statepb.VM) bool {
	s, ok := v.newest(vm)
	return ok && s.age <= target.MaxAnnouncementAge
}

// try commits a command that the state machine may refuse. It returns "" when
// the command took effect and the refusal otherwise.
func (m *Manager) try(ctx context.Context, command *statepb.Command) (refusal string, err error) {
	outcome, err := m.cfg.Log.ProposeLocal(ctx, command)
	if err != nil {
		return "", err
	}
	if outcome.Code != statepb.Code_CODE_OK {
		return fmt.Sprintf("%s: %s", outcome.Code, outcome.Message), nil
	}
	return "", nil
}

// advanceVM commits a phase of a VM. A refusal is noted as the VM's reason.
func (m *Manager) advanceVM(ctx context.Context, c *statepb.AdvanceVM) (bool, error) {
	refusal, err := m.try(ctx, &statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: c}})
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

// startDrain commits a drain. A refusal is noted as the VM's reason.
func (m *Manager) startDrain(ctx context.Context, c *statepb.StartDrain) (bool, error) {
	refusal, err := m.try(ctx, &statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: c}})
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
