// Package capacity decides which spare VMs are lent to which pool and returned.
// Planning depends only on a snapshot and the history of demand and gives a plan with
// reasons. The state machine checks every move again.
package capacity

import (
	"fmt"
	"math"
	"sort"
	"time"
)

const (
	// borrowUtilization is the fraction of a pool's units in use above which it
	// borrows a VM.
	borrowUtilization = 0.85
	// sustainedUtilization is the fraction that the slow average must exceed as well.
	sustainedUtilization = 0.75
	// returnUtilization is the fraction, counted without that VM, below which a pool
	// returns a VM. The gap to sustainedUtilization is wider than the variation that
	// bursts cause in the slow average, so that no VM is moved back and forth.
	returnUtilization = 0.65
	// lenderUtilization is the highest fraction of a lender's units that may be in
	// use after it has lent a VM.
	lenderUtilization = 0.70
	// minDwell is how long a VM stays in its pool at least before it is recalled or
	// returned.
	minDwell = 5 * time.Minute
	// At most one move per vmsPerMove VMs may be in progress at once, but the limit
	// is never below minMoveLimit.
	minMoveLimit = 2
	vmsPerMove   = 50
)

// Pool is a pool of VMs.
type Pool struct {
	Name   string
	Spare  bool
	Budget int
	Epoch  uint64
	// UnitsPerVM is the number of units that one VM runs at once.
	UnitsPerVM int
	// Extra is the number of VMs that maintenance asks for beyond the budget.
	Extra       int
	ExtraReason string
}

// VM is a VM that may be moved.
type VM struct {
	Name string
	Pool string
	Zone string
	Rack string
	// Available reports whether the VM takes work now.
	Available bool
	// MovingTo is the pool that the VM is being moved to, or "".
	MovingTo string
	// LentFrom is the spare pool that lent the VM, or "".
	LentFrom string
	// Since is when the VM entered its current phase.
	Since time.Time
}

// Snapshot is the input of a plan, besides the history of demand.
type Snapshot struct {
	Now   time.Time
	Pools []Pool
	VMs   []VM
}

// Move moves one VM to another pool.
type Move struct {
	VM      string
	From    string
	To      string
	ToEpoch uint64
	Reason  string
}

// Wait gives the reason why a pool that lacks VMs gets none now.
type Wait struct {
	Pool   string
	Reason string
}

// Plan holds the next moves.
type Plan struct {
	Moves []Move
	Waits []Wait
}

// poolState is a pool with its VM counts and demand.
type poolState struct {
	Pool
	available int
	incoming  int
	demand    demand
	zones     map[string]int
}

// shortage returns how many VMs the pool lacks, with the reason.
func (p *poolState) shortage() (int, string) {
	have := p.available + p.incoming
	if p.Budget > have {
		return p.Budget - have, fmt.Sprintf("%d VMs are available, the budget keeps %d", p.available, p.Budget)
	}
	want := min(vmsFor(p.demand.fast, p.UnitsPerVM, borrowUtilization), vmsFor(p.demand.slow, p.UnitsPerVM, sustainedUtilization))
	if p.demand.settled && want > have {
		return want - have, fmt.Sprintf("the demand was %.0f units over the last %s, %d VMs have %d",
			p.demand.fast, fastWindow, have, have*p.UnitsPerVM)
	}
	if p.Extra > 0 && p.incoming == 0 && p.available <= p.Budget {
		return p.Extra, p.ExtraReason
	}
	return 0, ""
}

// canReturn reports whether the pool can return one VM.
func (p *poolState) canReturn() bool {
	left := p.available - 1
	busiest := math.Max(p.demand.fast, p.demand.slow)
	return p.demand.settled && left >= p.Budget+p.Extra && left >= vmsFor(busiest, p.UnitsPerVM, returnUtilization)
}

// canLend reports whether a spare pool has enough capacity left after lending one VM.
func (p *poolState) canLend() bool {
	left := p.available - 1
	return left >= p.Budget && left >= vmsFor(p.demand.fast, p.UnitsPerVM, lenderUtilization)
}

// vmsFor returns the number of VMs that run the units at the given utilization.
func vmsFor(units float64, perVM int, utilization float64) int {
	return int(math.Ceil(units / (float64(max(1, perVM)) * utilization)))
}

// planner holds the working state of one plan.
type planner struct {
	Snapshot
	pools     map[string]*poolState
	poolNames []string
	movesLeft int
	moved     map[string]bool
	plan      Plan
}

