package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sapphirering/internal/entry/queue"
	"sapphirering/internal/session"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

// holdInterval spaces looks for targets whose hold-back after a refusal or a
// suspicion ran out; everything else wakes the queue by itself.
const holdInterval = 25 * time.Millisecond

// lines holds the queue of each pool.
type lines struct {
	server *Server

	mu    sync.Mutex
	pools map[string]*line
	// watching is true while a goroutine wakes the queues.
	watching bool
}

// line is the locked queue of one pool.
type line struct {
	mu    sync.Mutex
	queue *queue.Queue
}

// place is where a granted request runs: a slot of this zone, or another zone.
type place struct {
	unit *session.Unit
	slot *target.Slot
	item *queue.Item
	line *line
	from time.Time
}

func newLines(server *Server) *lines {
	return &lines{server: server, pools: make(map[string]*line)}
}

func (l *lines) pool(name string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.pools[name]
	if found == nil {
		found = &line{queue: queue.New()}
		l.pools[name] = found
	}
	return found
}

// wait queues the request until it is granted a place. unit is what an earlier
// try of the request still holds; such a request goes before all others.
func (l *lines) wait(ctx context.Context, req *request, unit *session.Unit, avoid map[string]bool) (*place, *Refusal) {
	p := &place{unit: unit, line: l.pool(req.queue.Pool)}
	granted := make(chan struct{})
	p.item = l.item(ctx, req, p, avoid, granted)
	now := l.server.cfg.Now()
	p.line.mu.Lock()
	if unit != nil {
		p.line.queue.PushAgain(p.item, now)
	} else if err := p.line.queue.Push(p.item, now); err != nil {
		p.line.mu.Unlock()
		return nil, queueRefusal(err)
	}
	p.line.queue.Pump(now)
	p.line.mu.Unlock()
	select {
	case <-granted:
		return p, nil
	default:
	}
	done := l.server.waiting.add(req.team, req.class == statepb.Class_CLASS_URGENT)
	defer done()
	l.watch()
	select {
	case <-granted:
		return p, nil
	case <-ctx.Done():
	}
	return l.give(p)
}

// give takes a request out whose time is over, unless it was just granted.
func (l *lines) give(p *place) (*place, *Refusal) {
	p.line.mu.Lock()
	defer p.line.mu.Unlock()
	if p.item.Grant == nil {
		return p, nil
	}
	p.line.queue.Remove(p.item)
	return nil, refuse(http.StatusServiceUnavailable, ReasonDeadline, "no unit of the team's upper limit or no slot of the pool became free before the deadline")
}

func (l *lines) item(ctx context.Context, req *request, p *place, avoid map[string]bool, granted chan struct{}) *queue.Item {
	deadline, _ := ctx.Deadline()
	item := &queue.Item{
		Team: req.team, Weight: req.weight, Class: queueClass(req.class), Queue: req.queue.Name,
		MaxQueued: req.queue.MaxQueued, Deadline: deadline,
	}
	item.Grant = func() queue.Verdict {
		verdict := l.server.grant(req, p, avoid)
		if verdict == queue.Granted {
			p.from = l.server.cfg.Now()
			item.Grant = nil
			close(granted)
		}
		return verdict
	}
	return item
}

// grant takes a unit of the team and a slot, or room in another zone. The unit
// comes first: giving a slot back wakes the queues, which would ask again.
func (s *Server) grant(req *request, p *place, avoid map[string]bool) queue.Verdict {
	held := p.unit != nil
	if !held {
		p.unit = s.cfg.Holder.Ledger().Acquire(req.team, req.open)
	}
	if p.unit == nil {
		return queue.NoUnit
	}
	p.slot = s.cfg.Registry.Take(target.Need{Pool: req.queue.Pool, Avoid: avoid, Probe: req.repeatable})
	if p.slot != nil || s.cfg.Forward != nil && s.cfg.Forward.MayHaveFreeSlot(req.queue.Pool) {
		return queue.Granted
	}
	if !held {
		p.unit.Release()
		p.unit = nil
	}
	return queue.NoSlot
}

// end gives the slot back and tells the queue how long it was held.
func (l *lines) end(p *place, ran bool) {
	if p.slot != nil {
		p.slot.Release()
	}
	now := l.server.cfg.Now()
	p.line.mu.Lock()
	p.line.queue.Done(p.item, now.Sub(p.from), ran)
	p.line.queue.Pump(now)
	p.line.mu.Unlock()
}

// wake grants what can be granted in every pool.
func (l *lines) wake() bool {
	l.mu.Lock()
	pools := make([]*line, 0, len(l.pools))
	for _, found := range l.pools {
		pools = append(pools, found)
	}
	l.mu.Unlock()
	waiting := false
	for _, found := range pools {
		found.mu.Lock()
		if found.queue.Len() > 0 {
			found.queue.Pump(l.server.cfg.Now())
		}
		waiting = waiting || found.queue.Len() > 0
		found.mu.Unlock()
	}
	return waiting
}

// watch wakes the queues, while anything waits, at each change of the targets
// and of the committed state (reservations, pools, phases).
func (l *lines) watch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watching {
		return
	}
	l.watching = true
	go l.watchLoop()
}

func (l *lines) watchLoop() {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	for {
		targets, committed := l.server.cfg.Registry.Changed(), l.server.cfg.Machine.Changed()
		if !l.wake() && l.stopWatching() {
			return
		}
		select {
		case <-targets:
		case <-committed:
		case <-ticker.C:
		}
	}
}

// stopWatching ends the watch unless a request came in since the last wake.
func (l *lines) stopWatching() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, found := range l.pools {
		found.mu.Lock()
		waiting := found.queue.Len() > 0
		found.mu.Unlock()
		if waiting {
			return false
		}
	}
	l.watching = false
	return true
}

func queueClass(class statepb.Class) queue.Class {
	switch class {
	case statepb.Class_CLASS_URGENT:
		return queue.Urgent
	case statepb.Class_CLASS_LONG:
		return queue.Long
	}
	return queue.Normal
}

func queueRefusal(err error) *Refusal {
	var full *queue.FullError
	if errors.As(err, &full) {
		refusal := refuse(http.StatusTooManyRequests, ReasonOverload, err.Error())
		refusal.retryAfter = full.RetryAfter
		return refusal
	}
	refusal := refuse(http.StatusServiceUnavailable, ReasonDeadline, err.Error())
	var late *queue.LateError
	if errors.As(err, &late) {
		refusal.retryAfter = late.RetryAfter
	}
	return refusal
}
