package queue

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pool is a simulated pool: servers that each run one item at a time, and a clock.
type pool struct {
	now     time.Time
	queue   *Queue
	free    int
	ends    endHeap
	started []*work
	// limits are the free units of each team; a team without an entry has no limit.
	limits map[string]int
}

type work struct {
	item    *Item
	service time.Duration
	started time.Time
	end     time.Time
}

type endHeap []*work

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*work)) }
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newPool(servers int) *pool {
	return &pool{now: time.Unix(0, 0), queue: New(), free: servers, limits: make(map[string]int)}
}

func (p *pool) push(team string, weight uint32, class Class, service, deadline time.Duration) error {
	item := &Item{Team: team, Weight: weight, Class: class, Queue: team, MaxQueued: 1 << 20, Deadline: p.now.Add(deadline)}
	item.Grant = func() GrantResult {
		if p.free == 0 {
			return NoSlot
		}
		if limit, ok := p.limits[team]; ok && limit == 0 {
			return NoUnit
		} else if ok {
			p.limits[team]--
		}
		p.free--
		w := &work{item: item, service: service, started: p.now, end: p.now.Add(service)}
		heap.Push(&p.ends, w)
		p.started = append(p.started, w)
		return Granted
	}
	err := p.queue.Push(item, p.now)
	p.queue.GrantWaiting(p.now)
	return err
}

// advance moves the clock and ends the work that ends by then.
func (p *pool) advance(to time.Time) {
	for len(p.ends) > 0 && !p.ends[0].end.After(to) {
		w := heap.Pop(&p.ends).(*work)
		p.now = w.end
		p.free++
		if _, ok := p.limits[w.item.Team]; ok {
			p.limits[w.item.Team]++
		}
		p.queue.Done(w.item, w.service, true)
		p.queue.GrantWaiting(p.now)
	}
	p.now = to
	p.queue.GrantWaiting(p.now)
}

// goodput counts the work that ended in [from, to) and by its deadline.
func goodput(started []*work, from, to time.Duration) int {
	count := 0
	for _, w := range started {
		end := w.end.Sub(time.Unix(0, 0))
		if end >= from && end < to && !w.end.After(w.item.Deadline) {
			count++
		}
	}
	return count
}

func TestWeightedFairBetweenTeams(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	random := rand.New(rand.NewSource(1))
	for step := range 2000 {
		p.advance(time.Unix(0, 0).Add(time.Duration(step) * 5 * time.Millisecond))
		for _, team := range []string{"a", "b", "c"} {
			// Team c asks for work that takes four times as long.
			service := time.Duration(50+random.Intn(20)) * time.Millisecond
			if team == "c" {
				service *= 4
			}
			p.push(team, map[string]uint32{"a": 1, "b": 2, "c": 1}[team], Normal, service, time.Hour)
			p.push(team, map[string]uint32{"a": 1, "b": 2, "c": 1}[team], Normal, service, time.Hour)
		}
	}
	got := make(map[string]float64)
	total := 0.0
	for _, w := range p.started {
		got[w.item.Team] += w.service.Seconds()
		total += w.service.Seconds()
	}
	for team, wanted := range map[string]float64{"a": 0.25, "b": 0.5, "c": 0.25} {
		share := got[team] / total
		is.True(share > wanted*0.95 && share < wanted*1.05) // time in slots follows the shares
	}
}

func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	for range 100 {
		p.push("busy", 1, Normal, 10*time.Millisecond, time.Hour)
	}
	p.advance(p.now.Add(500 * time.Millisecond))
	before := len(p.started)
	for range 50 {
		p.push("idle", 1, Normal, 10*time.Millisecond, time.Hour)
	}
	p.advance(p.now.Add(200 * time.Millisecond))
	count := 0
	for _, w := range p.started[before:] {
		if w.item.Team == "busy" {
			count++
		}
	}
	is.True(count >= 9 && count <= 11) // both get half from the start
}

func TestClassesWithoutStarvation(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	p.push("a", 1, Urgent, 10*time.Millisecond, time.Hour)
	p.push("a", 1, Long, 10*time.Millisecond, time.Hour)
	p.push("a", 1, Normal, 10*time.Millisecond, time.Hour)
	p.push("a", 1, Urgent, 10*time.Millisecond, time.Hour)
	p.advance(p.now.Add(100 * time.Millisecond))
	var order []Class
	for _, w := range p.started {
		order = append(order, w.item.Class)
	}
	is.Equal(order, []Class{Urgent, Urgent, Normal, Long})
	p.push("a", 1, Long, 10*time.Millisecond, time.Hour)
	served := len(p.started)
	for range 1000 {
		p.push("a", 1, Long, 10*time.Millisecond, time.Hour)
		p.push("a", 1, Urgent, 10*time.Millisecond, time.Hour)
		p.push("a", 1, Urgent, 10*time.Millisecond, time.Hour)
		p.advance(p.now.Add(10 * time.Millisecond))
	}
	long := 0
	for _, w := range p.started[served:] {
		if w.item.Class == Long {
			long++
		}
	}
	is.True(long >= 80)  // about one in agingIntervalGrants
	is.True(long <= 130) // and urgent work gets the rest
}

func TestTeamAtItsLimitDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	p := newPool(4)
	p.limits["capped"] = 1
	for range 10 {
		p.push("capped", 100, Urgent, 10*time.Millisecond, time.Hour)
		p.push("other", 1, Normal, 10*time.Millisecond, time.Hour)
	}
	running := make(map[string]int)
	for _, w := range p.started {
		running[w.item.Team]++
	}
	is.Equal(running, map[string]int{"capped": 1, "other": 3})
}

func TestBoundsAndDeadlines(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	is.NoErr(p.push("a", 1, Normal, time.Second, time.Hour))
	p.advance(p.now.Add(time.Second)) // the service time is known now
	is.NoErr(p.push("a", 1, Normal, time.Second, time.Hour))
	is.NoErr(p.push("a", 1, Normal, time.Second, 2500*time.Millisecond))
	err := p.push("a", 1, Normal, time.Second, 2500*time.Millisecond)
	var late *LateError
	is.True(errors.As(err, &late))
	is.True(late.RetryAfter > 0)
	is.Equal(p.queue.Len(), 1)

	full := New()
	for i := range 3 {
		err = full.Push(&Item{Team: "a", Queue: "q", MaxQueued: 2, Deadline: p.now.Add(time.Hour)}, p.now)
		is.Equal(err != nil, i == 2)
	}
	is.True(errors.As(err, new(*FullError)))
}

func TestExpiredItemsAreNeverGranted(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	p.push("a", 1, Normal, time.Second, time.Hour)
	p.push("a", 1, Normal, time.Second, 500*time.Millisecond)
	p.push("a", 1, Urgent, time.Second, 900*time.Millisecond)
	p.push("a", 1, Normal, time.Second, 10*time.Second)
	p.advance(p.now.Add(5 * time.Second))
	is.Equal(len(p.started), 2)
	is.Equal(p.queue.Len(), 0)
}

func TestRemoveAndRequeue(t *testing.T) {
	is := is.New(t)
	q := New()
	now := time.Unix(0, 0)
	var order []string
	hasSlot := false
	item := func(name string) *Item {
		return &Item{Team: name, Queue: "q", MaxQueued: 9, Deadline: now.Add(time.Hour), Grant: func() GrantResult {
			if !hasSlot {
				return NoSlot
			}
			order = append(order, name)
			return Granted
		}}
	}
	first, second, requeued := item("a"), item("b"), item("c")
	is.NoErr(q.Push(first, now))
	is.NoErr(q.Push(second, now))
	q.Requeue(requeued, now)
	q.GrantWaiting(now)
	is.Equal(q.Len(), 3)
	is.True(q.Remove(first))
	is.True(!q.Remove(first))
	hasSlot = true
	q.GrantWaiting(now)
	is.Equal(order, []string{"c", "b"})
	is.Equal(q.queued["q"], uint32(0))
}

// fifo is the baseline: one unbounded queue, served in order of arrival.
type fifo struct {
	servers []time.Time
	done    []*work
}

func (f *fifo) push(now time.Time, service, deadline time.Duration) {
	earliest := 0
	for i := range f.servers {
		if f.servers[i].Before(f.servers[earliest]) {
			earliest = i
		}
	}
	start := now
	if f.servers[earliest].After(start) {
		start = f.servers[earliest]
	}
	f.servers[earliest] = start.Add(service)
	f.done = append(f.done, &work{item: &Item{Deadline: now.Add(deadline)}, service: service, end: start.Add(service)})
}

// TestBurstAgainstFIFO offers five times the mean rate for 6 s, then a twentieth
// of the mean. The pool's capacity is twice the mean. The queue keeps its goodput
// at capacity in the burst and serves everything right after it; FIFO does neither.
func TestBurstAgainstFIFO(t *testing.T) {
	const (
		servers  = 20
		service  = 50 * time.Millisecond
		deadline = 1 * time.Second
		mean     = 200.0 // requests a second; the pool serves 400
		burst    = 6 * time.Second
		total    = 12 * time.Second
		step     = time.Millisecond
	)
	for seed := range int64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewSource(seed))
			p := newPool(servers)
			baseline := &fifo{servers: make([]time.Time, servers)}
			offeredAfter := 0
			for at := time.Duration(0); at < total; at += step {
				p.advance(time.Unix(0, 0).Add(at))
				rate := mean * 5
				if at >= burst {
					rate = mean / 20
				}
				if random.Float64() >= rate*step.Seconds() {
					continue
				}
				if at >= burst+deadline {
					offeredAfter++
				}
				took := service/2 + time.Duration(random.Int63n(int64(service)))
				p.push([]string{"a", "b"}[random.Intn(2)], 1, Normal, took, deadline)
				baseline.push(p.now, took, deadline)
			}
			p.advance(time.Unix(0, 0).Add(total + deadline))
			capacity := int(float64(servers) / service.Seconds() * (burst - time.Second).Seconds())
			inBurst, baseBurst := goodput(p.started, time.Second, burst), goodput(baseline.done, time.Second, burst)
			after := goodput(p.started, burst+deadline, total+deadline)
			baseAfter := goodput(baseline.done, burst+deadline, total+deadline)
			t.Logf("capacity %d, in the burst: queue %d, FIFO %d; offered after it %d: queue %d, FIFO %d",
				capacity, inBurst, baseBurst, offeredAfter, after, baseAfter)
			is.True(float64(inBurst) >= 0.95*float64(capacity))
			is.True(after >= offeredAfter-2) // no backlog of expired requests; the last may end after the count
			is.True(baseBurst < inBurst/2)
			is.True(baseAfter < after)
		})
	}
}
