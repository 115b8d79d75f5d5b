package assign

import (
	"fmt"
	"math/rand"
	"testing"

	"sapphirering/internal/policy/runtimes"
	"sapphirering/internal/policy/turnaway"
)

// openJobOf describes a planned job for the decision on refusals.
func openJobOf(j *Job) turnaway.OpenJob {
	return turnaway.OpenJob{
		Workspace: j.Workspace, BeyondRate: j.BeyondRate, Priority: j.Priority, Shed: j.Shed, WorkMillisMS: j.WorkMillisMS, RemainingMS: j.RemainingMS,
		Worth: j.Worth, DeadlineMS: j.DeadlineMS, LateDeadlineMS: j.LateDeadlineMS,
	}
}

// newRefusals returns a function that reports whether a job that arrives is refused beside the jobs of the
// last planned snapshot.
func newRefusals() func(Job, int64, *Snapshot) bool {
	var known *Snapshot
	var backlog *turnaway.Backlog
	return func(j Job, nowMS int64, last *Snapshot) bool {
		if last != known {
			var open []turnaway.OpenJob
			for i := range last.Jobs {
				open = append(open, openJobOf(&last.Jobs[i]))
			}
			known, backlog = last, turnaway.NewBacklog(last.NowMS, last.CapacityMillis, open)
		}
		submitted := openJobOf(&j)
		return backlog.Decide(j.ID, &submitted, nowMS) != nil
	}
}

// refusalCount compares refusals with what becomes of the same jobs when they are accepted.
type refusalCount struct {
	jobs, worthless, refused, wrong int
	accepted, withRefusals          float64
}

// countRefusals replays jobs twice, without and with refusals.
func (c *refusalCount) countRefusals(jobs []*burstJob, s supply, learned runtimes.Model, part float64) {
	const lagMS = startLagMS + commitLagMS
	mean, would, refuses := meanWork(jobs), make(map[string]bool), newRefusals()
	ended := simulateRefusals(jobs, s, learned, lagMS, planStarts, func(j Job, nowMS int64, last *Snapshot) bool {
		would[j.ID] = refuses(j, nowMS, last)
		return false
	})
	for _, j := range ended {
		c.jobs++
		worthless := j.endedMS-j.atMS > lateWithin*j.objectiveMS()
		if worthless {
			c.worthless++
		}
		if would[j.id] {
			c.refused++
		}
		if would[j.id] && !worthless {
			c.wrong++
		}
	}
	c.accepted += part * earnedPart(ended, mean)
	c.withRefusals += part * earnedPart(simulateRefusals(jobs, s, learned, lagMS, planStarts, newRefusals()), mean)
}

// check fails the test for refusals that were false, and for worth that they cost.
func (c *refusalCount) check(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: of %d jobs %d end worthless; %d are refused, %d of them falsely; earned %.3f, with refusals %.3f",
		name, c.jobs, c.worthless, c.refused, c.wrong, c.accepted, c.withRefusals)
	if c.wrong > 0 {
		t.Errorf("%s: %d of %d refusals are false", name, c.wrong, c.refused)
	}
	if c.withRefusals < c.accepted-0.01 {
		t.Errorf("%s: %.3f is earned, %.3f without refusals", name, c.withRefusals, c.accepted)
	}
}

// TestReplayRefusals replays bursts of which the pool holds a part, and the surge of two workspaces. A job
// that is refused must not end while its end has worth if it is accepted instead: its refusal would be false.
func TestReplayRefusals(t *testing.T) {
	const seeds = 3
	refused := 0
	for _, share := range []float64{0.15, 0.2, 0.3} {
		c := refusalCount{}
		for seed := range int64(seeds) {
			rng := rand.New(rand.NewSource(seed))
			jobs := newBurst(rng)
			c.countRefusals(jobs, supplyFor(jobs, share), learnedEstimates(rng), 1.0/seeds)
		}
		c.check(t, fmt.Sprintf("room for %.2f of the burst", share))
		refused += c.refused
	}
	if refused == 0 {
		t.Error("no job is refused")
	}
	c, rng := refusalCount{}, rand.New(rand.NewSource(0))
	usual, surge := newSurge(rng)
	markRates(surge, surgeWeight)
	c.countRefusals(surge, fullPool(usual), learnedEstimates(rng), 1)
	c.check(t, "surge of two workspaces")
}
