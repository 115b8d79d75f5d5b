package driver

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/targetcalls"
)

// renewalLead is how long before a common renewal a target is listed at the latest: a renewal follows
// the answer to another call, which takes up to some milliseconds.
const renewalLead = 40 * time.Millisecond

// share returns what the calls to targets share.
func (d *Driver) share() targetcalls.Share {
	return targetcalls.Share{Connections: d.cfg.Limits.TargetConnections, Targets: len(d.links)}
}

// noteWaitOver records the end of a listing that could wait.
func (d *Driver) noteWaitOver() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting--
}

// reportShare reports that calls are limited for lack of connections, or no longer.
func (d *Driver) reportShare() {
	gometrics.GetOrRegisterGauge("driver_waiting_listings", gometrics.DefaultRegistry).Update(int64(d.waiting))
	short := d.share().Short()
	if short == d.callsShort {
		return
	}
	d.callsShort = short
	fields := []event.Field{event.F("targets", len(d.links)), event.F("connections", d.cfg.Limits.TargetConnections)}
	if short {
		event.TargetCallsLimited.Emit(fields...)
	} else {
		event.TargetCallsUnlimited.Emit(fields...)
	}
}
