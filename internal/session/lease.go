package session

import "time"

// RenewedAge returns the time since the last successful renewal was sent, and
// false before the first one and after a session was closed or dropped as expired.
func (h *Holder) RenewedAge() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.validUntil.IsZero() {
		return 0, false
	}
	return h.cfg.Now().Sub(h.validUntil.Add(-h.cfg.Lease)), true
}
