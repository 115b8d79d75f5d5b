package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a VM of a wave whose maintenance has not been ordered.
type Candidate struct {
	VM string
	// LoadMillis is the CPU of the tasks on it, in thousandths of a core.
	LoadMillis int64
	// Cordoned VMs take no starts already.
	Cordoned bool
	// Evacuated VMs are in an availability zone that gets no starts and run no lasting tasks: their
	// maintenance takes no capacity.
	Evacuated bool
	// Steps are the lasting steps that run on it.
	Steps []LastingStep
}

// LastingStep is a lasting step of which at most Budget tasks may be away at once.
type LastingStep struct {
	ID     string
	Budget int
}

// ToCordon returns the VMs to cordon, so that want VMs of the wave are. Those in evacuated zones come first,
// then those with the least load. VMs that run tasks of one lasting step go down one after the other, each for
// about perVM, and would come last by their load: where such a chain takes a good part of the
// time left, as many of them as its budget allows, and one more, come before all others outside of evacuated zones.
// In evacuated zones, too, no more VMs of one step come first: the others would wait for them.
func ToCordon(vms []Candidate, want int, timeLeft, perVM time.Duration) []string {
	vms = slices.Clone(vms)
	slices.SortStableFunc(vms, func(a, b Candidate) int { return cmp.Compare(a.LoadMillis, b.LoadMillis) })
	cordoned := 0
	long, taken := longChains(vms, timeLeft, perVM), make(map[string]int)
	for _, vm := range vms {
		if !vm.Cordoned {
			continue
		}
		cordoned++
		for _, step := range vm.Steps {
			taken[step.ID]++
		}
	}
	var next []string
	take := func(vm *Candidate) {
		vm.Cordoned = true
		cordoned++
		for _, step := range vm.Steps {
			taken[step.ID]++
		}
		next = append(next, vm.VM)
	}
	mayTake := func(vm *Candidate) bool {
		return !slices.ContainsFunc(vm.Steps, func(s LastingStep) bool { return taken[s.ID] > max(s.Budget, 1) })
	}
	for i := range vms {
		if vm := &vms[i]; vm.Evacuated && mayTake(vm) && !vm.Cordoned && cordoned < want {
			take(vm)
		}
	}
	for i := range vms {
		vm := &vms[i]
		urgent := slices.ContainsFunc(vm.Steps, func(s LastingStep) bool { return long[s.ID] > 0 })
		if urgent && mayTake(vm) && !vm.Cordoned && cordoned < want {
			take(vm)
		}
	}
	for i := range vms {
		if vm := &vms[i]; !vm.Cordoned && cordoned < want {
			take(vm)
		}
	}
	return next
}

// SortForMaintenance sorts VMs by which may go down first: those in evacuated zones, and then those with
// lasting steps come before others, which could take their places at any time.
func SortForMaintenance(vms []Candidate) {
	slices.SortStableFunc(vms, func(a, b Candidate) int {
		if a.Evacuated != b.Evacuated {
			if a.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Compare(len(b.Steps), len(a.Steps))
	})
}

// CountEvacuated returns the number of VMs in evacuated zones.
func CountEvacuated(vms []Candidate) int {
	count := 0
	for i := range vms {
		if vms[i].Evacuated {
			count++
		}
	}
	return count
}

// Reserved returns how many of the VMs that may be down at once are kept for those of long
// chains: the others go down and come back by the dozen, and a chain would wait for them at each
// of its VMs. At most half are kept.
func Reserved(vms []Candidate, atOnce int, timeLeft, perVM time.Duration) int {
	reserved := 0
	for _, budget := range longChains(vms, timeLeft, perVM) {
		reserved += budget
	}
	return min(reserved, atOnce/2)
}

// longChains returns the lasting steps whose VMs take a good part of the time left one after
// the other, with how many may be down at once.
func longChains(vms []Candidate, timeLeft, perVM time.Duration) map[string]int {
	length, budgets := make(map[string]int), make(map[string]int)
	for _, vm := range vms {
		for _, step := range vm.Steps {
			length[step.ID]++
			budgets[step.ID] = max(step.Budget, 1)
		}
	}
	for id, budget := range budgets {
		rounds := (length[id] + budget - 1) / budget
		if time.Duration(rounds)*perVM < time.Duration(finishFraction/2*float64(timeLeft)) {
			delete(budgets, id)
		}
	}
	return budgets
}
