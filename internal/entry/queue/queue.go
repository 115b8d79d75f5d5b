// Package queue orders the requests that wait for one pool: weighted fair
// between teams, urgent before normal before long within a team, bounded, and
// aware of deadlines. It has no lock and no clock: the caller provides both.
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
	classCount
)

const (
	// Every agingIntervalGrants-th grant of a team goes to its oldest item if that has
	// waited for minAgingWait, so that no class starves.
	agingIntervalGrants = 8
	minAgingWait        = 2 * time.Second
	// meanUpdateFactor is the weight of a new service time in the moving mean.
	meanUpdateFactor = 0.1
	// waitMarginFactor and serviceMarginFactor allow for waits and runs longer
	// than the mean: without them the last items of a full queue are answered
	// just after their deadline.
	waitMarginFactor    = 1.2
	serviceMarginFactor = 2
	// minCharge is the least time charged to a team for a grant.
	minCharge = time.Millisecond
)

// GrantResult is the result of trying to grant an item.
type GrantResult int

// Results of Item.Grant.
const (
	// Granted means that the item has all it needs.
	Granted GrantResult = iota
	// NoUnit means that the item's team may not run more items now.
	NoUnit
	// NoSlot means that the pool has no free slot now.
	NoSlot
)

// Item is one waiting request.
type Item struct {
	Team string
	// Weight is the team's share weight.
	Weight uint32
	Class  Class
	// Queue names the queue of the item, in which at most MaxQueued items wait.
	Queue     string
	MaxQueued uint32
	Deadline  time.Time
	// Grant tries to take what the item needs. It is called by GrantWaiting.
	Grant func() GrantResult

	enqueued time.Time
	// lane is the list that the item waits in: one of its team's, or requeued.
	lane    *list.List
	element *list.Element
	// charged is the service time that the team was charged at the grant.
	charged time.Duration
}

// FullError refuses an item because its queue holds MaxQueued.
type FullError struct {
	Queue string
	Max   uint32
	// RetryAfter is the time in which the queue is expected to have room.
	RetryAfter time.Duration
}

// Error names the queue and its maximum.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue %q holds %d waiting requests, its maximum", e.Queue, e.Max)
}

// LateError refuses an item that is not expected to be answered by its deadline.
type LateError struct {
	Expected   time.Duration
	Left       time.Duration
	RetryAfter time.Duration
}

// Error states the expected time and the time to the deadline.
func (e *LateError) Error() string {
	return fmt.Sprintf("the answer is expected in %s, the deadline is in %s",
		e.Expected.Round(time.Millisecond), e.Left.Round(time.Millisecond))
}

// Queue holds the waiting items of one pool.
type Queue struct {
	teams map[string]*team
	// queued counts the waiting items by Item.Queue, without requeued ones.
	queued map[string]uint32
	// requeued holds items that were granted before and wait for another slot.
	requeued *list.List
	// virtualTime is the highest virtual time that a granted team had.
	virtualTime float64
	running     int
}

type team struct {
	name   string
	weight float64
	// virtualTime is the time charged to the team, divided by its weight.
	virtualTime     float64
	lanes           [classCount]*list.List
	waiting         int
	running         int
	grants          uint64
	meanServiceTime [classCount]time.Duration
	// blocked is true while the team's upper limit prevents further grants.
	blocked bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), queued: make(map[string]uint32), requeued: list.New()}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	total := q.requeued.Len()
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
	expected := q.expectedAnswerDelay(t, item)
	if q.queued[item.Queue] >= item.MaxQueued {
		return &FullError{Queue: item.Queue, Max: item.MaxQueued, RetryAfter: expected}
	}
	// An item of a team without waiting items is never refused as late:
	// otherwise the team's service times might never be measured again.
	if left := item.Deadline.Sub(now); t.waiting > 0 && expected > left {
		return &LateError{Expected: expected, Left: left, RetryAfter: expected - left}
	}
	if t.waiting == 0 {
		// A team accumulates no credit while it has nothing waiting.
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	t.waiting++
	q.queued[item.Queue]++
	q.add(item, t.lanes[item.Class], now)
	return nil
}

// Requeue adds an item that was granted before and needs another slot. It goes
// before all others and does not count towards MaxQueued: it was admitted before.
func (q *Queue) Requeue(item *Item, now time.Time) {
	q.team(item)
	q.add(item, q.requeued, now)
}

