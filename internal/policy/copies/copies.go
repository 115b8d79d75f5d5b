// Package copies decides which runs get a copy, a second run of the same task. It is pure.
// It is made for two faults. An availability zone becomes unreachable or a target stops: until
// the leases of its runs end, several times the run time of a task, nobody knows whether they
// continue. Or a target becomes so slow that a new run elsewhere ends first, and its job in
// time. Only steps whose callers allow it get copies, and only room that no waiting task needs
// is used.
package copies

import "time"

const (
	// silenceBound is how long an answer of a target must have been outstanding: longer than
	// calls take while the target or its link is only busy.
	silenceBound = 300 * time.Millisecond
	// minGainFactor times the expected time of a new run is what a run must still take, at
	// least, to get a copy: a copy doubles the cost of its work, and its own run time is not
	// known exactly.
	minGainFactor = 1.5
	// startEndMargin covers the delays of the new run's start and of the report of its end.
	startEndMargin = 300 * time.Millisecond
	// minWorkedShare of the expected run time, but at least minWorked, is the time after which
	// the progress of a run shows its speed: targets report whole percents, late by the time
	// between two listings.
	minWorkedShare = 0.5
	minWorked      = 250 * time.Millisecond
	// percentStep is by how many percent a report may be too low.
	percentStep = 1
)

// Run is what is known of one run.
type Run struct {
	// Expected is the learned run time of the task on a healthy target.
	Expected time.Duration
	// Pessimistic is the 0.9 quantile of the run time there; 0 if quantiles are not used.
	Pessimistic time.Duration
	// Silent is how long an answer of the target has been outstanding; 0 if none is.
	Silent time.Duration
	// Worked is how long the run had been known to work when it last showed progress,
	// and Percent its progress by then.
	Worked  time.Duration
	Percent float64
	// Quiet is the time since that progress.
	Quiet time.Duration
	// Slack is how long the run may still take without making its job late.
	Slack time.Duration
	// TargetSlowness is the factor by which all known runs of the target take longer than
	// expected; 1 or less is normal. It distinguishes a slow target from a long task.
	TargetSlowness float64
}

// Reason returns why a run should get a copy, or "" if it should not.
func Reason(r Run) string {
	if r.Silent > silenceBound {
		return "its target is silent"
	}
	if r.MissesSlack() && r.remaining() > r.minGain()+startEndMargin {
		return "it is slower than a new run"
	}
	return ""
}

// MissesSlack reports whether the run makes its job late at its own speed.
func (r Run) MissesSlack() bool { return r.speedKnown() && r.remaining() > r.Slack }

// Slowness returns the factor by which the run takes longer than expected, once its speed is
// known.
func (r Run) Slowness() (factor float64, known bool) {
	if !r.speedKnown() || r.Expected <= 0 {
		return 0, false
	}
	return float64(r.total()) / float64(r.Expected), true
}

// speedKnown reports whether the run has worked for long enough to show its speed.
func (r Run) speedKnown() bool {
	return r.Worked >= max(minWorked, time.Duration(minWorkedShare*float64(r.Expected)))
}

// total returns how long the run takes in all at its own speed.
func (r Run) total() time.Duration {
	return time.Duration(float64(r.Worked) * 100 / (r.Percent + percentStep))
}

// remaining returns how long the run still takes at its own speed.
func (r Run) remaining() time.Duration { return r.total() - r.Worked - r.Quiet }

// minGain returns how long the run must still take, apart from startEndMargin, to get a copy. If the slowness of its
// target explains all of its delay, the new run's time is only known by its queue, and by its quantile.
func (r Run) minGain() time.Duration {
	if r.Pessimistic > 0 && r.newRunTime() == r.Expected {
		return r.Pessimistic
	}
	return time.Duration(minGainFactor * float64(r.newRunTime()))
}

// newRunTime returns how long a new run takes on a healthy target: what this run takes beyond
// the slowness of its target is due to the task itself.
func (r Run) newRunTime() time.Duration {
	return max(r.Expected, time.Duration(float64(r.total())/max(r.TargetSlowness, 1)))
}
