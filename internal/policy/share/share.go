// Package share decides how much of a contended amount each claimant gets. All
// functions are pure: the same input gives the same result on every daemon.
package share

import (
	"cmp"
	"slices"
)

// Claim is what one claimant asks of an amount.
type Claim struct {
	// Weight is the claimant's share when the amount is contended; zero counts as one.
	Weight uint32
	// Demand is the most that the claimant can use now, in units.
	Demand uint32
	// Urgent is the part of Demand that goes before everybody's other demand,
	// within the claimant's share.
	Urgent uint32
	// Limit caps the claimant; zero means no cap.
	Limit uint32
}

func (c Claim) weight() uint64 { return uint64(max(1, c.Weight)) }

func (c Claim) capped() uint32 {
	if c.Limit == 0 {
		return c.Demand
	}
	return min(c.Demand, c.Limit)
}

// MaxMin divides units by weighted max-min fairness: nobody gets more than its
// demand or limit, and what one leaves goes to the others by weight. The parts
// sum to at most units, and to exactly units when demand suffices.
func MaxMin(units uint32, claims []Claim) []uint32 {
	parts := make([]uint32, len(claims))
	order := byNeed(claims)
	left, weights := uint64(units), uint64(0)
	for _, i := range order {
		weights += claims[i].weight()
	}
	for at, i := range order {
		w := claims[i].weight()
		if want := uint64(claims[i].capped()); want*weights <= left*w {
			parts[i] = uint32(want)
			left -= want
			weights -= w
			continue
		}
		fillByWeight(left, weights, order[at:], claims, parts)
		break
	}
	return parts
}

// byNeed orders claims by demand per weight: the order in which they are satisfied.
func byNeed(claims []Claim) []int {
	order := make([]int, len(claims))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		left := uint64(claims[a].capped()) * claims[b].weight()
		right := uint64(claims[b].capped()) * claims[a].weight()
		return cmp.Compare(left, right)
	})
	return order
}

// fillByWeight divides left over claims that all want more than their part.
// Remainders go to the largest fractions, then to the heavier and earlier claim.
func fillByWeight(left, weights uint64, rest []int, claims []Claim, parts []uint32) {
	given := uint64(0)
	for _, i := range rest {
		parts[i] = uint32(left * claims[i].weight() / weights)
		given += uint64(parts[i])
	}
	byFraction := slices.Clone(rest)
	slices.SortStableFunc(byFraction, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(left*claims[b].weight()%weights, left*claims[a].weight()%weights),
			cmp.Compare(claims[b].weight(), claims[a].weight()),
			cmp.Compare(a, b),
		)
	})
	for at := 0; given < left; at = (at + 1) % len(byFraction) {
		i := byFraction[at]
		if parts[i] >= claims[i].capped() {
			continue
		}
		parts[i]++
		given++
	}
}

// SplitWork divides a team's units between its jobs and its requests. Each side
// gets what the other leaves and, when both want more than there is, half. A
// single contended unit goes to either side by turns.
func SplitWork(units, jobs, requests uint32, jobsTurn bool) (jobUnits uint32) {
	half := units / 2
	if units%2 == 1 && jobsTurn {
		half++
	}
	leftByRequests := units - min(units, requests)
	return min(jobs, max(half, leftByRequests))
}

// Holder is one session's side of a team's units.
type Holder struct {
	Held   uint32
	Demand uint32
	// Urgent is the part of Demand that waits and is urgent.
	Urgent uint32
	// Leaving holders are to give everything back that they don't use.
	Leaving bool
	// Silent holders have not reported lately. They may use all that they hold,
	// and may be gone: they are granted nothing, and nobody answers for them.
	Silent bool
}

// Adjustment is the change of one holder: it is to come down to Target, or it is
// granted up to Target now.
type Adjustment struct {
	Target uint32
	Grant  bool
	Shrink bool
}

// idleDivisor bounds what a holder keeps above its part: one unit in
// idleDivisor of the team's, and at least one.
const idleDivisor = 8

// Rebalance divides a team's units over holders. Grants use only free units;
// units that others need are asked back first. Holders whose demand is met
// keep what they hold, so that steady or idle teams cause no change. Only what
// lies idle beyond a small part is asked back unneeded: units of a holder that
// is lost stay out until its requests are past their deadlines.
func Rebalance(units, free uint32, holders []Holder) []Adjustment {
	out := make([]Adjustment, len(holders))
	fair := fairParts(units, holders)
	held, unmet, idleUnmet := uint32(0), false, false
	for i, h := range holders {
		held += h.Held
		out[i].Target = h.Held
		unmet = unmet || h.Held < fair[i] && h.Demand > h.Held
		idleUnmet = idleUnmet || h.Held == 0 && fair[i] > 0
	}
	for _, i := range byUrgency(holders) {
		want := fair[i]
		if want <= holders[i].Held || free == 0 || holders[i].Leaving || holders[i].Silent {
			continue
		}
		add := min(free, want-holders[i].Held)
		free -= add
		out[i] = Adjustment{Target: holders[i].Held + add, Grant: true}
	}
	if !unmet && !idleUnmet && held <= units && !anyLeaving(holders) {
		return shrinkIdle(units, fair, holders, out)
	}
	for i, h := range holders {
		if h.Held > fair[i] {
			out[i] = Adjustment{Target: fair[i], Shrink: true}
		}
	}
	return out
}

// shrinkIdle asks back what a holder has far above its part.
func shrinkIdle(units uint32, fair []uint32, holders []Holder, out []Adjustment) []Adjustment {
	slack := max(1, units/idleDivisor)
	for i, h := range holders {
		if h.Held > fair[i]+slack {
			out[i] = Adjustment{Target: fair[i], Shrink: true}
		}
	}
	return out
}

func anyLeaving(holders []Holder) bool {
	return slices.ContainsFunc(holders, func(h Holder) bool { return h.Leaving && h.Held > 0 })
}

// byUrgency orders holders so that those with urgent work waiting come first.
func byUrgency(holders []Holder) []int {
	order := make([]int, len(holders))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(holders[b].Urgent, holders[a].Urgent)
	})
	return order
}

// fairParts gives urgent demand first, then the other demand, then spreads
// half of what is left evenly so that new demand starts without waiting. The
// other half stays with the leader, which grants it where demand rises.
func fairParts(units uint32, holders []Holder) []uint32 {
	urgent := make([]Claim, len(holders))
	for i, h := range holders {
		urgent[i].Demand = min(h.Urgent, h.Demand)
	}
	parts := MaxMin(units, urgent)
	left := units - sum(parts)
	rest := make([]Claim, len(holders))
	for i, h := range holders {
		rest[i].Demand = h.Demand - min(h.Demand, parts[i])
	}
	for i, part := range MaxMin(left, rest) {
		parts[i] += part
	}
	left = units - sum(parts)
	return spreadEvenly(left-left/2, parts, holders)
}

func spreadEvenly(left uint32, parts []uint32, holders []Holder) []uint32 {
	even := make([]Claim, len(holders))
	for i, h := range holders {
		if !h.Leaving && !h.Silent {
			even[i].Demand = left
		}
	}
	for i, part := range MaxMin(left, even) {
		parts[i] += part
	}
	return parts
}

func sum(parts []uint32) uint32 {
	total := uint32(0)
	for _, part := range parts {
		total += part
	}
	return total
}