func (q *Queue) add(item *Item, lane *list.List, now time.Time) {
	item.enqueued = now
	item.lane = lane
	item.element = lane.PushBack(item)
}

// Remove removes a waiting item; it returns false if the item no longer waits.
func (q *Queue) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	item.lane.Remove(item.element)
	if item.lane != q.requeued {
		q.teams[item.Team].waiting--
		q.queued[item.Queue]--
	}
	item.element = nil
	return true
}

// expectedAnswerDelay estimates the time until the item is answered. The wait is
// the mean service time of the item and of the team's items ahead of it, divided
// by the team's concurrency; the item's own service time follows. Both have a
// margin.
func (q *Queue) expectedAnswerDelay(t *team, item *Item) time.Duration {
	var ahead time.Duration
	for class := Urgent; class <= item.Class; class++ {
		ahead += time.Duration(t.lanes[class].Len()) * t.meanServiceTime[class]
	}
	own := t.meanServiceTime[item.Class]
	wait := float64(ahead+own) / q.expectedConcurrency(t)
	return time.Duration(wait*waitMarginFactor) + serviceMarginFactor*own
}

// expectedConcurrency estimates how many items of the team run at a time.
func (q *Queue) expectedConcurrency(t *team) float64 {
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

// GrantWaiting grants items in order until the pool has no free slot or no team
// may run more. Items past their deadline are dropped and never granted.
func (q *Queue) GrantWaiting(now time.Time) {
	q.grantRequeued(now)
	blocked := make(map[*team]bool)
	for {
		t := q.nextTeam(blocked, now)
		if t == nil {
			return
		}
		item := t.nextItem(now)
		switch item.Grant() {
		case Granted:
			t.blocked = false
			q.recordGrant(t, item)
		case NoUnit:
			t.blocked = true
			blocked[t] = true
		case NoSlot:
			return
		}
	}
}

func (q *Queue) grantRequeued(now time.Time) {
	for e := q.requeued.Front(); e != nil; {
		item := e.Value.(*Item)
		e = e.Next()
		if now.After(item.Deadline) {
			q.Remove(item)
		} else if item.Grant() == Granted {
			q.recordGrant(q.teams[item.Team], item)
		}
	}
}

// nextTeam returns the team with the least virtual time among those with waiting
// items that are not blocked, or nil. It drops their expired items.
func (q *Queue) nextTeam(blocked map[*team]bool, now time.Time) *team {
	var best *team
	for _, t := range q.teams {
		if t.waiting == 0 || blocked[t] {
			continue
		}
		if q.dropExpired(t, now); t.waiting == 0 {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || t.virtualTime == best.virtualTime && t.name < best.name {
			best = t
		}
	}
	return best
}

func (q *Queue) dropExpired(t *team, now time.Time) {
	for _, lane := range t.lanes {
		for e := lane.Front(); e != nil && now.After(e.Value.(*Item).Deadline); e = lane.Front() {
			q.Remove(e.Value.(*Item))
		}
	}
}

// nextItem returns the item that the team is granted next.
func (t *team) nextItem(now time.Time) *Item {
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
	if t.grants%agingIntervalGrants == agingIntervalGrants-1 && now.Sub(oldest.enqueued) >= minAgingWait {
		return oldest
	}
	return first
}

// recordGrant removes the item and charges its team the mean service time, which
// Done corrects.
func (q *Queue) recordGrant(t *team, item *Item) {
	q.Remove(item)
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	item.charged = max(t.meanServiceTime[item.Class], minCharge)
	t.virtualTime += item.charged.Seconds() / t.weight
	t.grants++
	t.running++
	q.running++
}

// Done ends a granted item that held its slot for took. ran is false if took is
// not the time of a run, as after a refusal.
func (q *Queue) Done(item *Item, took time.Duration, ran bool) {
	t := q.teams[item.Team]
	t.running--
	q.running--
	t.virtualTime += (took - item.charged).Seconds() / t.weight
	if !ran {
		return
	}
	mean := &t.meanServiceTime[item.Class]
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(meanUpdateFactor * float64(took-*mean))
}

// Depth is the number of waiting items of one team.
type Depth struct {
	Team    string
	Waiting int
	Urgent  int
}

// Depths returns the number of waiting items of each team that has any, sorted
// by team.
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
