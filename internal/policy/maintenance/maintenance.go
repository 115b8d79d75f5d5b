// Package maintenance decides which VMs of the running waves are taken out
// next. It is pure: a snapshot goes in, a plan with its reasons comes out, and
// the state machine checks every step of the plan again.
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
	// Out VMs were taken out on purpose, by a wave, a move or an operator.
	Out
	// Lost VMs are down for another reason.
	Lost
)

const (
	// headroomVMs stay in a pool beyond its budget where it can afford them, so
	// that one unplanned loss in mid-wave does not take it under the budget.
	headroomVMs = 1
	// A wave stops when at least minCorrelated reboots failed and they are more
	// than one in correlatedShare of those that ended.
	minCorrelated   = 2
	correlatedShare = 4
	// lostGrace is how long a wave without a deadline waits for lost VMs when
	// nothing else is left to do.
	lostGrace = 10 * time.Minute
)

// VM is a VM as the leader knows it.
type VM struct {
	Name      string
	Pool      string
	Zone      string
	Rack      string
	Condition Condition
	// Wave is the wave that has the VM out, or "".
	Wave       string
	Maintained time.Time
	// Since is when the VM entered its condition.
	Since time.Time
}

// Wave is a running wave.
type Wave struct {
	ID     string
	VMs    []string
	Done   []string
	Failed []string
	// Canary is the number of VMs that must be done before the wave grows.
	Canary int
	// MaxParallel bounds the VMs out at once; zero leaves it to the budgets.
	MaxParallel int
	Declared    time.Time
	// Deadline is zero when there is none. Nothing is taken out after it.
	Deadline time.Time
}

// Snapshot is everything that a plan is made from.
type Snapshot struct {
	Now time.Time
	VMs []VM
	// Budgets are the least numbers of available VMs, by pool.
	Budgets map[string]int
	// Waves in the order in which they were declared.
	Waves []Wave
	// IncompleteZones holds, by zone, why the leader cannot see the zone whole.
	IncompleteZones map[string]string
	// Held holds, by VM, why it may not be taken out now.
	Held map[string]string
}

// Start takes one VM out.
type Start struct {
	Wave   string
	VM     string
	Reason string
}

// End ends a wave: done, or stopped with its reason.
type End struct {
	Wave   string
	Done   bool
	Reason string
}

// Wait says why a VM of a wave is not taken out now.
type Wait struct {
	Wave   string
	VM     string
	Reason string
}

// SpareRequest asks for spare VMs in a pool that has no room for a wave.
type SpareRequest struct {
	Pool   string
	VMs    int
	Reason string
}

// Plan is what to do next.
type Plan struct {
	Starts        []Start
	Ends          []End
	Waits         []Wait
	SpareRequests []SpareRequest
}

// planner is the working state of one plan.
type planner struct {
	Snapshot
	byName map[string]*VM
	rooms  map[string]int
	// out counts the VMs that were taken out on purpose, by pool.
	out map[string]int
	// zone is the only availability zone where VMs may go out; "" for any.
	zone  string
	racks map[string]bool
	needs map[string]bool
	plan  Plan
}

// MakePlan plans the next steps of all running waves.
func MakePlan(s Snapshot) Plan {
	p := &planner{
		Snapshot: s, byName: make(map[string]*VM, len(s.VMs)), rooms: AllowedDisruptions(s.VMs, s.Budgets),
		out: make(map[string]int), racks: make(map[string]bool), needs: make(map[string]bool),
	}
	for i := range s.VMs {
		vm := &s.VMs[i]
		p.byName[vm.Name] = vm
		if vm.Condition == Out {
			p.out[vm.Pool]++
		}
		if vm.Wave != "" && vm.Condition == Out {
			p.zone = vm.Zone
			p.racks[vm.Rack] = true
		}
	}
	for i := range s.Waves {
		p.planWave(&s.Waves[i])
	}
	return p.plan
}

// AllowedDisruptions returns, by pool, how many more VMs may be taken out. One VM of
// headroom stays beyond the budget where the pool can afford it.
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
	rooms := make(map[string]int, len(available))
	for pool, n := range available {
		slack := n + out[pool] - budgets[pool]
		if slack > headroomVMs {
			slack -= headroomVMs
		}
		rooms[pool] = max(0, slack-out[pool])
	}
	return rooms
}

// progress counts the VMs of a wave.
type progress struct {
	waiting []*VM
	out     int
	done    int
	failed  int
}

func (p *planner) progress(w *Wave) progress {
	ended := make(map[string]bool, len(w.Done)+len(w.Failed))
	for _, name := range w.Done {
		ended[name] = true
	}
	for _, name := range w.Failed {
		ended[name] = true
	}
	at := progress{done: len(w.Done), failed: len(w.Failed)}
	for _, name := range w.VMs {
		vm := p.byName[name]
		switch {
		case vm == nil || ended[name]:
		case vm.Wave == w.ID:
			at.out++
		default:
			at.waiting = append(at.waiting, vm)
		}
	}
	return at
}

func (p *planner) planWave(w *Wave) {
	at := p.progress(w)
	if end := p.end(w, at); end != nil {
		p.plan.Ends = append(p.plan.Ends, *end)
		return
	}
	limit := parallelLimit(w, at)
	ready := p.ready(w, at.waiting)
	for _, vm := range p.order(ready) {
		reason := p.whyNot(w, vm, at.out, limit)
		if reason != "" {
			p.wait(w, vm, reason)
			continue
		}
		at.out++
		p.start(w, vm, at, limit)
	}
}

