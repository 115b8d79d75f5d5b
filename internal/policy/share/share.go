// Package share decides how much of a contended amount each claimant gets, and
// whose job is next. Results depend only on the input and are equal on every daemon.
package share

import (
	"cmp"
	"slices"
)

// Claim is what one claimant asks for.
type Claim struct {
	// Weight is the claimant's relative share under contention; zero counts as one.
	Weight uint32
	// Demand is the number of units that the claimant can use now.
	Demand uint32
	// Urgent is the part of Demand that is served before the other demand of all
	// claimants, within the claimant's share.
	Urgent uint32
	// Limit is the most units that the claimant gets; zero means no limit.
	Limit uint32
}

func (c Claim) weight() uint64 { return uint64(max(1, c.Weight)) }

// cappedDemand is the demand up to the limit.
func (c Claim) cappedDemand() uint32 {
	if c.Limit == 0 {
		return c.Demand
	}
	return min(c.Demand, c.Limit)
}

// MaxMin divides units by weighted max-min fairness: no claimant gets more than its
// demand or limit, and what one does not use goes to the others by weight. The
// parts sum to units, or to all demand within the limits if that is less.
func MaxMin(units uint32, claims []Claim) []uint32 {
	parts := make([]uint32, len(claims))
	order := byDemand(claims)
	left, weights := uint64(units), uint64(0)
	for _, i := range order {
		weights += claims[i].weight()
	}
	for at, i := range order {
		w := claims[i].weight()
		if want := uint64(claims[i].cappedDemand()); want*weights <= left*w {
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

// byDemand returns the indexes of the claims by demand per weight, the order in
// which they are satisfied.
func byDemand(claims []Claim) []int {
	order := make([]int, len(claims))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		left := uint64(claims[a].cappedDemand()) * claims[b].weight()
		right := uint64(claims[b].cappedDemand()) * claims[a].weight()
		return cmp.Compare(left, right)
	})
	return order
}

// fillByWeight divides left by weight among claims that all want more than their
// part. Units lost to rounding go to the largest fractions first, then to the
// larger weight, then to the earlier claim.
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
		if parts[i] >= claims[i].cappedDemand() {
			continue
		}
		parts[i]++
		given++
	}
}

// SplitWork divides a team's units between its jobs and its requests and returns
// the jobs' part. Each side gets at least half if it wants that much, and what the
// other does not use. An odd unit that both want goes to the jobs if jobsTurn is
// set: the sides take turns.
func SplitWork(units, jobs, requests uint32, jobsTurn bool) (jobUnits uint32) {
	half := units / 2
	if units%2 == 1 && jobsTurn {
		half++
	}
	leftByRequests := units - min(units, requests)
	return min(jobs, max(half, leftByRequests))
}

// Holder is one session that holds units of a team.
type Holder struct {
	Held   uint32
	Demand uint32
	// Urgent is the part of Demand that is urgent and waiting.
	Urgent uint32
	// Leaving marks a holder that must give back all units that it doesn't use.
	Leaving bool
	// Silent marks a holder that has not reported lately. It may be using all that
	// it holds, or be gone and unable to answer: it is granted nothing.
	Silent bool
}

// Adjustment is the change for one holder: with Grant it gets units up to Target
// now, with Shrink it is asked to give units back down to Target.
type Adjustment struct {
	Target uint32
	Grant  bool
	Shrink bool
}

// idleDivisor limits the idle units that a holder keeps above its part: the team's
// units divided by idleDivisor, and at least one.
const idleDivisor = 8

// Rebalance divides a team's units among holders. It grants only free units; units
// that other holders need must be given back first. While every demand is met,
// holders keep what they hold, so that steady or idle teams cause no change. Then
// only units that exceed a holder's part by more than a small slack are asked back:
// units of a lost holder are unavailable until its requests are past their deadlines.
func Rebalance(units, free uint32, holders []Holder) []Adjustment {
	out := make([]Adjustment, len(holders))
	fair := fairParts(units, holders)
	held, unmet, withoutUnits := uint32(0), false, false
	for i, h := range holders {
		held += h.Held
		out[i].Target = h.Held
		unmet = unmet || h.Held < fair[i] && h.Demand > h.Held
		withoutUnits = withoutUnits || h.Held == 0 && fair[i] > 0
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
	if !unmet && !withoutUnits && held <= units && !anyLeaving(holders) {
		return shrinkIdle(units, fair, holders, out)
	}
	for i, h := range holders {
		if h.Held > fair[i] {
			out[i] = Adjustment{Target: fair[i], Shrink: true}
		}
	}
	return out
}

// shrinkIdle asks holders that exceed their part by more than the slack to give the
// excess back.
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

// byUrgency returns the indexes of the holders, most urgent demand first.
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

// fairParts satisfies urgent demand first and then the other demand. It spreads half
// of what is left evenly, so that new demand can start without waiting. The other
// half stays with the leader, which grants it where demand rises.
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

// spreadEvenly adds left to the parts of holders that are neither leaving nor silent.
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
