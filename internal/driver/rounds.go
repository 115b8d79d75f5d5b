package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
)

// roundsInterval spaces the lines about rounds.
const roundsInterval = time.Second

// part is a part of the loop's round.
type part int

const (
	partCheck part = iota
	partEnds
	partPlan
	partStarts
	partWaves
	partPools
	partPace
	parts
)

var partNames = [parts]string{"check", "ends", "plan", "starts", "waves", "pools", "pace"}

// rounds sums up the rounds of an interval: what holds up a start or an end.
type rounds struct {
	reported            time.Time
	count, starts, ends int
	longest, took       time.Duration
	parts               [parts]time.Duration
}

// timed runs a part of the round.
func (d *Driver) timed(p part, work func()) {
	began := d.cfg.Now()
	work()
	took := d.cfg.Now().Sub(began)
	d.rounds.parts[p] += took
	d.rounds.took += took
	metrics.Observe(metrics.Name("driver_round_us", metrics.L("part", partNames[p])), took)
}

// report ends a round, and writes one line an interval: the time of each part in all.
func (r *rounds) report(now time.Time) {
	r.count++
	r.longest = max(r.longest, r.took)
	r.took = 0
	if now.Sub(r.reported) < roundsInterval {
		return
	}
	ms := func(p part) int64 { return r.parts[p].Milliseconds() }
	event.DriverRounds.Emit(event.F("rounds", r.count), event.F("starts", r.starts), event.F("ends", r.ends), event.F("longest_ms", r.longest.Milliseconds()),
		event.F("check_ms", ms(partCheck)), event.F("ends_ms", ms(partEnds)), event.F("plan_ms", ms(partPlan)), event.F("starts_ms", ms(partStarts)),
		event.F("waves_ms", ms(partWaves)), event.F("pools_ms", ms(partPools)), event.F("pace_ms", ms(partPace)))
	*r = rounds{reported: now}
}
