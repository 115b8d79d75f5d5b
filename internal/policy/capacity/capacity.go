// Package capacity decides which spare VMs go to which pool and back. It is
// pure: a snapshot and the history of demand go in, a plan with its reasons
// comes out, and the state machine checks every move again.
package capacity

import (
	"fmt"
	"math"
	"sort"
	"time"
)

const (
	// lendAt is the share of a pool's units in use above which it borrows a VM.
	lendAt = 0.85
	// lastingAt is the share that the slow average must be above as well.
	lastingAt = 0.75
	// returnAt is the share below which it gives a VM back, counted without
	// that VM. The gap to lastingAt is wider than the ripple that bursts leave
	// on the slow average, so that no VM goes back and forth.
	returnAt = 0.65
	// lenderAt is the share that a lender may be at after it has lent a VM.
	lenderAt = 0.70
	// dwell is the shortest stay of a moved VM, unless a budget is at stake.
	dwell = 5 * time.Minute
	// minMoves and vmsPerMove bound the moves under way at once.
	minMoves   = 2
	vmsPerMove = 50
)

// Pool is a pool of VMs.
type Pool struct {
	Name   string
	Spare  bool
	Budget int
	Epoch  uint64
	// UnitsPerVM is how many units one VM runs at once.
	UnitsPerVM int
	// Extra is how many VMs maintenance asks for beyond the budget.
	Extra       int
	ExtraReason string
}

// VM is a VM that may be moved.
type VM struct {
	Name string
	Pool string
	Zone string
	Rack string
	// Available VMs take work now.
	Available bool
	// MovingTo is the pool that the VM is being moved to, or "".
	MovingTo string
	// LentFrom is the spare pool that lent the VM, or "".
	LentFrom string
	// Since is when the VM entered its phase.
	Since time.Time
}

// Snapshot is everything that a plan is made from.
type Snapshot struct {
	Now   time.Time
	Pools []Pool
	VMs   []VM
}

// Move takes one VM to another pool.
type Move struct {
	VM      string
	From    string
	To      string
	ToEpoch uint64
	Reason  string
}

// Wait says why a pool that is short gets no VM now.
type Wait struct {
	Pool   string
	Reason string
}

// Plan is what to do next.
type Plan struct {
	Moves []Move
	Waits []Wait
}

// poolState is a pool with its counts.
type poolState struct {
	Pool
	available int
	incoming  int
	demand    demand
	zones     map[string]int
}

// short is how many VMs the pool lacks, with the reason.
func (p *poolState) short() (int, string) {
	have := p.available + p.incoming
	if p.Budget > have {
		return p.Budget - have, fmt.Sprintf("%d VMs are available, the budget keeps %d", p.available, p.Budget)
	}
	want := min(vmsFor(p.demand.fast, p.UnitsPerVM, lendAt), vmsFor(p.demand.slow, p.UnitsPerVM, lastingAt))
	if p.demand.settled && want > have {
		return want - have, fmt.Sprintf("%.0f units asked for over the last %s, %d VMs have %d",
			p.demand.fast, fastWindow, have, have*p.UnitsPerVM)
	}
	if p.Extra > 0 && p.incoming == 0 && p.available <= p.Budget {
		return p.Extra, p.ExtraReason
	}
	return 0, ""
}

// canReturn reports whether the pool does without one more VM.
func (p *poolState) canReturn() bool {
	left := p.available - 1
	busiest := math.Max(p.demand.fast, p.demand.slow)
	return p.demand.settled && left >= p.Budget+p.Extra && left >= vmsFor(busiest, p.UnitsPerVM, returnAt)
}

// canLend reports whether a spare pool stays well off without one more VM.
func (p *poolState) canLend() bool {
	left := p.available - 1
	return left >= p.Budget && left >= vmsFor(p.demand.fast, p.UnitsPerVM, lenderAt)
}

// vmsFor is the number of VMs that run units at the given share in use.
func vmsFor(units float64, perVM int, share float64) int {
	return int(math.Ceil(units / (float64(max(1, perVM)) * share)))
}

type planner struct {
	Snapshot
	pools map[string]*poolState
	names []string
	left  int
	taken map[string]bool
	plan  Plan
}

// MakePlan plans the next moves: VMs that a pool under its budget needs first,
// then VMs that their lender wants back, then demand, then VMs no longer needed.
func MakePlan(s Snapshot, h *History) Plan {
	p := newPlanner(s, h)
	p.recall()
	p.lend()
	p.giveBack()
	return p.plan
}

