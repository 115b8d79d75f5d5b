// Package leases decides when the leases of a silent target have certainly lapsed, by what former
// leaders committed before they were lost. Load pattern: targets are lost beside leaders, in
// series, and a call without an answer may take effect seconds later.
package leases

import "time"

// Bounds are the time limits of leases and calls.
type Bounds struct {
	// Lease is the time after which a whole lease has certainly lapsed once its call took effect. ShortLease
	// is how long the lease at most lasts that a start grants beside one.
	Lease, ShortLease time.Duration
	// LateCall is how long a call without an answer may still take effect.
	LateCall time.Duration
}

// MaxUnrecordedStarts is the largest number of start calls for one run without a record that the target is
// granting.
const MaxUnrecordedStarts = 2

// Inherited is what former leaders committed about a target.
type Inherited struct {
	// Recorded is false if nothing was committed.
	Recorded bool
	// Granting is set if any number of calls that grant whole leases may have no answer.
	Granting bool
	// Suspended is set if nothing was granted since RecordedAt.
	Suspended bool
	// Unsettled is the number of placed runs whose start calls may have no answer.
	Unsettled int
	// RecordedAt is when the process that now leads had applied the record, by its own clock. Left is the time from
	// then until every lease that was granted before has lapsed.
	RecordedAt time.Time
	Left       time.Duration
}

// Lapse is when the leases that former leaders granted have certainly lapsed.
type Lapse struct {
	// At holds for runs whose start is settled, and UnsettledAt for the others.
	At, UnsettledAt time.Time
}

// Of returns when the leases of former leaders, who granted nothing after ledUntil, have lapsed.
func Of(in Inherited, ledUntil time.Time, b Bounds) Lapse {
	anyCall := func(sent time.Time) time.Time { return sent.Add(b.LateCall + b.Lease) }
	recorded := in.RecordedAt.Add(in.Left)
	switch {
	case !in.Recorded, in.Granting:
		return Lapse{anyCall(ledUntil), anyCall(ledUntil)}
	case in.Suspended:
		return Lapse{recorded, anyCall(in.RecordedAt)}
	}
	// A short lease takes effect on running tasks only while another one lasts.
	extended := recorded.Add(time.Duration(MaxUnrecordedStarts*in.Unsettled) * b.ShortLease)
	if last := anyCall(ledUntil); last.Before(extended) {
		extended = later(recorded, last)
	}
	return Lapse{extended, anyCall(ledUntil)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
