// Package maintenance decides which VMs of the running waves are taken out of
// service next. Planning is a pure function from a snapshot to a plan with reasons.
// The state machine checks every step of the plan again.
package maintenance

import (
	"fmt"
	"sort"
	"time"
)

// Condition is whether a VM can take work.
type Condition int

// Conditions of a VM.
const (
	Available Condition = iota
	// Out VMs were taken out of service on purpose by a wave, a move or an operator.
	Out
	// Lost VMs are down for another reason.
	Lost
)

const (
	// headroomVMs is the number of VMs kept available in a pool beyond its budget,
	// if it has more than that, so that one unplanned loss during a wave does not
	// take the pool below its budget.
	headroomVMs = 1
	// A wave stops when at least minCorrelatedFailures reboots failed and these are
	// more than one in correlatedFailureDivisor of the reboots that ended.
	minCorrelatedFailures    = 2
	correlatedFailureDivisor = 4
	// lostGracePeriod is how long a wave without a deadline waits for lost VMs when
	// only these are left.
	lostGracePeriod = 10 * time.Minute
)

// VM is the leader's view of a VM.
type VM struct {
	Name      string
	Pool      string
	Zone      string
	Rack      string
	Condition Condition
	// Wave is the ID of the wave that took the VM out, or "".
	Wave       string
	Maintained time.Time
	// Since is when the VM entered its current condition.
	Since time.Time
}

// Wave is a running maintenance wave.
type Wave struct {
	ID     string
	VMs    []string
	Done   []string
	Failed []string
	// Canary is the number of VMs that must be done before more are out at once.
	Canary int
	// MaxParallel limits the VMs out at once; zero means only the budgets do.
	MaxParallel int
	Declared    time.Time
	// Deadline is when the wave stops taking VMs out; zero means no deadline.
	Deadline time.Time
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now time.Time
	VMs []VM
	// Budgets holds the minimum number of available VMs, by pool.
	Budgets map[string]int
	// Waves are in the order in which they were declared.
	Waves []Wave
	// IncompleteZones holds, by zone, why the leader's view of it is incomplete.
	IncompleteZones map[string]string
	// Held holds, by VM, why it may not be taken out now.
	Held map[string]string
}

// Start takes one VM out of service.
type Start struct {
	Wave   string
	VM     string
	Reason string
}

// End ends a wave, either done or stopped for the reason.
type End struct {
	Wave   string
	Done   bool
	Reason string
}

// Wait gives the reason why a VM of a wave is not taken out now.
type Wait struct {
	Wave   string
	VM     string
	Reason string
}

// SpareRequest asks for spare VMs for a pool whose availability budget blocks a wave.
type SpareRequest struct {
	Pool   string
	VMs    int
	Reason string
}

// Plan holds the next steps.
type Plan struct {
	Starts        []Start
	Ends          []End
	Waits         []Wait
	SpareRequests []SpareRequest
}

// planner holds the working state of one plan.
type planner struct {
	Snapshot
	byName map[string]*VM
	// allowed counts how many more VMs may be taken out, by pool.
	allowed map[string]int
	// outByPool counts the VMs taken out on purpose, by pool.
	outByPool map[string]int
	// activeZone is the only availability zone where VMs may be taken out; "" for any.
	activeZone string
	// activeRacks are the racks with VMs that a wave has out.
	activeRacks map[string]bool
	// requested are the pools for which a spare VM was requested.
	requested map[string]bool
	plan      Plan
}

// MakePlan plans the next steps of all running waves.
func MakePlan(s Snapshot) Plan {
	p := &planner{
		Snapshot: s, byName: make(map[string]*VM, len(s.VMs)), allowed: AllowedDisruptions(s.VMs, s.Budgets),
		outByPool: make(map[string]int), activeRacks: make(map[string]bool), requested: make(map[string]bool),
	}
	for i := range s.VMs {
		vm := &s.VMs[i]
		p.byName[vm.Name] = vm
		if vm.Condition == Out {
			p.outByPool[vm.Pool]++
		}
		if vm.Wave != "" && vm.Condition == Out {
			p.activeZone = vm.Zone
			p.activeRacks[vm.Rack] = true
		}
	}
	for i := range s.Waves {
		p.planWave(&s.Waves[i])
	}
	return p.plan
}

