// Package pools decides which VMs move between pools and which rest. It is
// pure. The load it answers: queues take turns; in its turn each asks for more
// than its pool holds for some seconds, and for almost nothing in between. VMs
// that are idle between turns rest, where they cost nothing, or go to the pool
// whose turn it is; those of a turn that comes back at an even pace are called
// ahead of it.
package pools

import (
	"cmp"
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
	// Unavailable VMs take no tasks: they are in maintenance, about to be, or leaving.
	Unavailable bool
}

// Pool is one pool with what is asked of it.
type Pool struct {
	Name string
	// Resting pools hold VMs that are off and cost nothing.
	Resting bool
	// NeedMillis is the processor room with which the work at hand ends in time.
	NeedMillis int64
	// PassingMillis is the part of it that will have ended before a VM that is
	// called now can serve.
	PassingMillis int64
	// Stuck tells that a waiting task has fitted on no VM for a while.
	Stuck bool
	// MinVMs is how many VMs the pool needs however little room is asked for.
	MinVMs int
	// NextBurstMS is when a turn is expected, and TurnMillis what it will ask
	// for; TurnMillis is 0 while no turn is expected.
	NextBurstMS int64
	BurstMillis int64
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

// Footprint returns the room that a task takes of a VM when only tasks of its
// size run there: what is left over is of no use to it.
func Footprint(room, vm int64) int64 {
	if room <= 0 || room > vm {
		return room
	}
	return vm / (vm / room)
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
		if from.pool.Resting || from.pool.BurstMillis > 0 && from.pool.NextBurstMS-s.NowMS < keepBeforeTurnMS && from.pool.NextBurstMS > s.NowMS-keepBeforeTurnMS {
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
