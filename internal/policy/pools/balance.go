package pools

import (
	"cmp"
	"maps"
	"slices"
	"strings"
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

// list fills in the idle VMs and the racks.
func (b *balance) list() {
	if !b.pool.Resting {
		b.racks = make(map[string]int)
	}
	for _, vm := range b.pool.VMs {
		if vm.mayEmpty() && vm.Tasks == 0 {
			b.idle = append(b.idle, vm)
		}
		if !vm.Unavailable && b.racks != nil {
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
		if !vm.Unavailable {
			supply += vm.CPUMillis
			largest = max(largest, vm.CPUMillis)
			vms++
		}
	}
	if p.Resting {
		b.spare = supply - p.IncomingMillis
		return b
	}
	// The least number of VMs counts as the room of so many of the largest.
	least := supply + int64(p.MinVMs-vms)*largest
	if p.Stuck && p.Incoming == 0 {
		least = max(least, supply+s.largest())
	}
	if vms == 0 && p.MinVMs > 0 {
		least = max(least, int64(p.MinVMs)*s.largest())
	}
	// VMs are called for what will still need them when they have come; they are
	// kept for all that is there now.
	then := max(int64(float64(s.demand(p, p.NeedMillis-p.PassingMillis))/usable), least)
	now := max(int64(float64(s.demand(p, p.NeedMillis))/usable), least)
	b.short = max(then-supply, 0)
	b.spare = max(supply-now, 0)
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

// demand returns a need, or what an expected turn asks for if that is more.
func (s *Snapshot) demand(p *Pool, needMillis int64) int64 {
	demand := needMillis
	if p.BurstMillis > 0 && p.NextBurstMS-s.NowMS < s.Prices.MoveMS+callAheadMS {
		demand = max(demand, p.BurstMillis)
	}
	return demand
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
