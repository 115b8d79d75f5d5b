// Package outlast decides which targets a task should not be placed on while others have room, because it would not
// end there in time. It is pure. It is made for two load patterns: maintenance waves that empty VMs one after the other
// while tasks of several seconds arrive, whose runs are cut off when their VM goes, and single slow targets in a
// burst, on which a job misses an objective that it would keep elsewhere.
package outlast

import "time"

// minSlowness is the slowness up to which targets count as equally fast: run times vary that much on healthy ones.
const minSlowness = 1.3

// Target is what is known of a target that may be unsuitable.
type Target struct {
	// Leaves is set if the target may leave after LeavesIn.
	Leaves   bool
	LeavesIn time.Duration
	// Slowness is the factor by which runs take longer there; 1 is normal.
	Slowness float64
}

// Suspect reports whether the target may be unsuitable for some work.
func (t Target) Suspect() bool { return t.Leaves || t.Slowness > minSlowness }

// Work is what is known of a task.
type Work struct {
	// Expected is its run time on a normal target, Pessimistic the 0.9 quantile.
	Expected, Pessimistic time.Duration
	// Slack is how much later than expected it may end without making its job late.
	Slack time.Duration
}

// Reason returns why the work should not be placed on the target, or "".
func Reason(t Target, w Work) string {
	slowness := max(t.Slowness, 1)
	if t.Leaves && time.Duration(float64(w.Pessimistic)*slowness) > t.LeavesIn {
		return "it may run for longer than the target stays"
	}
	// A job that is late on every target gains nothing from waiting for a better one.
	if t.Slowness > minSlowness && w.Slack >= 0 && time.Duration(float64(w.Expected)*(slowness-1)) > w.Slack {
		return "it would miss its objective on a slow target"
	}
	return ""
}
