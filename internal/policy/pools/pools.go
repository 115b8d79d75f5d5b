// Package pools decides which VMs move between pools and which go to the resting
// pool. It has no side effects. It is made for bursts: each queue needs more than
// its pool holds for some seconds, one queue after the other, and almost nothing
// in between. VMs that are idle between bursts go to the resting pool, where they
// cost nothing, or to the pool that has a burst; if bursts come at regular
// intervals, VMs are moved ahead of the next one.
package pools

import (
	"cmp"
	"slices"
	"strings"
)

// Prices holds the costs of moving a VM.
type Prices struct {
	// MoveVMSeconds is the cost of one move, in seconds of a VM in a pool.
	MoveVMSeconds float64
	// MoveMS is how long a VM takes no tasks while it moves.
	MoveMS int64
}

// VM is one VM of a pool.
type VM struct {
	Name      string
	Rack      string
	CPUMillis int64
	// Tasks is the number of tasks that run or may run there, Lasting how many of
	// them are lasting (they serve until they are stopped); a VM with lasting tasks
	// does not move.
	Tasks, Lasting int
	// IdleMS is how long nothing has run there, BusyMS how long the tasks there that
	// are not lasting are expected to run from now on.
	IdleMS, BusyMS int64
	// Fixed means that the VM may not move now.
	Fixed bool
	// Unavailable means that the VM takes no tasks: it is in maintenance, about to be,
	// leaving, or in an evacuated availability zone.
	Unavailable bool
}

// Pool is one pool with its demand.
type Pool struct {
	Name string
	// Resting means that the pool holds VMs that are off and cost nothing.
	Resting bool
	// NeedMillis is the processor room, in thousandths of a core, with which the
	// present work ends in time.
	NeedMillis int64
	// PassingMillis is the part of NeedMillis that is no longer needed once a VM
	// that starts to move now has arrived.
	PassingMillis int64
	// Stuck means that for a while some waiting task has fitted on no VM.
	Stuck bool
	// BeyondRate is the need of jobs beyond the rate of their workspace, in addition.
	BeyondRate BeyondRate
	// MinVMs is the least number of VMs of the pool, also if it needs less room.
	MinVMs int
	// NextBurstMS is when the next burst is expected, and BurstMillis the room it
	// will need; BurstMillis is 0 while no burst is expected.
	NextBurstMS int64
	BurstMillis int64
	// Incoming is the number of VMs on their way, IncomingMillis their room.
	Incoming       int
	IncomingMillis int64
	VMs            []VM
}

// BeyondRate is the need of the jobs of a pool that are beyond the rate of their workspace. It counts
// only while no pool lacks room for its other jobs: nothing is owed for these jobs, but with VMs to
// spare they run as all others do.
type BeyondRate struct {
	NeedMillis, PassingMillis int64
	Stuck                     bool
}

// Move sends a VM to another pool.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
}

// Snapshot is the input of one round.
type Snapshot struct {
	NowMS int64
	Pools []Pool
	// Fits reports whether the VMs of one pool may serve in another.
	Fits func(vm, pool string) bool
	// Budget is the largest number of moves in the round.
	Budget int
	// MayRest means that enough load was observed to move idle VMs to the resting pool.
	MayRest bool
	// ShareShortage reduces the needs of all pools in proportion if they exceed the room of all VMs.
	ShareShortage bool
	Prices        Prices
}

const (
	// usableShare is the part of a VM's room that tasks of mixed sizes can fill,
	// after the loss that Footprint accounts for.
	usableShare = 0.95
	// callAheadMS is how long before an expected burst VMs have to arrive.
	callAheadMS = 600
	// minIdleMS is how long a VM must have been idle to go to a pool that lacks room.
	minIdleMS = 50
	// restFactor times the cost of a move there and back is the idle time after
	// which a VM goes to the resting pool.
	restFactor = 0.5
	// keepBeforeBurstMS is how long before and after the expected start of a burst
	// the pool's idle VMs do not go to the resting pool.
	keepBeforeBurstMS = 3000
)

// Plan returns the moves of one round, and the VMs that should take no more
// tasks, so that they become empty and can go to pools that lack room.
func Plan(s *Snapshot) (moves []Move, drain []string) {
	s.addBeyondRate()
	if s.ShareShortage {
		s.scaleNeeds()
	}
	var shortPools, sparePools []balance
	for i := range s.Pools {
		b := s.balance(&s.Pools[i])
		if b.missing > 0 {
			shortPools = append(shortPools, b)
		} else if b.spare > 0 {
			sparePools = append(sparePools, b)
		}
	}
	slices.SortStableFunc(shortPools, func(a, b balance) int {
		return cmp.Or(cmp.Compare(b.missing, a.missing), strings.Compare(a.pool.Name, b.pool.Name))
	})
	// Resting pools give first: it takes no room from another pool.
	slices.SortStableFunc(sparePools, func(a, b balance) int {
		if a.pool.Resting != b.pool.Resting {
			if a.pool.Resting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.spare, a.spare), strings.Compare(a.pool.Name, b.pool.Name))
	})
	moves = s.fill(shortPools, sparePools)
	drain = s.drain(sparePools)
	return s.restIdle(sparePools, moves), drain
}

