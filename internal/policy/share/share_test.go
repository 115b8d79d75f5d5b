package share

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawClaims(t *rapid.T) []Claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
		return Claim{
			Weight: rapid.Uint32Range(0, 5).Draw(t, "weight"),
			Demand: rapid.Uint32Range(0, 50).Draw(t, "demand"),
			Limit:  rapid.Uint32Range(0, 30).Draw(t, "limit"),
		}
	}), 0, 12).Draw(t, "claims")
}

// TestMaxMinProperties checks that no claim gets more than its demand or limit, that
// all units are given when demand suffices, and that a claim which wants more has no
// less per weight than another, up to the rounding of one unit.
func TestMaxMinProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		units := rapid.Uint32Range(0, 200).Draw(t, "units")
		parts := MaxMin(units, claims)
		wanted := uint32(0)
		for i, c := range claims {
			wanted += c.cappedDemand()
			if parts[i] > c.cappedDemand() {
				t.Fatalf("claim %d got %d of %d", i, parts[i], c.cappedDemand())
			}
		}
		if got := sum(parts); got != min(units, wanted) {
			t.Fatalf("%d units given, want %d", got, min(units, wanted))
		}
		for i := range claims {
			for j := range claims {
				unmet := parts[i] < claims[i].cappedDemand()
				if unmet && uint64(parts[j]-min(1, parts[j]))*claims[i].weight() > uint64(parts[i]+1)*claims[j].weight() {
					t.Fatalf("claim %d has %d and wants more, claim %d has %d", i, parts[i], j, parts[j])
				}
			}
		}
	})
}

// TestRebalanceProperties checks that holders never get more than all units, and
// that repeated rounds in which every adjustment is carried out reach a state that
// needs no further change.
func TestRebalanceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.Uint32Range(0, 60).Draw(t, "units")
		left := units
		holders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Holder {
			h := Holder{
				Held:    rapid.Uint32Range(0, left).Draw(t, "held"),
				Demand:  rapid.Uint32Range(0, 30).Draw(t, "demand"),
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			}
			h.Urgent = rapid.Uint32Range(0, h.Demand).Draw(t, "urgent")
			left -= h.Held
			return h
		}), 1, 8).Draw(t, "holders")
		for round := 0; ; round++ {
			changed, total := false, uint32(0)
			free := units - heldUnits(holders)
			for i, h := range Rebalance(units, free, holders) {
				changed = changed || h.Grant || h.Shrink
				holders[i].Held = h.Target
				total += h.Target
			}
			if total > units {
				t.Fatalf("%d units handed out of %d", total, units)
			}
			if !changed {
				break
			}
			if round > 4 {
				t.Fatalf("still changing after %d rounds: %+v", round, holders)
			}
		}
		for i, h := range holders {
			if most := h.Demand + (units+1)/2 + max(1, units/8); h.Held > most {
				t.Fatalf("holder %d keeps %d, more than %d: %+v", i, h.Held, most, holders)
			}
			if h.Urgent > 0 && h.Held == 0 && !h.Leaving && units >= uint32(len(holders))*30 {
				t.Fatalf("holder %d has urgent work and nothing: %+v", i, holders)
			}
		}
	})
}

func heldUnits(holders []Holder) uint32 {
	total := uint32(0)
	for _, h := range holders {
		total += h.Held
	}
	return total
}

func TestSplitWork(t *testing.T) {
	for _, c := range []struct {
		units, jobs, requests uint32
		turn                  bool
		want                  uint32
	}{
		{8, 20, 0, false, 8},
		{8, 20, 100, false, 4},
		{8, 2, 100, false, 2},
		{8, 20, 3, false, 5},
		{1, 1, 1, false, 0},
		{1, 1, 1, true, 1},
		{0, 5, 5, true, 0},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			is.New(t).Equal(SplitWork(c.units, c.jobs, c.requests, c.turn), c.want)
		})
	}
}

