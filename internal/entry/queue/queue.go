// Package queue orders the requests that wait for one pool: weighted fair
// between teams, urgent before normal before long within a team, bounded, and
// aware of deadlines. It is pure: the caller locks it and passes the time.
package queue

import (
	"container/list"
	"fmt"
	"sort"
	"time"
)

// Class orders the items of one team.
type Class int

// Classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Long
	classes
)

const (
	// agingTurn gives every agingTurn-th grant of a team to its oldest item
	// when that has waited for agingAfter, so that no class starves.
	agingTurn  = 8
	agingAfter = 2 * time.Second
	// serviceWeight is the weight of a new service time in the running mean.
	serviceWeight = 0.1
	// waitMargin and serviceMargin allow for waits and runs longer than the
	// mean: without them the tail of a full queue is answered just too late.
	waitMargin    = 1.2
	serviceMargin = 2
	// minCharge is the least time charged for a grant.
	minCharge = time.Millisecond
)

// Verdict is the result of trying to grant an item.
type Verdict int

// Verdicts of Item.Grant.
const (
	// Granted means that the item has all it needs.
	Granted Verdict = iota
	// NoUnit means that the item's team may run no more now.
	NoUnit
	// NoSlot means that the pool has no room now.
	NoSlot
)

// Item is one waiting request.
type Item struct {
	Team string
	// Weight is the team's share.
	Weight uint32
	Class  Class
	// Queue names the bounded queue that the item counts for, at most MaxQueued.
	Queue     string
	MaxQueued uint32
	Deadline  time.Time
	// Grant tries to take what the item needs. It is called by Pump.
	Grant func() Verdict

	enqueued time.Time
	lane     *list.List
	element  *list.Element
	charged  time.Duration
}

// FullError refuses an item because its queue holds MaxQueued.
type FullError struct {
	Queue string
	Max   uint32
	// RetryAfter is when a place is expected.
	RetryAfter time.Duration
}

// Error names the queue and its bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue %q holds %d waiting requests, its maximum", e.Queue, e.Max)
}

// LateError refuses an item that would not be answered by its deadline.
type LateError struct {
	Expected   time.Duration
	Left       time.Duration
	RetryAfter time.Duration
}

// Error states both times.
func (e *LateError) Error() string {
	return fmt.Sprintf("the answer is expected in %s, the deadline is in %s",
		e.Expected.Round(time.Millisecond), e.Left.Round(time.Millisecond))
}

// Queue holds the waiting items of one pool.
type Queue struct {
	teams  map[string]*team
	queued map[string]uint32
	// again holds items that were granted before and wait for another slot.
	again *list.List
	// virtual is the virtual time of the team served last.
	virtual float64
	running int
}

type team struct {
	name   string
	weight float64
	// virtual is the time charged to the team, divided by its weight.
	virtual float64
	lanes   [classes]*list.List
	waiting int
	running int
	grants  uint64
	service [classes]time.Duration
	// blocked is true while the team's upper limit holds it back.
	blocked bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), queued: make(map[string]uint32), again: list.New()}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	total := q.again.Len()
	for _, t := range q.teams {
		total += t.waiting
	}
	return total
}

func (q *Queue) team(item *Item) *team {
	t := q.teams[item.Team]
	if t == nil {
		t = &team{name: item.Team}
		for class := range t.lanes {
			t.lanes[class] = list.New()
		}
		q.teams[item.Team] = t
	}
	t.weight = float64(max(1, item.Weight))
	return t
}

// Push adds an item, or refuses it with a *FullError or *LateError.
func (q *Queue) Push(item *Item, now time.Time) error {
	t := q.team(item)
	expected := q.expected(t, item)
	if q.queued[item.Queue] >= item.MaxQueued {
		return &FullError{Queue: item.Queue, Max: item.MaxQueued, RetryAfter: expected}
	}
	// A team without waiting items is always let in: its service times would
	// never be measured again otherwise.
	if left := item.Deadline.Sub(now); t.waiting > 0 && expected > left {
		return &LateError{Expected: expected, Left: left, RetryAfter: expected - left}
	}
	if t.waiting == 0 {
		// An idle team saves up no claim on the pool.
		t.virtual = max(t.virtual, q.virtual)
	}
	t.waiting++
	q.queued[item.Queue]++
	q.add(item, t.lanes[item.Class], now)
	return nil
}

// PushAgain adds an item that was granted before and needs another slot. It
// goes before all others and counts for no bound: its work was admitted.
func (q *Queue) PushAgain(item *Item, now time.Time) {
	q.team(item)
	q.add(item, q.again, now)
}

func (q *Queue) add(item *Item, lane *list.List, now time.Time) {
	item.enqueued = now
	item.lane = lane
	item.element = lane.PushBack(item)
}