// end returns how the wave ends now, or nil.
func (p *planner) end(w *Wave, at progress) *End {
	ended := at.done + at.failed
	switch {
	case at.failed > 0 && at.done < w.Canary:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d of the first %d VMs failed", at.failed, w.Canary)}
	case at.failed >= minCorrelated && at.failed*correlatedShare > ended:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d of %d reboots failed together", at.failed, ended)}
	case at.out > 0:
		return nil
	case len(at.waiting) > 0:
		return p.giveUp(w, at)
	case at.failed > 0:
		return &End{Wave: w.ID, Reason: fmt.Sprintf("%d VMs are done, %d failed", at.done, at.failed)}
	}
	return &End{Wave: w.ID, Done: true, Reason: fmt.Sprintf("%d VMs are done", at.done)}
}

// giveUp ends a wave with VMs left: after its deadline, or without one when
// only lost VMs are left and they stay away.
func (p *planner) giveUp(w *Wave, at progress) *End {
	lost := 0
	for _, vm := range at.waiting {
		if vm.Condition == Lost && p.Now.Sub(vm.Since) > lostGrace {
			lost++
		}
	}
	count := fmt.Sprintf("%d VMs are done, %d failed, %d were not reached", at.done, at.failed, len(at.waiting))
	switch {
	case !w.Deadline.IsZero() && p.Now.After(w.Deadline):
		return &End{Wave: w.ID, Reason: "the deadline has passed: " + count}
	case w.Deadline.IsZero() && lost == len(at.waiting):
		return &End{Wave: w.ID, Reason: fmt.Sprintf("only lost VMs are left, such as %s: %s", at.waiting[0].Name, count)}
	}
	return nil
}

// parallelLimit lets a wave grow with what it has done well: the canary
// first, then as many as are done already, halved by each failure.
func parallelLimit(w *Wave, at progress) int {
	canary := max(1, w.Canary)
	limit := canary - at.done
	if at.done >= canary {
		limit = max(1, at.done>>at.failed)
	}
	if w.MaxParallel > 0 {
		limit = min(limit, w.MaxParallel)
	}
	return limit
}

// ready returns the VMs that could go out and explains the others.
func (p *planner) ready(w *Wave, waiting []*VM) []*VM {
	var ready []*VM
	for _, vm := range waiting {
		switch {
		case vm.Condition == Lost:
			p.wait(w, vm, "is lost outside of maintenance; it is taken when it is back")
		case vm.Condition == Out:
			p.wait(w, vm, "is taken out by a move, an operator or another wave")
		case p.IncompleteZones[vm.Zone] != "":
			p.wait(w, vm, fmt.Sprintf("availability zone %s cannot be seen whole: %s", vm.Zone, p.IncompleteZones[vm.Zone]))
		case p.Held[vm.Name] != "":
			p.wait(w, vm, p.Held[vm.Name])
		default:
			ready = append(ready, vm)
		}
	}
	return ready
}

// order puts racks with VMs out first: a rack that is lost in mid-wave then
// costs the least. Zones with more to do come before others.
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
		if p.racks[a.Rack] != p.racks[b.Rack] {
			return p.racks[a.Rack]
		}
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
	return vms
}

// whyNot returns what keeps the VM from going out now, or "".
func (p *planner) whyNot(w *Wave, vm *VM, out, limit int) string {
	if p.zone != "" && p.zone != vm.Zone {
		return fmt.Sprintf("availability zone %s is worked on first", p.zone)
	}
	if !w.Deadline.IsZero() && p.Now.After(w.Deadline) {
		return "the deadline of the wave has passed"
	}
	if out >= limit {
		return fmt.Sprintf("%d VMs of the wave are out, %d may be at this stage", out, limit)
	}
	if p.rooms[vm.Pool] > 0 {
		return ""
	}
	reason := fmt.Sprintf("pool %s has no room above its availability budget of %d", vm.Pool, p.Budgets[vm.Pool])
	p.need(w, vm.Pool)
	return reason
}

// need asks once for one spare VM; the wave goes on as soon as it has arrived.
func (p *planner) need(w *Wave, pool string) {
	if p.needs[pool] || p.out[pool] > 0 {
		return
	}
	p.needs[pool] = true
	p.plan.SpareRequests = append(p.plan.SpareRequests, SpareRequest{Pool: pool, VMs: 1, Reason: "wave " + w.ID + " has no room to drain"})
}

func (p *planner) wait(w *Wave, vm *VM, reason string) {
	p.plan.Waits = append(p.plan.Waits, Wait{Wave: w.ID, VM: vm.Name, Reason: reason})
}

func (p *planner) start(w *Wave, vm *VM, at progress, limit int) {
	p.rooms[vm.Pool]--
	p.out[vm.Pool]++
	p.zone = vm.Zone
	p.racks[vm.Rack] = true
	stage := fmt.Sprintf("VM %d of at most %d out at this stage", at.out, limit)
	if at.done < w.Canary {
		stage = fmt.Sprintf("canary, %d of %d done", at.done, w.Canary)
	}
	p.plan.Starts = append(p.plan.Starts, Start{Wave: w.ID, VM: vm.Name, Reason: stage})
}
