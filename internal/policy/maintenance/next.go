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
	// Steps are the lasting steps that run on it.
	Steps []LastingStep
}

// LastingStep is a lasting step of which at most Budget tasks may be away at once.
type LastingStep struct {
	ID     string
	Budget int
}

// Next returns the VMs to cordon, so that want VMs of the wave are. Those with the least load
// come first. VMs that run tasks of one lasting step go down one after the other, each for
// about perVM, and would come last by their load: where such a chain takes a good part of the
// time left, as many of them as its budget allows, and one more, come before all others.
func Next(vms []Candidate, want int, timeLeft, perVM time.Duration) []string {
	vms = slices.Clone(vms)
	slices.SortStableFunc(vms, func(a, b Candidate) int { return cmp.Compare(a.LoadMillis, b.LoadMillis) })
	cordoned := 0
	length, taken := make(map[string]int), make(map[string]int)
	for _, vm := range vms {
		if vm.Cordoned {
			cordoned++
		}
		for _, step := range vm.Steps {
			length[step.ID]++
			if vm.Cordoned {
				taken[step.ID]++
			}
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
	for i := range vms {
		vm := &vms[i]
		urgent := slices.ContainsFunc(vm.Steps, func(s LastingStep) bool {
			return chain(length[s.ID], s.Budget, perVM) >= time.Duration(finishFraction/2*float64(timeLeft))
		})
		room := !slices.ContainsFunc(vm.Steps, func(s LastingStep) bool { return taken[s.ID] > max(s.Budget, 1) })
		if urgent && room && !vm.Cordoned && cordoned < want {
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

// Order sorts VMs that may go down next: those with lasting steps first, since others could take
// their places at any time.
func Order(vms []Candidate) {
	slices.SortStableFunc(vms, func(a, b Candidate) int { return cmp.Compare(len(b.Steps), len(a.Steps)) })
}

// chain returns how long the maintenance of VMs takes of which budget may be down at once.
func chain(vms, budget int, perVM time.Duration) time.Duration {
	return time.Duration((vms+max(budget, 1)-1)/max(budget, 1)) * perVM
}