// Remove takes a waiting item out; false when it waits no longer.
func (q *Queue) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	item.lane.Remove(item.element)
	if item.lane != q.again {
		q.teams[item.Team].waiting--
		q.queued[item.Queue]--
	}
	item.element = nil
	return true
}

// expected is the time by which the item is answered in all likelihood: the
// work of the team's items before it over the places that the team has, and
// its own, with a margin on both.
func (q *Queue) expected(t *team, item *Item) time.Duration {
	var ahead time.Duration
	for class := Urgent; class <= item.Class; class++ {
		ahead += time.Duration(t.lanes[class].Len()) * t.service[class]
	}
	own := t.service[item.Class]
	wait := float64(ahead+own) / q.places(t)
	return time.Duration(wait*waitMargin) + serviceMargin*own
}

// places estimates how many items of the team run at once.
func (q *Queue) places(t *team) float64 {
	if t.blocked {
		return max(1, float64(t.running))
	}
	weights := t.weight
	for _, other := range q.teams {
		if other != t && other.waiting > 0 {
			weights += other.weight
		}
	}
	fair := float64(q.running) * t.weight / weights
	return max(1, fair)
}

// Pump grants items in order until the pool or every team has no room.
// Items past their deadline are dropped and never granted.
func (q *Queue) Pump(now time.Time) {
	q.pumpAgain(now)
	blocked := make(map[*team]bool)
	for {
		t := q.next(blocked, now)
		if t == nil {
			return
		}
		item := t.head(now)
		switch item.Grant() {
		case Granted:
			t.blocked = false
			q.granted(t, item)
		case NoUnit:
			t.blocked = true
			blocked[t] = true
		case NoSlot:
			return
		}
	}
}

func (q *Queue) pumpAgain(now time.Time) {
	for e := q.again.Front(); e != nil; {
		item := e.Value.(*Item)
		e = e.Next()
		if now.After(item.Deadline) {
			q.Remove(item)
		} else if item.Grant() == Granted {
			q.granted(q.teams[item.Team], item)
		}
	}
}

// next returns the backlogged team with the least virtual time.
func (q *Queue) next(blocked map[*team]bool, now time.Time) *team {
	var best *team
	for _, t := range q.teams {
		if t.waiting == 0 || blocked[t] {
			continue
		}
		if q.dropDead(t, now); t.waiting == 0 {
			continue
		}
		if best == nil || t.virtual < best.virtual || t.virtual == best.virtual && t.name < best.name {
			best = t
		}
	}
	return best
}

func (q *Queue) dropDead(t *team, now time.Time) {
	for _, lane := range t.lanes {
		for e := lane.Front(); e != nil && now.After(e.Value.(*Item).Deadline); e = lane.Front() {
			q.Remove(e.Value.(*Item))
		}
	}
}

// head returns the team's next item.
func (t *team) head(now time.Time) *Item {
	var first, oldest *Item
	for _, lane := range t.lanes {
		if lane.Len() == 0 {
			continue
		}
		item := lane.Front().Value.(*Item)
		if first == nil {
			first = item
		}
		if oldest == nil || item.enqueued.Before(oldest.enqueued) {
			oldest = item
		}
	}
	if t.grants%agingTurn == agingTurn-1 && now.Sub(oldest.enqueued) >= agingAfter {
		return oldest
	}
	return first
}

// granted charges the expected service time; Done corrects it.
func (q *Queue) granted(t *team, item *Item) {
	q.Remove(item)
	q.virtual = max(q.virtual, t.virtual)
	item.charged = max(t.service[item.Class], minCharge)
	t.virtual += item.charged.Seconds() / t.weight
	t.grants++
	t.running++
	q.running++
}

// Done ends a granted item that held its place for took. ran is false when
// the time says nothing about the work, as after a refusal.
func (q *Queue) Done(item *Item, took time.Duration, ran bool) {
	t := q.teams[item.Team]
	t.running--
	q.running--
	t.virtual += (took - item.charged).Seconds() / t.weight
	if !ran {
		return
	}
	mean := &t.service[item.Class]
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(serviceWeight * float64(took-*mean))
}

// Depth is the number of waiting items of one team.
type Depth struct {
	Team    string
	Waiting int
	Urgent  int
}

// Depths returns what waits, by team.
func (q *Queue) Depths() []Depth {
	var depths []Depth
	for name, t := range q.teams {
		if t.waiting > 0 {
			depths = append(depths, Depth{Team: name, Waiting: t.waiting, Urgent: t.lanes[Urgent].Len()})
		}
	}
	sort.Slice(depths, func(i, j int) bool { return depths[i].Team < depths[j].Team })
	return depths
}