// addBeyondRate adds the needs of jobs beyond their rates unless some pool lacks room without them.
func (s *Snapshot) addBeyondRate() {
	for i := range s.Pools {
		if b := s.balance(&s.Pools[i]); b.missing > 0 {
			return
		}
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		p.NeedMillis += p.BeyondRate.NeedMillis
		p.PassingMillis += p.BeyondRate.PassingMillis
		p.Stuck = p.Stuck || p.BeyondRate.Stuck
		p.BeyondRate = BeyondRate{}
	}
}

// scaleNeeds reduces the needs of all pools in the same proportion if they exceed the room of all VMs. Needs hold a
// margin in time (finishShare), which pools that have their VMs would keep in full while a pool whose burst
// begins goes without. No more than this margin is given up.
func (s *Snapshot) scaleNeeds() {
	supply, needs := 0.0, 0.0
	for i := range s.Pools {
		p := &s.Pools[i]
		supply += float64(p.IncomingMillis)
		for _, vm := range p.VMs {
			if !vm.Unavailable {
				supply += float64(vm.CPUMillis)
			}
		}
		if !p.Resting {
			needs += float64(s.demand(p, p.NeedMillis)) / usableShare
		}
	}
	if needs <= supply {
		return
	}
	share := max(supply/needs, finishShare)
	for i := range s.Pools {
		for _, millis := range []*int64{&s.Pools[i].NeedMillis, &s.Pools[i].PassingMillis, &s.Pools[i].BurstMillis} {
			*millis = int64(float64(*millis) * share)
		}
	}
}

// drain returns the VMs that each pool can spare, in the order in which they
// become empty: tasks then go to the other VMs, and these are free when the next
// burst needs them.
func (s *Snapshot) drain(sparePools []balance) []string {
	var out []string
	for i := range sparePools {
		if sparePools[i].pool.Resting {
			continue
		}
		spare := sparePools[i].spare
		for _, vm := range sparePools[i].drainOrder() {
			if vm.CPUMillis > spare {
				break
			}
			spare -= vm.CPUMillis
			out = append(out, vm.Name)
		}
	}
	return out
}

// Footprint returns the room that a task costs on a VM if only tasks of its size
// run there: its own, and its part of the rest that is too small for another one.
func Footprint(room, vm int64) int64 {
	if room <= 0 || room > vm {
		return room
	}
	return vm / (vm / room)
}

// fill moves idle VMs to pools that lack room.
func (s *Snapshot) fill(shortPools, sparePools []balance) []Move {
	var moves []Move
	for i := range shortPools {
		for j := range sparePools {
			moves = s.fillFrom(&shortPools[i], &sparePools[j], moves)
		}
	}
	return moves
}

func (s *Snapshot) fillFrom(to, from *balance, moves []Move) []Move {
	admits := func(vm *VM) bool {
		return vm.CPUMillis <= from.spare && (from.pool.Resting || vm.IdleMS >= minIdleMS) && s.Fits(vm.Name, to.pool.Name)
	}
	for to.missing > 0 && len(moves) < s.Budget {
		at := from.pickIdle(to, admits)
		if at < 0 || to.missing < from.idle[at].CPUMillis/4 {
			// So little room is no longer missing when the VM would arrive.
			break
		}
		vm := from.takeIdle(at, to)
		to.missing -= vm.CPUMillis
		from.spare -= vm.CPUMillis
		moves = append(moves, Move{VM: vm.Name, From: from.pool.Name, To: to.pool.Name, Reason: "the pool lacks room"})
	}
	return moves
}

// restIdle moves VMs that stay idle to the resting pool.
func (s *Snapshot) restIdle(sparePools []balance, moves []Move) []Move {
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
	for i := range sparePools {
		from := &sparePools[i]
		if from.pool.Resting || from.pool.BurstMillis > 0 && from.pool.NextBurstMS-s.NowMS < keepBeforeBurstMS && from.pool.NextBurstMS > s.NowMS-keepBeforeBurstMS {
			continue
		}
		admits := func(vm *VM) bool {
			return vm.CPUMillis <= from.spare && vm.IdleMS >= after && s.Fits(vm.Name, resting)
		}
		for len(moves) < s.Budget {
			at := from.pickIdle(nil, admits)
			if at < 0 {
				break
			}
			vm := from.takeIdle(at, nil)
			from.spare -= vm.CPUMillis
			moves = append(moves, Move{VM: vm.Name, From: from.pool.Name, To: resting, Reason: "idle"})
		}
	}
	return moves
}
