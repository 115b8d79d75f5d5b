package maintenance

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Period is the longest time between two maintenances of a VM.
const Period = 21 * 24 * time.Hour

// maxForecastRounds limits the work of one forecast.
const maxForecastRounds = 10_000

// Forecast is the expected course of a wave if nothing fails.
type Forecast struct {
	// Finish is when the last VM is done; zero if the wave gets stuck.
	Finish time.Time
	Rounds int
	// Feasible is false if the wave gets stuck or ends after its deadline.
	Feasible bool
	// Reason tells when the wave finishes, or why it can't finish by its deadline.
	Reason string
}

// Predict simulates the wave by calling MakePlan in virtual time: every VM that is
// taken out is done after one cycle. lendable is the number of spare VMs that other
// pools can lend.
func Predict(s Snapshot, wave Wave, cycle time.Duration, lendable int) Forecast {
	s.VMs = append([]VM(nil), s.VMs...)
	s.Waves = append(append([]Wave(nil), s.Waves...), wave)
	for i := range s.Waves {
		s.Waves[i].Deadline = time.Time{} // so that the forecast goes on past the deadlines
	}
	end := s.Now
	for round := range maxForecastRounds {
		s.Now = end
		plan := MakePlan(s)
		if waveEnded(plan, wave.ID) {
			return finishedForecast(wave, end, round, cycle)
		}
		moved := takeOut(s.VMs, plan.Starts)
		if moved == 0 && !anyOut(s.VMs) {
			if len(plan.SpareRequests) == 0 || lendable == 0 {
				return stuckForecast(wave, plan)
			}
			lendable--
			s.VMs = append(s.VMs, VM{Name: fmt.Sprintf("spare %d", lendable), Pool: plan.SpareRequests[0].Pool})
		}
		end = end.Add(cycle)
		bringBack(s.VMs, s.Waves)
	}
	return Forecast{Reason: "this wave has too many rounds to forecast"}
}

func waveEnded(plan Plan, id string) bool {
	for _, end := range plan.Ends {
		if end.Wave == id {
			return true
		}
	}
	return false
}

// takeOut marks the VMs of starts as taken out by their waves.
func takeOut(vms []VM, starts []Start) int {
	wave := make(map[string]string, len(starts))
	for _, start := range starts {
		wave[start.VM] = start.Wave
	}
	for i := range vms {
		if id := wave[vms[i].Name]; id != "" {
			vms[i].Condition, vms[i].Wave = Out, id
		}
	}
	return len(starts)
}

// anyOut reports whether a wave has a VM out.
func anyOut(vms []VM) bool {
	for i := range vms {
		if vms[i].Wave != "" {
			return true
		}
	}
	return false
}

// bringBack makes every VM that a wave has out available and done.
func bringBack(vms []VM, waves []Wave) {
	for i := range vms {
		id := vms[i].Wave
		if id == "" {
			continue
		}
		vms[i].Condition, vms[i].Wave = Available, ""
		for j := range waves {
			if waves[j].ID == id {
				waves[j].Done = append(waves[j].Done[:len(waves[j].Done):len(waves[j].Done)], vms[i].Name)
			}
		}
	}
}

func finishedForecast(w Wave, finish time.Time, rounds int, cycle time.Duration) Forecast {
	f := Forecast{Finish: finish, Rounds: rounds, Feasible: true}
	f.Reason = fmt.Sprintf("the wave finishes in about %d rounds of %s, at %s", rounds, cycle, finish.UTC().Format(time.RFC3339))
	if !w.Deadline.IsZero() && finish.After(w.Deadline) {
		f.Feasible = false
		f.Reason = fmt.Sprintf("this wave cannot finish by the deadline because it needs about %d rounds of %s, until %s; the deadline is %s",
			rounds, cycle, finish.UTC().Format(time.RFC3339), w.Deadline.UTC().Format(time.RFC3339))
	}
	return f
}

// stuckForecast lists the distinct reasons why VMs of the wave wait.
func stuckForecast(w Wave, plan Plan) Forecast {
	counts := make(map[string]int)
	for _, wait := range plan.Waits {
		if wait.Wave == w.ID {
			counts[wait.Reason]++
		}
	}
	reasons := make([]string, 0, len(counts))
	for reason, n := range counts {
		reasons = append(reasons, fmt.Sprintf("%d VMs wait: %s", n, reason))
	}
	sort.Strings(reasons)
	return Forecast{Reason: "this wave cannot finish by the deadline because " + strings.Join(reasons, "; ")}
}

// DueVM is a VM with the time by which it must be maintained.
type DueVM struct {
	VM  VM
	Due time.Time
}

// Due lists all VMs, the earliest due first.
func Due(vms []VM) []DueVM {
	due := make([]DueVM, 0, len(vms))
	for _, vm := range vms {
		due = append(due, DueVM{VM: vm, Due: vm.Maintained.Add(Period)})
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].Due.Before(due[j].Due) })
	return due
}

// PerDay returns how many VMs must be maintained each day to keep to Period.
func PerDay(vms int) int {
	days := int(Period / (24 * time.Hour))
	return (vms + days - 1) / days
}