// AllowedDisruptions returns, by pool, how many more VMs may be taken out. It keeps
// headroomVMs beyond the budget if the pool has more than that.
func AllowedDisruptions(vms []VM, budgets map[string]int) map[string]int {
	available, out := make(map[string]int), make(map[string]int)
	for i := range vms {
		switch vms[i].Condition {
		case Available:
			available[vms[i].Pool]++
		case Out:
			out[vms[i].Pool]++
		}
	}
	allowed := make(map[string]int, len(available))
	for pool, n := range available {
		slack := n + out[pool] - budgets[pool]
		if slack > headroomVMs {
			slack -= headroomVMs
		}
		allowed[pool] = max(0, slack-out[pool])
	}
	return allowed
}

// progress counts the VMs of a wave by state.
type progress struct {
	waiting []*VM
	out     int
	done    int
	failed  int
}

func (p *planner) waveProgress(w *Wave) progress {
	ended := make(map[string]bool, len(w.Done)+len(w.Failed))
	for _, name := range w.Done {
		ended[name] = true
	}
	for _, name := range w.Failed {
		ended[name] = true
	}
	prog := progress{done: len(w.Done), failed: len(w.Failed)}
	for _, name := range w.VMs {
		vm := p.byName[name]
		switch {
		case vm == nil || ended[name]:
		case vm.Wave == w.ID:
			prog.out++
		default:
			prog.waiting = append(prog.waiting, vm)
		}
	}
	return prog
}

func (p *planner) planWave(w *Wave) {
	prog := p.waveProgress(w)
	if end := p.waveEnd(w, prog); end != nil {
		p.plan.Ends = append(p.plan.Ends, *end)
		return
	}
	limit := parallelLimit(w, prog)
	ready := p.ready(w, prog.waiting)
	for _, vm := range p.order(ready) {
		reason := p.waitReason(w, vm, prog.out, limit)
		if reason != "" {
			p.wait(w, vm, reason)
			continue
		}
		prog.out++
		p.start(w, vm, prog, limit)
	}
}

// waveEnd returns how the wave ends now, or nil if it goes on.
func (p *planner) waveEnd(w *Wave, prog progress) *End {
	ended := prog.done + prog.failed
	switch {
	case prog.failed > 0 && prog.done < w.Canary:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d of the first %d VMs failed", prog.failed, w.Canary)}
	case prog.failed >= minCorrelatedFailures && prog.failed*correlatedFailureDivisor > ended:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d of %d reboots failed together", prog.failed, ended)}
	case prog.out > 0:
		return nil
	case len(prog.waiting) > 0:
		return p.unfinishedEnd(w, prog)
	case prog.failed > 0:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d VMs are done, %d failed", prog.done, prog.failed)}
	}
	return &End{Wave: w.ID, Done: true, Reason: fmt.Sprintf("%d VMs are done", prog.done)}
}

// unfinishedEnd ends a wave that has VMs left: after its deadline or, if it has none,
// when only VMs are left that were lost longer than lostGracePeriod ago.
func (p *planner) unfinishedEnd(w *Wave, prog progress) *End {
	lost := 0
	for _, vm := range prog.waiting {
		if vm.Condition == Lost && p.Now.Sub(vm.Since) > lostGracePeriod {
			lost++
		}
	}
	count := fmt.Sprintf("%d VMs are done, %d failed, %d were not reached", prog.done, prog.failed, len(prog.waiting))
	switch {
	case !w.Deadline.IsZero() && p.Now.After(w.Deadline):
		return &End{Wave: w.ID, Reason: "the deadline has passed: " + count}
	case w.Deadline.IsZero() && lost == len(prog.waiting):
		return &End{Wave: w.ID, Reason: fmt.Sprintf("only lost VMs are left, such as %s: %s", prog.waiting[0].Name, count)}
	}
	return nil
}

