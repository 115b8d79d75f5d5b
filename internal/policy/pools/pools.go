// Package pools decides which VMs move between pools and which rest. It is
// pure. The load it answers: queues take turns; in its turn each asks for more
// than its pool holds for some seconds, and for almost nothing in between. VMs
// that are idle between turns rest, where they cost nothing, or go to the pool
// whose turn it is; those of a turn that comes back at an even pace are called
// ahead of it.
package pools

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Prices weigh what a decision costs, in seconds of a VM in a pool.
type Prices struct {
	// MoveVMSeconds is the price of one move.
	MoveVMSeconds float64
	// MoveMS is how long a VM is away for a move.
	MoveMS int64
}

// VM is one VM of a pool.
type VM struct {
	Name      string
	Rack      string
	CPUMillis int64
	// Tasks run or may run there; Lasting ones keep the VM where it is.
	Tasks, Lasting int
	// IdleMS is how long nothing has run there, BusyMS how long the short tasks
	// there are expected to run on.
	IdleMS, BusyMS int64
	// Fixed VMs may not move now.
	Fixed bool
	// Out VMs take no tasks: they are in maintenance, about to be, or leaving.
	Out bool
}

// Pool is one pool with what is asked of it.
type Pool struct {
	Name string
	// Resting pools hold VMs that are off and cost nothing.
	Resting bool
	// NeedMillis is the processor room with which the work at hand ends in time.
	NeedMillis int64
	// Stuck tells that a waiting task has fitted on no VM for a while.
	Stuck bool
	// MinVMs is how many VMs the pool needs however little room is asked for.
	MinVMs int
	// NextTurnMS is when a turn is expected, and TurnMillis what it will ask
	// for; TurnMillis is 0 while no turn is expected.
	NextTurnMS int64
	TurnMillis int64
	// Incoming VMs are on their way, with IncomingMillis of room.
	Incoming       int
	IncomingMillis int64
	VMs            []VM
}

// Move sends a VM to another pool.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
}

// Snapshot is what one round looks at.
type Snapshot struct {
	NowMS int64
	Pools []Pool
	// Fits reports whether the VMs of one pool may serve in another.
	Fits func(vm, pool string) bool
	// Budget bounds the moves of the round.
	Budget int
	// MayRest tells that enough was seen to let idle VMs rest.
	MayRest bool
	Prices  Prices
}

const (
	// usable is the part of a VM's room that tasks of mixed sizes fill, beyond
	// what Footprint counts.
	usable = 0.95
	// callAhead is how long before an expected turn VMs are called, beyond the
	// time of their move.
	callAheadMS = 600
	// giveAfterMS is how long a VM must have been idle to go to a pool in need.
	giveAfterMS = 50
	// restFactor times the price of a move there and back is the idle time
	// after which a VM rests.
	restFactor = 0.5
	// keepBeforeTurnMS keeps idle VMs of a pool whose turn comes soon.
	keepBeforeTurnMS = 3000
)

// balance is one pool's supply against its demand.
type balance struct {
	pool *Pool
	// short is the room that is missing, spare what could be given away.
	short, spare int64
	// idle VMs may leave, the longest idle first.
	idle []VM
	// racks counts the VMs by rack; where VMs rest does not matter.
	racks map[string]int
}

// Plan returns the moves of one round, and the VMs that should take no more
// tasks, so that they become empty and can go to pools in need.
func Plan(s *Snapshot) (moves []Move, drain []string) {
	var needy, rich []balance
	for i := range s.Pools {
		b := s.balance(&s.Pools[i])
		if b.short > 0 {
			needy = append(needy, b)
		} else if b.spare > 0 {
			rich = append(rich, b)
		}
	}
	slices.SortStableFunc(needy, func(a, b balance) int {
		return cmp.Or(cmp.Compare(b.short, a.short), strings.Compare(a.pool.Name, b.pool.Name))
	})
	// Resting VMs first: they cost no other pool anything.
	slices.SortStableFunc(rich, func(a, b balance) int {
		if a.pool.Resting != b.pool.Resting {
			if a.pool.Resting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.spare, a.spare), strings.Compare(a.pool.Name, b.pool.Name))
	})
	moves = s.fill(needy, rich)
	drain = s.drain(rich)
	return s.rest(rich, moves), drain
}

// drain picks the VMs that each pool can do without, those first that are empty
// soonest: work gathers on the others, and these are free when the next turn asks.
func (s *Snapshot) drain(rich []balance) []string {
	var out []string
	for i := range rich {
		if rich[i].pool.Resting {
			continue
		}
		spare := rich[i].spare
		for _, vm := range rich[i].soonestEmpty() {
			if vm.CPUMillis > spare {
				break
			}
			spare -= vm.CPUMillis
			out = append(out, vm.Name)
		}
	}
	return out
}

// soonestEmpty returns the VMs that could become empty, the first one to be first.
func (b *balance) soonestEmpty() []VM {
	left := balance{pool: b.pool, idle: slices.Clone(b.idle), racks: maps.Clone(b.racks)}
	var out []VM
	for len(left.idle) > 0 {
		at := left.pick(nil, func(*VM) bool { return true })
		out = append(out, left.idle[at])
		left.take(at, nil)
	}
	idle := len(out)
	for _, vm := range b.pool.VMs {
		if vm.mayEmpty() && vm.Tasks > 0 {
			out = append(out, vm)
		}
	}
	slices.SortStableFunc(out[idle:], func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.BusyMS, b.BusyMS), cmp.Compare(a.Tasks, b.Tasks), strings.Compare(a.Name, b.Name))
	})
	return out
}

// mayEmpty reports whether the VM may leave the pool once its tasks have ended.
func (vm *VM) mayEmpty() bool { return !vm.Fixed && vm.Lasting == 0 }

