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

// refusals reports refused members, each at most once per refusalInterval: a
// removed daemon that still runs dials again many times a second.
type refusals struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (r *refusals) note(member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.last[member]) < refusalInterval {
		return
	}
	if r.last == nil || len(r.last) >= maxRefusals {
		r.last = make(map[string]time.Time)
	}
	r.last[member] = now
	event.UnknownMember.Emit(event.F("member", member))
}

// admits reports whether streams of a member are served. Removed members are
// refused everywhere. Members that the list does not name are refused by the
// leader only: the list of a follower may lag behind that of a new leader.
func (d *Daemon) admits(member string) bool {
	list := d.leader.membership.Load()
	if replica.WasRemoved(list, member) {
		return false
	}
	return !d.leader.isLocal() || replica.FindMember(list, member) != nil
}
