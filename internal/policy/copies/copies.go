// Package copies decides which runs get a second one beside them. It is pure. The load it
// answers: a zone is cut off or a target stops, so that nobody knows whether its runs go
// on until their leases end, several times the run time of a task; and a target turns so
// slow that a task which starts anew elsewhere ends first, and its job in time. Only steps whose callers allow
// copies have them, and only room that no waiting task takes is used.
package copies

import "time"

const (
	// silenceBound is how long a target must have owed an answer: longer than calls take
	// while a target or its link is only busy.
	silenceBound = 300 * time.Millisecond
	// lagFactor is how many expected run times the rest of a run must still take: a copy
	// pays twice for its work, and its own run time is not known exactly.
	lagFactor = 1.5
	// lagMargin covers the way of a start and of its end.
	lagMargin = 300 * time.Millisecond
	// seenShare is the part of the expected run time, and seenLeast the time, after which
	// the progress of a run tells its speed: targets report whole percents, late by the
	// time between two listings.
	seenShare = 0.5
	seenLeast = 250 * time.Millisecond
	// percentStep is what a report may lag behind.
	percentStep = 1
)

// Run is what is known of one run.
type Run struct {
	// Expected is the learned run time of the task on a sound target.
	Expected time.Duration
	// Silent is how long the target has owed an answer; 0 if it owes none.
	Silent time.Duration
	// Worked is how long the run had been known to work when it last showed progress,
	// and Percent how far it had come by then.
	Worked  time.Duration
	Percent float64
	// Quiet is how long ago that was.
	Quiet time.Duration
	// Slack is how long the run may still take without making its job late.
	Slack time.Duration
	// TargetSlowness is by how much all runs known of the target take longer than
	// expected; 1 or less is normal. Without it the task itself may be the long one.
	TargetSlowness float64
}

// Reason returns why a run should get a copy, or "".
func Reason(r Run) string {
	if r.Silent > silenceBound {
		return "its target is silent"
	}
	if r.MissesSlack() && r.rest() > time.Duration(lagFactor*float64(r.elsewhere()))+lagMargin {
		return "it is slower than a new run"
	}
	return ""
}

// MissesSlack reports whether the run makes its job late at its own speed.
func (r Run) MissesSlack() bool { return r.tells() && r.rest() > r.Slack }

// Slowness returns by how much the run takes longer than expected, once that shows.
func (r Run) Slowness() (factor float64, known bool) {
	if !r.tells() || r.Expected <= 0 {
		return 0, false
	}
	return float64(r.whole()) / float64(r.Expected), true
}

// tells reports whether the run has worked for long enough to tell its speed.
func (r Run) tells() bool {
	return r.Worked >= max(seenLeast, time.Duration(seenShare*float64(r.Expected)))
}

// whole is how long the run takes in all at its own speed, rest how long it still does.
func (r Run) whole() time.Duration {
	return time.Duration(float64(r.Worked) * 100 / (r.Percent + percentStep))
}

func (r Run) rest() time.Duration { return r.whole() - r.Worked - r.Quiet }

// elsewhere is how long a new run takes on a sound target: what this one takes beyond the
// slowness of its target is the task's own.
func (r Run) elsewhere() time.Duration {
	return max(r.Expected, time.Duration(float64(r.whole())/max(r.TargetSlowness, 1)))
}
