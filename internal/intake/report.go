package intake

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
	"sapphirering/internal/policy/eviction"
)

// eventInterval is the shortest time between two events of a kind.
const eventInterval = 10 * time.Second

// reason is why a connection was closed or a request refused.
type reason string

const (
	reasonMemory      reason = "memory"
	reasonDescriptors reason = "descriptors"
	reasonSlow        reason = "slow"
	reasonUnread      reason = "unread"
)

var closedEvents = map[reason]event.Event{
	reasonMemory: event.IntakeMemoryShort, reasonDescriptors: event.IntakeDescriptorsShort,
	reasonSlow: event.IntakeTooSlow, reasonUnread: event.IntakeAnswerUnread,
}

// limiter lets one event of a kind pass per eventInterval and counts the others.
type limiter struct {
	mu    sync.Mutex
	last  map[string]time.Time
	count map[string]int
}

var reports = limiter{last: make(map[string]time.Time), count: make(map[string]int)}

// pass reports whether an event may be written, and how many there were since the last one.
func (l *limiter) pass(kind string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[kind]++
	if last, ok := l.last[kind]; ok && time.Since(last) < eventInterval {
		return 0, false
	}
	count := l.count[kind]
	l.last[kind], l.count[kind] = time.Now(), 0
	return count, true
}

// closed counts and reports a connection that was closed.
func closed(why reason, c *Conn, h eviction.Holder) {
	gometrics.GetOrRegisterCounter(metrics.Name("intake_closed", metrics.L("reason", string(why)), metrics.L("listener", c.field)), nil).Inc(1)
	if count, ok := reports.pass("closed " + string(why)); ok {
		closedEvents[why].Emit(event.F("field", c.field), event.F("peer", c.RemoteAddr().String()),
			event.F("held_bytes", h.Bytes), event.F("stalled", h.Stalled.Round(time.Millisecond).String()), event.F("count", count))
	}
}

// refused counts and reports a connection or a request for which there was no room.
func refused(why reason, c *Conn, limit int) {
	gometrics.GetOrRegisterCounter(metrics.Name("intake_refused", metrics.L("reason", string(why)), metrics.L("listener", c.field)), nil).Inc(1)
	if count, ok := reports.pass("refused " + string(why)); ok {
		event.ConnectionRefused.Emit(event.F("field", c.field), event.F("peer", c.RemoteAddr().String()),
			event.F("reason", string(why)), event.F("limit", limit), event.F("count", count))
	}
}

var (
	memoryGauge      = gometrics.GetOrRegisterGauge("intake_memory_bytes", nil)
	connectionsGauge = gometrics.GetOrRegisterGauge("intake_connections", nil)
)

func updateGauges(held int64, connections int) {
	memoryGauge.Update(held)
	connectionsGauge.Update(int64(connections))
}
