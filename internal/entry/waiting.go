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

// backoffPollInterval is how often waiting requests are tried again because a
// target's back-off (busyBackoff, suspectBackoff) may have ended: that gives no
// signal, unlike every other change that may let them run.
const backoffPollInterval = 25 * time.Millisecond

// poolQueues holds the queue of each pool.
type poolQueues struct {
	server *Server

	mu    sync.Mutex
	pools map[string]*poolQueue
	// watcherRunning is true while watchLoop runs.
	watcherRunning bool
}

// poolQueue is the queue of one pool with its lock.
type poolQueue struct {
	mu    sync.Mutex
	queue *queue.Queue
}

// allocation is what a granted request runs with: a unit, and a slot of this
// zone or, if slot is nil, a slot of another zone.
type allocation struct {
	unit      *session.Unit
	slot      *target.Slot
	item      *queue.Item
	pool      *poolQueue
	grantedAt time.Time
}

func newPoolQueues(server *Server) *poolQueues {
	return &poolQueues{server: server, pools: make(map[string]*poolQueue)}
}

func (q *poolQueues) queueOf(name string) *poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := q.pools[name]
	if found == nil {
		found = &poolQueue{queue: queue.New()}
		q.pools[name] = found
	}
	return found
}

// wait queues the request until it is granted an allocation. unit is nil or held
// since an earlier try of the request; such a request goes before all others.
func (q *poolQueues) wait(ctx context.Context, req *request, unit *session.Unit, avoid map[string]bool) (*allocation, *Refusal) {
	alloc := &allocation{unit: unit, pool: q.queueOf(req.queue.Pool)}
	granted := make(chan struct{})
	alloc.item = q.newItem(ctx, req, alloc, avoid, granted)
	now := q.server.cfg.Now()
	alloc.pool.mu.Lock()
	if unit != nil {
		alloc.pool.queue.Requeue(alloc.item, now)
	} else if err := alloc.pool.queue.Push(alloc.item, now); err != nil {
		alloc.pool.mu.Unlock()
		return nil, queueRefusal(err)
	}
	alloc.pool.queue.GrantWaiting(now)
	alloc.pool.mu.Unlock()
	select {
	case <-granted:
		return alloc, nil
	default:
	}
	done := q.server.waitCounts.add(req.team, req.class == statepb.Class_CLASS_URGENT)
	defer done()
	q.startWatcher()
	select {
	case <-granted:
		return alloc, nil
	case <-ctx.Done():
	}
	return q.stopWaiting(alloc)
}

// stopWaiting removes a request whose context has ended from its queue, unless
// it was granted in the meantime.
func (q *poolQueues) stopWaiting(alloc *allocation) (*allocation, *Refusal) {
	alloc.pool.mu.Lock()
	defer alloc.pool.mu.Unlock()
	if alloc.item.Grant == nil {
		return alloc, nil
	}
	alloc.pool.queue.Remove(alloc.item)
	return nil, refuse(http.StatusServiceUnavailable, ReasonDeadline, "the deadline passed before both a unit of the team's upper limit and a slot of the pool were free")
}

func (q *poolQueues) newItem(ctx context.Context, req *request, alloc *allocation, avoid map[string]bool, granted chan struct{}) *queue.Item {
	deadline, _ := ctx.Deadline()
	item := &queue.Item{
		Team: req.team, Weight: req.weight, Class: queueClass(req.class), Queue: req.queue.Name,
		MaxQueued: req.queue.MaxQueued, Deadline: deadline,
	}
	item.Grant = func() queue.GrantResult {
		result := q.server.tryGrant(req, alloc, avoid)
		if result == queue.Granted {
			alloc.grantedAt = q.server.cfg.Now()
			item.Grant = nil
			close(granted)
		}
		return result
	}
	return item
}

// tryGrant takes a unit of the team, then a slot of this zone or, without taking
// it, a slot that may be free in another zone. The unit comes first: releasing a
// slot for want of a unit would signal the watcher, which would try again.
func (s *Server) tryGrant(req *request, alloc *allocation, avoid map[string]bool) queue.GrantResult {
	held := alloc.unit != nil
	if !held {
		alloc.unit = s.cfg.Holder.Ledger().Acquire(req.team, req.open)
	}
	if alloc.unit == nil {
		return queue.NoUnit
	}
	alloc.slot = s.cfg.Registry.Take(target.SlotFilter{Pool: req.queue.Pool, Avoid: avoid, Probe: req.repeatable})
	if alloc.slot != nil || s.cfg.Forward != nil && s.cfg.Forward.MayHaveFreeSlot(req.queue.Pool) {
		return queue.Granted
	}
	if !held {
		alloc.unit.Release()
		alloc.unit = nil
	}
	return queue.NoSlot
}

// finish releases the slot and tells the queue how long it was held.
func (q *poolQueues) finish(alloc *allocation, ran bool) {
	if alloc.slot != nil {
		alloc.slot.Release()
	}
	now := q.server.cfg.Now()
	alloc.pool.mu.Lock()
	alloc.pool.queue.Done(alloc.item, now.Sub(alloc.grantedAt), ran)
	alloc.pool.queue.GrantWaiting(now)
	alloc.pool.mu.Unlock()
}

// grantWaiting grants what can be granted in every pool and reports whether
// requests still wait.
func (q *poolQueues) grantWaiting() bool {
	q.mu.Lock()
	pools := make([]*poolQueue, 0, len(q.pools))
	for _, pool := range q.pools {
		pools = append(pools, pool)
	}
	q.mu.Unlock()
	waiting := false
	for _, pool := range pools {
		pool.mu.Lock()
		if pool.queue.Len() > 0 {
			pool.queue.GrantWaiting(q.server.cfg.Now())
		}
		waiting = waiting || pool.queue.Len() > 0
		pool.mu.Unlock()
	}
	return waiting
}

// startWatcher starts watchLoop unless it runs.
func (q *poolQueues) startWatcher() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.watcherRunning {
		return
	}
	q.watcherRunning = true
	go q.watchLoop()
}

// watchLoop grants waiting requests, while there are any, at each change of the
// targets and of the committed state (reservations, pools, phases).
func (q *poolQueues) watchLoop() {
	ticker := time.NewTicker(backoffPollInterval)
	defer ticker.Stop()
	for {
		targets, committed := q.server.cfg.Registry.Changed(), q.server.cfg.Machine.Changed()
		if !q.grantWaiting() && q.stopWatcherIfIdle() {
			return
		}
		select {
		case <-targets:
		case <-committed:
		case <-ticker.C:
		}
	}
}

// stopWatcherIfIdle marks the watcher as stopped and returns true, unless a
// request came in since the last grantWaiting.
func (q *poolQueues) stopWatcherIfIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, pool := range q.pools {
		pool.mu.Lock()
		waiting := pool.queue.Len() > 0
		pool.mu.Unlock()
		if waiting {
			return false
		}
	}
	q.watcherRunning = false
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
