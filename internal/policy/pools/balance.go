package pools

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// balance compares one pool's supply with its demand.
type balance struct {
	pool *Pool
	// missing is the room that the pool lacks, spare what it could give away.
	missing, spare int64
	// idle holds the empty VMs that may leave, the longest idle first.
	idle []VM
	// racks counts the VMs by rack; it is nil for the resting pool, where racks do not
	// matter.
	racks map[string]int
}

// listVMs fills in idle and racks.
func (b *balance) listVMs() {
	if !b.pool.Resting {
		b.racks = make(map[string]int)
	}
	for _, vm := range b.pool.VMs {
		if vm.mayLeave() && vm.Tasks == 0 {
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

// balance compares the capacity that a pool has with what its work needs.
func (s *Snapshot) balance(p *Pool) balance {
	b := balance{pool: p}
	b.listVMs()
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
	// Each VM that is missing to reach MinVMs counts with the room of the pool's largest.
	minimum := supply + int64(p.MinVMs-vms)*largest
	if p.Stuck && p.Incoming == 0 {
		minimum = max(minimum, supply+s.largestVM())
	}
	if vms == 0 && p.MinVMs > 0 {
		minimum = max(minimum, int64(p.MinVMs)*s.largestVM())
	}
	// VMs are fetched only for work that still needs them when they arrive, but
	// kept for all work that is there now.
	needLater := max(int64(float64(s.demand(p, p.NeedMillis-p.PassingMillis))/usableShare), minimum)
	needNow := max(int64(float64(s.demand(p, p.NeedMillis))/usableShare), minimum)
	b.missing = max(needLater-supply, 0)
	b.spare = max(supply-needNow, 0)
	return b
}

// largestVM returns the room of the largest VM in any pool.
func (s *Snapshot) largestVM() int64 {
	largest := int64(0)
	for i := range s.Pools {
		for _, vm := range s.Pools[i].VMs {
			largest = max(largest, vm.CPUMillis)
		}
	}
	return largest
}

// demand returns the given need, or that of an expected burst if it is near and needs more.
func (s *Snapshot) demand(p *Pool, needMillis int64) int64 {
	demand := needMillis
	if p.BurstMillis > 0 && p.NextBurstMS-s.NowMS < s.Prices.MoveMS+callAheadMS {
		demand = max(demand, p.BurstMillis)
	}
	return demand
}

// drainOrder returns the VMs that may leave, in the order in which they become empty.
func (b *balance) drainOrder() []VM {
	left := balance{pool: b.pool, idle: slices.Clone(b.idle), racks: maps.Clone(b.racks)}
	var out []VM
	for len(left.idle) > 0 {
		at := left.pickIdle(nil, func(*VM) bool { return true })
		out = append(out, left.idle[at])
		left.takeIdle(at, nil)
	}
	idle := len(out)
	for _, vm := range b.pool.VMs {
		if vm.mayLeave() && vm.Tasks > 0 {
			out = append(out, vm)
		}
	}
	slices.SortStableFunc(out[idle:], func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.BusyMS, b.BusyMS), cmp.Compare(a.Tasks, b.Tasks), strings.Compare(a.Name, b.Name))
	})
	return out
}

// mayLeave reports whether the VM may leave the pool once its tasks have ended.
func (vm *VM) mayLeave() bool { return !vm.Fixed && vm.Lasting == 0 }

// pickIdle returns the index of the idle VM to move to another pool, or -1. It prefers
// the rack with the largest excess of VMs here over those there, so that the loss of a
// rack takes few VMs of either pool.
func (b *balance) pickIdle(to *balance, admits func(*VM) bool) int {
	best, bestExcess := -1, 0
	for i := range b.idle {
		vm := &b.idle[i]
		excess := b.racks[vm.Rack]
		if to != nil {
			excess -= to.racks[vm.Rack]
		}
		if (best < 0 || excess > bestExcess) && admits(vm) {
			best, bestExcess = i, excess
		}
	}
	return best
}

// takeIdle removes an idle VM and counts it in the other pool, if that is not nil.
func (b *balance) takeIdle(at int, to *balance) VM {
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
