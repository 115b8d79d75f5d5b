package outlast

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestReason covers which targets a task avoids.
func TestReason(t *testing.T) {
	s := time.Second
	for i, test := range []struct {
		target  Target
		work    Work
		avoided bool
	}{
		{Target{Slowness: 1}, Work{s, 3 * s, 0}, false},
		{Target{Leaves: true, LeavesIn: 4 * s, Slowness: 1}, Work{s, 3 * s, s}, false},
		{Target{Leaves: true, LeavesIn: 4 * s, Slowness: 1}, Work{2 * s, 5 * s, s}, true},
		{Target{Leaves: true, LeavesIn: 4 * s, Slowness: 2}, Work{s, 3 * s, 9 * s}, true},
		{Target{Slowness: 2}, Work{s, 3 * s, 500 * time.Millisecond}, true},
		{Target{Slowness: 2}, Work{s, 3 * s, 2 * s}, false},
		{Target{Slowness: 2}, Work{s, 3 * s, -s}, false}, // late anyway
		{Target{Slowness: 1.2}, Work{s, 3 * s, 0}, false},
		{Target{}, Work{s, 3 * s, 0}, false},
	} {
		if got := Reason(test.target, test.work) != ""; got != test.avoided {
			t.Errorf("case %d: avoided %v", i, got)
		}
	}
}

// replay places tasks of about 3 s, three a second, on the fullest of 24 VMs with four places that it does not avoid.
// A wave takes the first eight VMs, one every 5 s, each after 4 s without starts. It returns the runs that were cut off
// and those that found no room.
func replay(seed int64, avoid bool) (cutOff, waited int) {
	const vms, places, drain, step = 24, 4, 4 * time.Second, 100 * time.Millisecond
	rng := rand.New(rand.NewSource(seed))
	var ends [vms][]time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for vm := range ends {
			goes, back := time.Duration(vm+1)*5*time.Second, time.Duration(vm+1)*5*time.Second+2*time.Second
			var left []time.Duration
			for _, end := range ends[vm] {
				if vm < 8 && now == goes && end > now {
					cutOff++
				} else if end > now && (vm >= 8 || now < goes || now > back) {
					left = append(left, end)
				}
			}
			ends[vm] = left
		}
		if rng.Float64() > 0.3 {
			continue
		}
		estimate := 3 * math.Exp(0.4*rng.NormFloat64())
		took := time.Duration(estimate * math.Exp(0.4*rng.NormFloat64()) * float64(time.Second))
		work := Work{Expected: time.Duration(estimate * float64(time.Second)), Pessimistic: time.Duration(estimate * math.Exp(0.4*1.28) * float64(time.Second))}
		best, bestScore := -1, -1
		for vm := range ends {
			goes := time.Duration(vm+1) * 5 * time.Second
			inWave := vm < 8 && now < goes
			if len(ends[vm]) == places || vm < 8 && now >= goes-drain && now <= goes+2*time.Second {
				continue
			}
			score := 10 + len(ends[vm])
			if avoid && Reason(Target{Leaves: inWave, LeavesIn: drain, Slowness: 1}, work) != "" {
				score = 0
			}
			if score > bestScore {
				best, bestScore = vm, score
			}
		}
		if best < 0 {
			waited++
			continue
		}
		ends[best] = append(ends[best], now+took)
	}
	return cutOff, waited
}

// TestReplayWave guards against long tasks on VMs that a wave is about to empty while others have room, and against
// tasks that wait because of it.
func TestReplayWave(t *testing.T) {
	without, with := 0, 0
	for seed := range int64(20) {
		cut, _ := replay(seed, false)
		without += cut
		cut, waited := replay(seed, true)
		with += cut
		if waited > 0 {
			t.Errorf("seed %d: %d tasks found no room", seed, waited)
		}
	}
	t.Logf("runs cut off in 20 waves: %d, with the rule %d", without, with)
	if with*4 > without {
		t.Errorf("%d runs cut off, %d without the rule", with, without)
	}
}
