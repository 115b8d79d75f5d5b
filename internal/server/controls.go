package server

import (
	"hash/fnv"
	"sync"
	"time"
)

// controlHeardWithin is how long after a core daemon last asked for the member list targets are told to
// announce themselves there. It asks every 0.4 s; a target whose daemon is lost needs a second to notice.
const controlHeardWithin = 2 * time.Second

// controlAddresses holds the addresses at which core daemons other than the leader take announcements.
type controlAddresses struct {
	mu      sync.Mutex
	members map[string]controlAddress
}

type controlAddress struct {
	address string
	heardAt time.Time
}

// note records that a daemon was heard, and its address. Daemons of older versions state none.
func (c *controlAddresses) note(member, address string, now time.Time) {
	if member == "" || address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[string]controlAddress)
	}
	c.members[member] = controlAddress{address, now}
}

// addressFor returns the address for a target's announcements: that of a daemon that was heard lately, spread
// by rendezvous hashing, so that only the targets of a lost daemon move. Without one it is the leader's own.
func (c *controlAddresses) addressFor(target, own string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, highest := own, uint64(0)
	for member, control := range c.members {
		if now.Sub(control.heardAt) > controlHeardWithin {
			delete(c.members, member)
			continue
		}
		if control.address == own {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(target + " " + control.address)) // never fails
		if sum := mix(h.Sum64()); chosen == own || sum > highest {
			chosen, highest = control.address, sum
		}
	}
	return chosen
}

// mix spreads differences in the last bytes, which FNV leaves in the low bits, over all bits.
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