func newPlanner(s Snapshot, h *History) *planner {
	p := &planner{
		Snapshot: s, pools: make(map[string]*poolState, len(s.Pools)), taken: make(map[string]bool),
		left: max(minMoves, len(s.VMs)/vmsPerMove),
	}
	for _, pool := range s.Pools {
		p.pools[pool.Name] = &poolState{Pool: pool, demand: h.demand(pool.Name, s.Now), zones: make(map[string]int)}
		p.names = append(p.names, pool.Name)
	}
	for i := range s.VMs {
		vm := &s.VMs[i]
		if pool := p.pools[vm.Pool]; pool != nil && vm.Available {
			pool.available++
			pool.zones[vm.Zone]++
		}
		if pool := p.pools[vm.MovingTo]; pool != nil {
			pool.incoming++
			pool.zones[vm.Zone]++
			p.left--
		}
	}
	sort.SliceStable(p.names, func(i, j int) bool { return p.underBudget(p.names[i]) > p.underBudget(p.names[j]) })
	return p
}

func (p *planner) underBudget(pool string) int {
	state := p.pools[pool]
	return max(0, state.Budget-state.available-state.incoming)
}

// recall brings lent VMs back to a lender that is short itself.
func (p *planner) recall() {
	for _, name := range p.names {
		lender := p.pools[name]
		if !lender.Spare {
			continue
		}
		missing, reason := lender.short()
		for _, vm := range p.lentBy(name) {
			if missing <= 0 {
				break
			}
			if borrower := p.pools[vm.Pool]; borrower.available > borrower.Budget && p.rested(vm) {
				p.move(vm, name, "its lender is short: "+reason)
				missing--
			}
		}
	}
}

// lend gives spare VMs to pools that are short.
func (p *planner) lend() {
	for _, name := range p.names {
		pool := p.pools[name]
		if pool.Spare {
			continue
		}
		missing, reason := pool.short()
		for ; missing > 0; missing-- {
			vm := p.spareFor(pool)
			if vm == nil {
				p.plan.Waits = append(p.plan.Waits, Wait{Pool: name, Reason: reason + "; no spare pool can lend a VM"})
				break
			}
			if !p.move(vm, name, reason) {
				p.plan.Waits = append(p.plan.Waits, Wait{Pool: name, Reason: reason + "; enough moves are under way"})
				break
			}
		}
	}
}

// spareFor returns the spare VM that spreads the pool best over zones.
func (p *planner) spareFor(pool *poolState) *VM {
	var best *VM
	for i := range p.VMs {
		vm := &p.VMs[i]
		lender := p.pools[vm.Pool]
		if !vm.Available || p.taken[vm.Name] || lender == nil || !lender.Spare || !lender.canLend() {
			continue
		}
		if best == nil || pool.zones[vm.Zone] < pool.zones[best.Zone] {
			best = vm
		}
	}
	return best
}

// giveBack returns lent VMs that their borrower no longer needs.
func (p *planner) giveBack() {
	for i := range p.VMs {
		vm := &p.VMs[i]
		borrower := p.pools[vm.Pool]
		if vm.LentFrom == "" || !vm.Available || p.taken[vm.Name] || p.pools[vm.LentFrom] == nil || borrower == nil {
			continue
		}
		if borrower.incoming == 0 && borrower.canReturn() && p.rested(vm) {
			p.move(vm, vm.LentFrom, "the pool does without it")
		}
	}
}

func (p *planner) lentBy(lender string) []*VM {
	var lent []*VM
	for i := range p.VMs {
		vm := &p.VMs[i]
		if vm.LentFrom == lender && vm.Available && !p.taken[vm.Name] && p.pools[vm.Pool] != nil {
			lent = append(lent, vm)
		}
	}
	return lent
}

func (p *planner) rested(vm *VM) bool { return p.Now.Sub(vm.Since) >= dwell }

// move plans one move unless enough are under way.
func (p *planner) move(vm *VM, to, reason string) bool {
	if p.left <= 0 {
		return false
	}
	p.left--
	p.taken[vm.Name] = true
	p.pools[vm.Pool].available--
	p.pools[to].incoming++
	p.pools[to].zones[vm.Zone]++
	p.plan.Moves = append(p.plan.Moves, Move{
		VM: vm.Name, From: vm.Pool, To: to, ToEpoch: p.pools[to].Epoch, Reason: reason,
	})
	return true
}