// parallelLimit returns how many VMs of the wave may be out at once: the rest of the
// canary VMs first, then as many as are done, halved by each failure.
func parallelLimit(w *Wave, prog progress) int {
	canary := max(1, w.Canary)
	limit := canary - prog.done
	if prog.done >= canary {
		limit = max(1, prog.done>>prog.failed)
	}
	if w.MaxParallel > 0 {
		limit = min(limit, w.MaxParallel)
	}
	return limit
}

// ready returns the VMs that could be taken out and records why the others wait.
func (p *planner) ready(w *Wave, waiting []*VM) []*VM {
	var ready []*VM
	for _, vm := range waiting {
		switch {
		case vm.Condition == Lost:
			p.wait(w, vm, "is lost outside of maintenance; it can be taken out when it is back")
		case vm.Condition == Out:
			p.wait(w, vm, "is already taken out by a move, an operator or another wave")
		case p.IncompleteZones[vm.Zone] != "":
			p.wait(w, vm, fmt.Sprintf("the leader's view of availability zone %s is incomplete: %s", vm.Zone, p.IncompleteZones[vm.Zone]))
		case p.Held[vm.Name] != "":
			p.wait(w, vm, p.Held[vm.Name])
		default:
			ready = append(ready, vm)
		}
	}
	return ready
}

// order sorts VMs by zone, the zone with the most VMs first. Within a zone, racks
// that have VMs out come first, because losing such a rack during the wave then
// takes the fewest further VMs.
func (p *planner) order(vms []*VM) []*VM {
	perZone := make(map[string]int)
	for _, vm := range vms {
		perZone[vm.Zone]++
	}
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		if a.Zone != b.Zone {
			if perZone[a.Zone] != perZone[b.Zone] {
				return perZone[a.Zone] > perZone[b.Zone]
			}
			return a.Zone < b.Zone
		}
		if p.activeRacks[a.Rack] != p.activeRacks[b.Rack] {
			return p.activeRacks[a.Rack]
		}
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
	return vms
}

// waitReason returns why the VM must not be taken out now, or "".
func (p *planner) waitReason(w *Wave, vm *VM, out, limit int) string {
	if p.activeZone != "" && p.activeZone != vm.Zone {
		return fmt.Sprintf("VMs of availability zone %s are maintained first", p.activeZone)
	}
	if !w.Deadline.IsZero() && p.Now.After(w.Deadline) {
		return "the deadline of the wave has passed"
	}
	if out >= limit {
		return fmt.Sprintf("%d VMs of the wave are out, at most %d are allowed at this stage", out, limit)
	}
	if p.allowed[vm.Pool] > 0 {
		return ""
	}
	reason := fmt.Sprintf("pool %s has no room above its availability budget of %d", vm.Pool, p.Budgets[vm.Pool])
	p.requestSpare(w, vm.Pool)
	return reason
}

// requestSpare asks for one spare VM, once per pool and only if none of the pool's
// VMs are out. The wave continues as soon as the VM has arrived.
func (p *planner) requestSpare(w *Wave, pool string) {
	if p.requested[pool] || p.outByPool[pool] > 0 {
		return
	}
	p.requested[pool] = true
	p.plan.SpareRequests = append(p.plan.SpareRequests, SpareRequest{Pool: pool, VMs: 1, Reason: "wave " + w.ID + " cannot drain a VM within the availability budget"})
}

func (p *planner) wait(w *Wave, vm *VM, reason string) {
	p.plan.Waits = append(p.plan.Waits, Wait{Wave: w.ID, VM: vm.Name, Reason: reason})
}

func (p *planner) start(w *Wave, vm *VM, prog progress, limit int) {
	p.allowed[vm.Pool]--
	p.outByPool[vm.Pool]++
	p.activeZone = vm.Zone
	p.activeRacks[vm.Rack] = true
	stage := fmt.Sprintf("VM %d of at most %d out at this stage", prog.out, limit)
	if prog.done < w.Canary {
		stage = fmt.Sprintf("canary, %d of %d done", prog.done, w.Canary)
	}
	p.plan.Starts = append(p.plan.Starts, Start{Wave: w.ID, VM: vm.Name, Reason: stage})
}