// MakePlan plans the next moves: first VMs that their lender needs back, then VMs lent
// to pools that lack some, then the return of VMs no longer needed. The first two
// serve the pools furthest below their budgets first.
func MakePlan(s Snapshot, h *History) Plan {
	p := newPlanner(s, h)
	p.recallLent()
	p.lend()
	p.giveBack()
	return p.plan
}

func newPlanner(s Snapshot, h *History) *planner {
	p := &planner{
		Snapshot: s, pools: make(map[string]*poolState, len(s.Pools)), moved: make(map[string]bool),
		movesLeft: max(minMoveLimit, len(s.VMs)/vmsPerMove),
	}
	for _, pool := range s.Pools {
		p.pools[pool.Name] = &poolState{Pool: pool, demand: h.demand(pool.Name, s.Now), zones: make(map[string]int)}
		p.poolNames = append(p.poolNames, pool.Name)
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
			p.movesLeft--
		}
	}
	sort.SliceStable(p.poolNames, func(i, j int) bool { return p.underBudget(p.poolNames[i]) > p.underBudget(p.poolNames[j]) })
	return p
}

func (p *planner) underBudget(pool string) int {
	state := p.pools[pool]
	return max(0, state.Budget-state.available-state.incoming)
}

// recallLent moves lent VMs back to a lender that lacks VMs itself.
func (p *planner) recallLent() {
	for _, name := range p.poolNames {
		lender := p.pools[name]
		if !lender.Spare {
			continue
		}
		missing, reason := lender.shortage()
		for _, vm := range p.lentBy(name) {
			if missing <= 0 {
				break
			}
			if borrower := p.pools[vm.Pool]; borrower.available > borrower.Budget && p.dwellElapsed(vm) {
				p.move(vm, name, "its lender lacks VMs: "+reason)
				missing--
			}
		}
	}
}

// lend moves spare VMs to pools that lack VMs.
func (p *planner) lend() {
	for _, name := range p.poolNames {
		pool := p.pools[name]
		if pool.Spare {
			continue
		}
		missing, reason := pool.shortage()
		for ; missing > 0; missing-- {
			vm := p.spareFor(pool)
			if vm == nil {
				p.plan.Waits = append(p.plan.Waits, Wait{Pool: name, Reason: reason + "; no spare pool can lend a VM"})
				break
			}
			if !p.move(vm, name, reason) {
				p.plan.Waits = append(p.plan.Waits, Wait{Pool: name, Reason: reason + "; the limit of concurrent moves is reached"})
				break
			}
		}
	}
}

// spareFor returns the spare VM whose zone has the fewest VMs of the pool, or nil.
func (p *planner) spareFor(pool *poolState) *VM {
	var best *VM
	for i := range p.VMs {
		vm := &p.VMs[i]
		lender := p.pools[vm.Pool]
		if !vm.Available || p.moved[vm.Name] || lender == nil || !lender.Spare || !lender.canLend() {
			continue
		}
		if best == nil || pool.zones[vm.Zone] < pool.zones[best.Zone] {
			best = vm
		}
	}
	return best
}

// giveBack returns the lent VMs that their borrowers no longer need.
func (p *planner) giveBack() {
	for i := range p.VMs {
		vm := &p.VMs[i]
		borrower := p.pools[vm.Pool]
		if vm.LentFrom == "" || !vm.Available || p.moved[vm.Name] || p.pools[vm.LentFrom] == nil || borrower == nil {
			continue
		}
		if borrower.incoming == 0 && borrower.canReturn() && p.dwellElapsed(vm) {
			p.move(vm, vm.LentFrom, "the pool no longer needs it")
		}
	}
}

// lentBy returns the lent VMs of a lender that can be moved.
func (p *planner) lentBy(lender string) []*VM {
	var lent []*VM
	for i := range p.VMs {
		vm := &p.VMs[i]
		if vm.LentFrom == lender && vm.Available && !p.moved[vm.Name] && p.pools[vm.Pool] != nil {
			lent = append(lent, vm)
		}
	}
	return lent
}

// dwellElapsed reports whether the VM may be moved again.
func (p *planner) dwellElapsed(vm *VM) bool { return p.Now.Sub(vm.Since) >= minDwell }

// move plans one move and reports false when the limit of moves is reached.
func (p *planner) move(vm *VM, to, reason string) bool {
	if p.movesLeft <= 0 {
		return false
	}
	p.movesLeft--
	p.moved[vm.Name] = true
	p.pools[vm.Pool].available--
	p.pools[to].incoming++
	p.pools[to].zones[vm.Zone]++
	p.plan.Moves = append(p.plan.Moves, Move{
		VM: vm.Name, From: vm.Pool, To: to, ToEpoch: p.pools[to].Epoch, Reason: reason,
	})
	return true
}
