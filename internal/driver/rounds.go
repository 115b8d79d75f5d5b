package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
)

// roundsInterval is how often the summary of rounds is logged.
const roundsInterval = time.Second

// part identifies a part of the driver's round, for timing.
type part int

const (
	partCheck part = iota
	partPlan
	partCommit
	partWaves
	partPools
	partPace
	partCount
)

var partNames = [partCount]string{"check", "plan", "commit", "waves", "pools", "pace"}

// rounds summarizes the rounds of an interval, to show what delays starts and ends.
type rounds struct {
	reportedAt          time.Time
	count, starts, ends int
	longest, current    time.Duration
	parts               [partCount]time.Duration
}

// timePart runs a part of the round.
func (d *Driver) timePart(p part, work func()) {
	began := d.cfg.Now()
	work()
	took := d.cfg.Now().Sub(began)
	d.rounds.parts[p] += took
	d.rounds.current += took
	metrics.Observe(metrics.Name("driver_round_us", metrics.L("part", partNames[p])), took)
}

// report ends a round and, once per interval, logs the total time of each part.
func (r *rounds) report(now time.Time) {
	r.count++
	r.longest = max(r.longest, r.current)
	r.current = 0
	if now.Sub(r.reportedAt) < roundsInterval {
		return
	}
	ms := func(p part) int64 { return r.parts[p].Milliseconds() }
	event.DriverRounds.Emit(event.F("rounds", r.count), event.F("starts", r.starts), event.F("ends", r.ends), event.F("longest_ms", r.longest.Milliseconds()),
		event.F("check_ms", ms(partCheck)), event.F("plan_ms", ms(partPlan)), event.F("commit_ms", ms(partCommit)),
		event.F("waves_ms", ms(partWaves)), event.F("pools_ms", ms(partPools)), event.F("pace_ms", ms(partPace)))
	*r = rounds{reportedAt: now}
}
