package replay

import (
	"fmt"
	"strings"
	"time"
)

// FleetHeader names the columns of FleetRow.
var FleetHeader = fmt.Sprintf("%-9s %5s %10s %9s %9s %5s %6s %6s %5s %12s %8s  %s",
	"run", "vms", "buffer VMh", "short VMh", "roll-out", "done", "failed", "moves", "away", "oldest", "commits", "last wave")

// FleetRow prints the figures of one run.
func FleetRow(name string, r FleetResult) string {
	return fmt.Sprintf("%-9s %5d %10.1f %9.1f %9s %5d %6d %6d %5d %12s %8d  %s %s",
		name, r.VMs, r.BufferVMHours, r.ShortVMHours, r.Rollout.Round(time.Second), r.Done, r.Failed, r.Moves, r.AwayVMs,
		r.MaintainedAge.Round(time.Minute), r.Commits, strings.ToLower(strings.TrimPrefix(r.Phase, "WAVE_PHASE_")), r.Reason)
}

// Check compares a run with the expected outcome and returns what differs.
func (e FleetExpect) Check(got, naive FleetResult) []string {
	var misses []string
	miss := func(wrong bool, format string, args ...any) {
		if wrong {
			misses = append(misses, fmt.Sprintf(format, args...))
		}
	}
	phase := strings.ToLower(strings.TrimPrefix(got.Phase, "WAVE_PHASE_"))
	miss(e.Waves != "" && phase != e.Waves, "the last wave is %s (%s), expected %s", phase, got.Reason, e.Waves)
	miss(e.Waves == "stopped" && got.Reason == "", "the wave stopped without a reason")
	miss(got.Failed > e.MaxFailed, "%d VMs failed, at most %d expected", got.Failed, e.MaxFailed)
	miss(e.MaxRollout.Duration > 0 && got.Rollout > e.MaxRollout.Duration, "roll-out took %s, at most %s expected", got.Rollout, e.MaxRollout)
	miss(above(got.Rollout.Hours(), naive.Rollout.Hours(), e.MaxRolloutRatio),
		"roll-out took %s, the baseline %s: above the ratio %.2f", got.Rollout, naive.Rollout, e.MaxRolloutRatio)
	miss(above(got.BufferVMHours, naive.BufferVMHours, e.MaxBufferRatio),
		"buffer of %.1f VM hours, the baseline %.1f: above the ratio %.2f", got.BufferVMHours, naive.BufferVMHours, e.MaxBufferRatio)
	miss(above(got.ShortVMHours, naive.ShortVMHours, e.MaxShortRatio),
		"short by %.1f VM hours, the baseline %.1f: above the ratio %.2f", got.ShortVMHours, naive.ShortVMHours, e.MaxShortRatio)
	miss(e.MaxMoves > 0 && got.Moves > e.MaxMoves, "%d moves, at most %d expected", got.Moves, e.MaxMoves)
	miss(e.NoMoves && got.Moves > 0, "%d moves, none expected", got.Moves)
	miss(got.Moves < e.MinMoves, "%d moves, at least %d expected", got.Moves, e.MinMoves)
	miss(e.AllHome && got.AwayVMs > 0, "%d lent VMs are still away", got.AwayVMs)
	miss(e.MaxMaintainedAge.Duration > 0 && got.MaintainedAge > e.MaxMaintainedAge.Duration,
		"a VM was not maintained for %s, at most %s expected", got.MaintainedAge, e.MaxMaintainedAge)
	return misses
}

// above reports whether got is above the stated share of the baseline.
func above(got, naive, ratio float64) bool { return ratio > 0 && got > naive*ratio }
