package server

import (
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/replica"
)

const (
	refusalInterval = 10 * time.Second
	maxRefusals     = 256
)

// refusals reports refused members, each at most once per refusalInterval: a removed daemon
// that still runs reconnects many times a second.
type refusals struct {
	mu           sync.Mutex
	lastReported map[string]time.Time
}

func (r *refusals) report(member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastReported[member]) < refusalInterval {
		return
	}
	if r.lastReported == nil || len(r.lastReported) >= maxRefusals {
		r.lastReported = make(map[string]time.Time)
	}
	r.lastReported[member] = now
	event.UnknownMember.Emit(event.F("member", member))
}

// admits reports whether streams of a member are served. Removed members are refused by all
// daemons. Members that are not in the member list are refused by the leader only: a
// follower's list may be older than that of a new leader.
func (d *Daemon) admits(member string) bool {
	list := d.leader.membership.Load()
	if replica.WasRemoved(list, member) {
		return false
	}
	return !d.leader.isLocal() || replica.FindMember(list, member) != nil
}
