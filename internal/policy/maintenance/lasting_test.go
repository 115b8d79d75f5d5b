package maintenance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lastingWave is a wave of 90 VMs in 24 s, 12 at once, 20 of which run tasks of one lasting step
// that bears one task away. A VM is down for 2 s, and its lasting tasks are at work elsewhere after 1 s.
func lastingWave() []Candidate {
	vms := make([]Candidate, 90)
	for i := range vms {
		vms[i] = Candidate{VM: fmt.Sprint("vm", i), LoadMillis: int64(i)}
		if i >= 70 {
			vms[i].Steps = []LastingStep{{ID: "step", Budget: 1}}
		}
	}
	return vms
}

// playLastingWave returns how many VMs have not begun when the wave's time is over.
func playLastingWave(toCordon func(vms []Candidate, want int, timeLeft, perVM time.Duration) []string, reserved func(vms []Candidate, atOnce int, timeLeft, perVM time.Duration) int) int {
	const tick, wave, down, away = 100 * time.Millisecond, 24 * time.Second, 2 * time.Second, time.Second
	left := lastingWave()
	var downUntil []time.Duration
	awayUntil := time.Duration(0)
	for now := time.Duration(0); now < wave && len(left) > 0; now += tick {
		downUntil = slices.DeleteFunc(downUntil, func(until time.Duration) bool { return until <= now })
		atOnce := Pace(len(left)+len(downUntil), wave-now, down+time.Second, 12)
		for _, vm := range toCordon(left, atOnce-len(downUntil)+2, wave-now, down+time.Second) {
			left[slices.IndexFunc(left, func(c Candidate) bool { return c.VM == vm })].Cordoned = true
		}
		forOthers := atOnce - reserved(left, atOnce, wave-now, down+time.Second)
		SortForMaintenance(left)
		left = slices.DeleteFunc(left, func(c Candidate) bool {
			places := forOthers
			if len(c.Steps) > 0 {
				places = atOnce
			}
			if !c.Cordoned || len(downUntil) >= places || len(c.Steps) > 0 && awayUntil > now {
				return false
			}
			downUntil = append(downUntil, now+down)
			if len(c.Steps) > 0 {
				awayUntil = now + away
			}
			return true
		})
	}
	return len(left)
}

// TestLastingTasksOfAWave replays a wave in which lasting tasks are spread over a good part of
// the VMs: by load alone these come last, when there is not enough time to take them one by one.
func TestLastingTasksOfAWave(t *testing.T) {
	is := is.New(t)
	byLoad := func(vms []Candidate, want int, _, _ time.Duration) []string { return ToCordon(vms, want, time.Hour, 0) }
	byLoadLeft := playLastingWave(byLoad, func([]Candidate, int, time.Duration, time.Duration) int { return 0 })
	t.Logf("left by load alone: %d", byLoadLeft)
	is.True(byLoadLeft > 0)
	is.Equal(playLastingWave(ToCordon, Reserved), 0)
}

// TestToCordon checks which VMs are cordoned.
func TestToCordon(t *testing.T) {
	is := is.New(t)
	vms := lastingWave()
	is.Equal(ToCordon(vms, 3, 24*time.Second, 3*time.Second), []string{"vm70", "vm71", "vm0"}) // the budget and one more, then by load
	is.Equal(ToCordon(vms, 3, time.Hour, 3*time.Second), []string{"vm0", "vm1", "vm2"})        // the chain is short
	vms[80].Cordoned, vms[81].Cordoned = true, true
	is.Equal(ToCordon(vms, 3, 24*time.Second, 3*time.Second), []string{"vm0"})
	is.Equal(ToCordon(vms, 2, 24*time.Second, 3*time.Second), nil)
}

// TestEvacuatedChainLeavesPlacesToOthers guards against VMs of an evacuated zone whose tasks belong to one step and
// that take all places, so that idle VMs wait for a chain of which few may go down at once.
func TestEvacuatedChainLeavesPlacesToOthers(t *testing.T) {
	is := is.New(t)
	var vms []Candidate
	for i := range 5 {
		vms = append(vms, Candidate{VM: fmt.Sprintf("evac-%d", i), LoadMillis: 1000, Evacuated: true, Steps: []LastingStep{{ID: "s", Budget: 1}}})
	}
	for i := range 5 {
		vms = append(vms, Candidate{VM: fmt.Sprintf("idle-%d", i)})
	}
	is.Equal(ToCordon(vms, 3, time.Hour, time.Minute), []string{"evac-0", "evac-1", "idle-0"})
}
