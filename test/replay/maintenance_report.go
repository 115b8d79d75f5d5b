package replay

import (
	"fmt"
	"strings"
	"time"
)

// FleetHeader names the columns of FleetRow.
var FleetHeader = fmt.Sprintf("%-9s %5s %10s %9s %9s %5s %6s %6s %5s %12s %8s  %s",
	"run", "vms", "buffer VMh", "short VMh", "roll-out", "done", "failed", "moves", "away", "oldest", "commits", "last wave")

// FleetRow formats the figures of one run.
func FleetRow(name string, r FleetResult) string {
	return fmt.Sprintf("%-9s %5d %10.1f %9.1f %9s %5d %6d %6d %5d %12s %8d  %s %s",
		name, r.VMs, r.BufferVMHours, r.ShortVMHours, r.Rollout.Round(time.Second), r.Done, r.Failed, r.Moves, r.LentVMs,
		r.MaintainedAge.Round(time.Minute), r.Commits, strings.ToLower(strings.TrimPrefix(r.Phase, "WAVE_PHASE_")), r.Reason)
}

// Check compares a run with the expected outcome and returns the differences.
func (e FleetExpect) Check(got, naive FleetResult) []string {
	var differences []string
	addIf := func(wrong bool, format string, args ...any) {
		if wrong {
			differences = append(differences, fmt.Sprintf(format, args...))
		}
	}
	phase := strings.ToLower(strings.TrimPrefix(got.Phase, "WAVE_PHASE_"))
	addIf(e.Waves != "" && phase != e.Waves, "the last wave is %s (%s), expected %s", phase, got.Reason, e.Waves)
	addIf(e.Waves == "stopped" && got.Reason == "", "the wave stopped without a reason")
	addIf(got.Failed > e.MaxFailed, "%d VMs failed, at most %d expected", got.Failed, e.MaxFailed)
	addIf(e.MaxRollout.Duration > 0 && got.Rollout > e.MaxRollout.Duration, "roll-out took %s, at most %s expected", got.Rollout, e.MaxRollout)
	addIf(exceedsRatio(got.Rollout.Hours(), naive.Rollout.Hours(), e.MaxRolloutRatio),
		"roll-out took %s, the baseline %s: above the ratio %.2f", got.Rollout, naive.Rollout, e.MaxRolloutRatio)
	addIf(exceedsRatio(got.BufferVMHours, naive.BufferVMHours, e.MaxBufferRatio),
		"buffer of %.1f VM hours, the baseline %.1f: above the ratio %.2f", got.BufferVMHours, naive.BufferVMHours, e.MaxBufferRatio)
	addIf(exceedsRatio(got.ShortVMHours, naive.ShortVMHours, e.MaxShortRatio),
		"short by %.1f VM hours, the baseline %.1f: above the ratio %.2f", got.ShortVMHours, naive.ShortVMHours, e.MaxShortRatio)
	addIf(e.MaxMoves > 0 && got.Moves > e.MaxMoves, "%d moves, at most %d expected", got.Moves, e.MaxMoves)
	addIf(e.NoMoves && got.Moves > 0, "%d moves, none expected", got.Moves)
	addIf(got.Moves < e.MinMoves, "%d moves, at least %d expected", got.Moves, e.MinMoves)
	addIf(e.AllReturned && got.LentVMs > 0, "%d lent VMs are still away", got.LentVMs)
	addIf(e.MaxMaintainedAge.Duration > 0 && got.MaintainedAge > e.MaxMaintainedAge.Duration,
		"a VM was not maintained for %s, at most %s expected", got.MaintainedAge, e.MaxMaintainedAge)
	return differences
}

// exceedsRatio reports whether got is above ratio times the baseline. A ratio of zero is not checked.
func exceedsRatio(got, naive, ratio float64) bool { return ratio > 0 && got > naive*ratio }
