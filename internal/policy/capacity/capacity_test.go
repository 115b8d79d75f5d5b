package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.UnixMilli(1_700_000_000_000)

// sim simulates pools in virtual time. Moves take effect at once.
type sim struct {
	snapshot Snapshot
	history  *History
	moves    []Move
}

// newSim returns a pool of 8 VMs with a budget of 6 and a spare pool of 8 VMs with a
// budget of 5.
func newSim() *sim {
	s := &sim{history: NewHistory(), snapshot: Snapshot{Now: start, Pools: []Pool{
		{Name: "p", Budget: 6, UnitsPerVM: 8}, {Name: "spare", Spare: true, Budget: 5, UnitsPerVM: 8},
	}}}
	for i := range 16 {
		pool := "p"
		if i >= 8 {
			pool = "spare"
		}
		s.snapshot.VMs = append(s.snapshot.VMs, VM{
			Name: fmt.Sprintf("vm%d", i), Pool: pool, Zone: string(rune('a' + i%3)), Available: true, Since: start,
		})
	}
	return s
}

// simStep is the time between two plans. The length of a burst is a multiple of it.
const simStep = 4 * time.Second

// run plans for the duration d, with the given demand for units of pool p.
func (s *sim) run(d time.Duration, units func(at time.Duration) float64) {
	for end := s.snapshot.Now.Add(d); s.snapshot.Now.Before(end); s.snapshot.Now = s.snapshot.Now.Add(simStep) {
		now := s.snapshot.Now
		s.history.Observe("p", now, units(now.Sub(start)))
		s.history.Observe("spare", now, 8)
		plan := MakePlan(s.snapshot, s.history)
		for _, move := range plan.Moves {
			s.apply(move)
		}
	}
}

func (s *sim) apply(move Move) {
	s.moves = append(s.moves, move)
	for i := range s.snapshot.VMs {
		vm := &s.snapshot.VMs[i]
		if vm.Name != move.VM {
			continue
		}
		vm.LentFrom = ""
		if move.From == "spare" {
			vm.LentFrom = "spare"
		}
		vm.Pool, vm.Since = move.To, s.snapshot.Now
	}
}

func (s *sim) count(pool string) int {
	n := 0
	for _, vm := range s.snapshot.VMs {
		if vm.Pool == pool && vm.Available {
			n++
		}
	}
	return n
}

func steady(units float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return units }
}

// TestLendsForARiseAndGetsBack checks that a pool borrows within minutes when demand
// rises and stays high, and that the lender has every VM back afterwards.
func TestLendsForARiseAndGetsBack(t *testing.T) {
	is := is.New(t)
	s := newSim()
	s.run(10*time.Minute, steady(32))
	is.Equal(len(s.moves), 0)
	s.run(10*time.Minute, steady(72))
	is.Equal(s.count("p"), 11) // the lender keeps its budget of 5
	s.run(40*time.Minute, steady(32))
	is.Equal(s.count("spare"), 8)
	is.Equal(len(s.moves), 6)
}

// burst returns a demand of five times the mean for 4 s of each 20 s, and of a
// twentieth of it for the rest.
func burst(mean float64, offset time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if (at+offset)%(20*time.Second) < 4*time.Second {
			return 5 * mean
		}
		return mean / 20
	}
}

// TestBurstsMoveNothing checks that bursts, seconds of five times the mean and then a
// twentieth, cause no move at any mean demand that the pool can serve.
func TestBurstsMoveNothing(t *testing.T) {
	for mean := 5.0; mean <= 40; mean += 5 {
		for _, offset := range []time.Duration{0, 8 * time.Second} {
			s := newSim()
			s.run(30*time.Minute, burst(mean, offset))
			if len(s.moves) > 0 {
				t.Errorf("%d moves at a mean of %.0f units, offset %s", len(s.moves), mean, offset)
			}
		}
	}
}

// TestNoFlapping checks that no VM is lent twice at any steady or bursty demand.
func TestNoFlapping(t *testing.T) {
	for mean := 42.0; mean <= 90; mean += 2 {
		for name, units := range map[string]func(time.Duration) float64{"steady": steady(mean), "bursts": burst(mean, 0)} {
			s := newSim()
			s.run(time.Hour, units)
			if len(s.moves) > 3 {
				t.Errorf("%d moves at a mean of %.0f units, %s", len(s.moves), mean, name)
			}
		}
	}
}

// TestBudgetFirst checks that a pool below its budget borrows at once, without any
// history of demand, and that the lender stays at or above its own budget.
func TestBudgetFirst(t *testing.T) {
	is := is.New(t)
	s := newSim()
	for i := range 5 {
		s.snapshot.VMs[i].Available = false
	}
	plan := MakePlan(s.snapshot, s.history)
	is.Equal(len(plan.Moves), minMoveLimit) // the limit of concurrent moves; three VMs are missing
	s.run(5*simStep, steady(0))
	is.Equal(s.count("p"), 6)
	is.Equal(s.count("spare"), 5)
}