// TestDominantOrder starts jobs of a team that needs mostly cores and of one that
// needs mostly memory, and checks that their dominant shares end up equal.
func TestDominantOrder(t *testing.T) {
	is := is.New(t)
	total := Resources{Millicores: 9000, MemoryMB: 18000, Slots: 100}
	var jobs []Job
	for i := range 10 {
		jobs = append(jobs,
			Job{ID: fmt.Sprintf("a%d", i), Team: "memory", Class: Normal, Needs: Resources{Millicores: 1000, MemoryMB: 4000, Slots: 1}},
			Job{ID: fmt.Sprintf("b%d", i), Team: "cores", Class: Normal, Needs: Resources{Millicores: 3000, MemoryMB: 1000, Slots: 1}})
	}
	q := NewQueue(total, []Team{{Name: "memory", Weight: 1, FreeUnits: 9}, {Name: "cores", Weight: 1, FreeUnits: 9}}, jobs)
	counts := make(map[string]int)
	used := Resources{}
	for {
		job, _, ok := q.Next()
		if !ok || !used.Add(job.Needs).Fits(total) {
			break
		}
		used = used.Add(job.Needs)
		q.Started(job)
		counts[job.Team]++
	}
	is.Equal(counts["memory"], 3) // the allocation of dominant resource fairness for these needs
	is.Equal(counts["cores"], 2)
}

// TestVictim checks that the victim is of the urgent job's own team where possible,
// and that urgent jobs are never preempted.
func TestVictim(t *testing.T) {
	is := is.New(t)
	total := Resources{Slots: 10}
	teams := []Team{
		{Name: "greedy", Weight: 1, Used: Resources{Slots: 8}},
		{Name: "short", Weight: 1, Used: Resources{Slots: 2}},
	}
	running := []Running{
		{ID: "g-urgent", Team: "greedy", Class: Urgent, StartedMS: 9},
		{ID: "g-old", Team: "greedy", Class: Long, StartedMS: 1},
		{ID: "g-young", Team: "greedy", Class: Long, StartedMS: 5},
		{ID: "s-long", Team: "short", Class: Long, StartedMS: 1},
	}
	any := func(Running) bool { return true }
	victim, _, ok := Victim(total, teams, running, Job{ID: "u", Team: "short"}, any)
	is.True(ok)
	is.Equal(victim.ID, "s-long")
	victim, _, ok = Victim(total, teams, running[:3], Job{ID: "u", Team: "short"}, any)
	is.True(ok)
	is.Equal(victim.ID, "g-young")
	_, _, ok = Victim(total, teams, running[3:], Job{ID: "u", Team: "greedy"}, any)
	is.True(!ok) // a team above its share preempts no job of a team below
}

func BenchmarkMaxMin340(b *testing.B) {
	claims := make([]Claim, 340)
	for i := range claims {
		claims[i] = Claim{Weight: uint32(i%5 + 1), Demand: uint32(i % 97)}
	}
	for b.Loop() {
		MaxMin(4000, claims)
	}
}

// TestIdleUnitsReturn checks that the units which a burst left with one of eight
// holders are given back, so that losing that holder costs few of the team's units.
func TestIdleUnitsReturn(t *testing.T) {
	const units = 16
	holders := make([]Holder, 8)
	holders[0].Held = 12
	for range 4 {
		for i, h := range Rebalance(units, units-heldUnits(holders), holders) {
			holders[i].Held = h.Target
		}
	}
	for i, h := range holders {
		if h.Held > 2 {
			t.Errorf("idle holder %d keeps %d of %d units", i, h.Held, units)
		}
	}
}

// TestSilentHolderGetsNothing checks that a silent holder is granted nothing. It
// counts as using all that it holds, so its demand would otherwise grow with every
// grant until a dead holder had every free unit.
func TestSilentHolderGetsNothing(t *testing.T) {
	const units = 16
	holders := []Holder{{Held: 6, Demand: 6, Silent: true}, {Demand: 2}, {}}
	for range 10 {
		for i, h := range Rebalance(units, units-heldUnits(holders), holders) {
			holders[i].Held = h.Target
		}
		holders[0].Demand = holders[0].Held
	}
	if holders[0].Held != 6 || holders[1].Held < 2 {
		t.Errorf("after 10 rounds: %+v", holders)
	}
}