// pick returns the idle VM to send to another pool, or -1: of the racks that have
// more VMs here than there, so that a rack that is lost takes few of a pool's.
func (b *balance) pick(to *balance, admits func(*VM) bool) int {
	best, bestCrowd := -1, 0
	for i := range b.idle {
		vm := &b.idle[i]
		crowd := b.racks[vm.Rack]
		if to != nil {
			crowd -= to.racks[vm.Rack]
		}
		if (best < 0 || crowd > bestCrowd) && admits(vm) {
			best, bestCrowd = i, crowd
		}
	}
	return best
}

// take moves an idle VM to another pool; to nowhere that matters without one.
func (b *balance) take(at int, to *balance) VM {
	vm := b.idle[at]
	b.idle = slices.Delete(b.idle, at, at+1)
	if b.racks != nil {
		b.racks[vm.Rack]--
	}
	if to != nil && to.racks != nil {
		to.racks[vm.Rack]++
	}
	return vm
}

// Footprint returns the room that a task takes of a VM when only tasks of its
// size run there: what is left over is of no use to it.
func Footprint(room, vm int64) int64 {
	if room <= 0 || room > vm {
		return room
	}
	return vm / (vm / room)
}

// list fills in the idle VMs and the racks.
func (b *balance) list() {
	if !b.pool.Resting {
		b.racks = make(map[string]int)
	}
	for _, vm := range b.pool.VMs {
		if vm.mayEmpty() && vm.Tasks == 0 {
			b.idle = append(b.idle, vm)
		}
		if !vm.Out && b.racks != nil {
			b.racks[vm.Rack]++
		}
	}
	slices.SortStableFunc(b.idle, func(x, y VM) int {
		return cmp.Or(cmp.Compare(y.IdleMS, x.IdleMS), strings.Compare(x.Name, y.Name))
	})
}

// balance compares what a pool has with what it is asked for.
func (s *Snapshot) balance(p *Pool) balance {
	b := balance{pool: p}
	b.list()
	supply, vms, largest := p.IncomingMillis, p.Incoming, int64(0)
	for _, vm := range p.VMs {
		if !vm.Out {
			supply += vm.CPUMillis
			largest = max(largest, vm.CPUMillis)
			vms++
		}
	}
	if p.Resting {
		b.spare = supply - p.IncomingMillis
		return b
	}
	demand := int64(float64(s.demand(p)) / usable)
	// The least number of VMs counts as the room of so many of the largest.
	demand = max(demand, supply+int64(p.MinVMs-vms)*largest)
	if p.Stuck && p.Incoming == 0 {
		demand = max(demand, supply+s.largest())
	}
	if vms == 0 && p.MinVMs > 0 {
		demand = max(demand, int64(p.MinVMs)*s.largest())
	}
	if demand > supply {
		b.short = demand - supply
	} else {
		b.spare = supply - demand
	}
	return b
}

// largest returns the room of the largest VM of any pool.
func (s *Snapshot) largest() int64 {
	largest := int64(0)
	for i := range s.Pools {
		for _, vm := range s.Pools[i].VMs {
			largest = max(largest, vm.CPUMillis)
		}
	}
	return largest
}

func (s *Snapshot) demand(p *Pool) int64 {
	demand := p.NeedMillis
	if p.TurnMillis > 0 && p.NextTurnMS-s.NowMS < s.Prices.MoveMS+callAheadMS {
		demand = max(demand, p.TurnMillis)
	}
	return demand
}

// fill moves idle VMs to pools in need.
func (s *Snapshot) fill(needy, rich []balance) []Move {
	var moves []Move
	for i := range needy {
		for j := range rich {
			moves = s.give(&needy[i], &rich[j], moves)
		}
	}
	return moves
}

func (s *Snapshot) give(to, from *balance, moves []Move) []Move {
	admits := func(vm *VM) bool {
		return vm.CPUMillis <= from.spare && (from.pool.Resting || vm.IdleMS >= giveAfterMS) && s.Fits(vm.Name, to.pool.Name)
	}
	for to.short > 0 && len(moves) < s.Budget {
		at := from.pick(to, admits)
		if at < 0 || to.short < from.idle[at].CPUMillis/4 {
			// A small lack passes before the VM would be there.
			break
		}
		vm := from.take(at, to)
		to.short -= vm.CPUMillis
		from.spare -= vm.CPUMillis
		moves = append(moves, Move{VM: vm.Name, From: from.pool.Name, To: to.pool.Name, Reason: "the pool lacks room"})
	}
	return moves
}

// rest sends VMs that stay idle to the resting pool.
func (s *Snapshot) rest(rich []balance, moves []Move) []Move {
	resting := ""
	for _, p := range s.Pools {
		if p.Resting {
			resting = p.Name
			break
		}
	}
	if resting == "" || !s.MayRest {
		return moves
	}
	after := int64(restFactor * 2 * s.Prices.MoveVMSeconds * 1000)
	for i := range rich {
		from := &rich[i]
		if from.pool.Resting || from.pool.TurnMillis > 0 && from.pool.NextTurnMS-s.NowMS < keepBeforeTurnMS && from.pool.NextTurnMS > s.NowMS-keepBeforeTurnMS {
			continue
		}
		admits := func(vm *VM) bool {
			return vm.CPUMillis <= from.spare && vm.IdleMS >= after && s.Fits(vm.Name, resting)
		}
		for len(moves) < s.Budget {
			at := from.pick(nil, admits)
			if at < 0 {
				break
			}
			vm := from.take(at, nil)
			from.spare -= vm.CPUMillis
			moves = append(moves, Move{VM: vm.Name, From: from.pool.Name, To: resting, Reason: "idle"})
		}
	}
	return moves
}
