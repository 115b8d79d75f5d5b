package silence

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// The replayed load: starts come one after another on targets whose ends are listed by calls
// that wait. A lost call is carried out 2 to 12 s later.
const (
	replayTargets = 49
	replayStarts  = 4600
	replayTime    = 41 * time.Second
	// replayAim is the time in which a start is in aim.
	replayAim = 300 * ms
	// replayPollTime is the mean time after which a waiting listing has an end to show.
	replayPollTime = 220 * ms
	// replayTrip is the longest time of an answered call.
	replayTrip = 4 * ms
)

// replay is a leader with its targets, in simulated time.
type replay struct {
	now     time.Duration
	events  replayEvents
	random  *rand.Rand
	loss    float64
	resends bool
	targets []*replayTarget

	seen        Loss
	all         [2]Answers
	budget      Budget
	inAim, sent int
}

type replayTarget struct {
	queue           []*replayStart
	senders         int
	unanswered      int
	unansweredSince time.Duration
	suspected       bool
	answers         [2]Answers
	budget          Budget
}

// replayStart is a start of a task; placed is when its present run was.
type replayStart struct {
	planned, placed time.Duration
	begun           bool
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, replayEvent{r.now + d, do}) }

// upTo returns a random time from a tenth of most to most.
func (r *replay) upTo(most time.Duration) time.Duration {
	return most/10 + time.Duration(r.random.Int63n(int64(most*9/10)))
}

// call sends a call: answered is called when the answer comes, which a lost call never has;
// done is called when the target carries it out.
func (r *replay) call(wait time.Duration, done, answered func()) {
	r.sent++
	if r.random.Float64() < r.loss {
		r.after(2*time.Second+r.upTo(10*time.Second), done)
		return
	}
	took := wait + r.upTo(replayTrip)
	r.after(took, func() {
		done()
		answered()
	})
}

func (r *replay) place(s *replayStart) {
	var free []*replayTarget
	for _, t := range r.targets {
		if !t.suspected {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		r.after(50*ms, func() { r.place(s) })
		return
	}
	t := free[r.random.Intn(len(free))]
	s.placed = r.now
	t.queue = append(t.queue, s)
	r.send(t)
}

func (r *replay) begin(s *replayStart) {
	if !s.begun && r.now-s.planned <= replayAim {
		r.inAim++
	}
	s.begun = true
}

func (r *replay) send(t *replayTarget) {
	if r.resends && t.unanswered > 0 && r.now-t.unansweredSince < 250*ms {
		return
	}
	for len(t.queue) > 0 && t.senders < 2 {
		s := t.queue[0]
		t.queue = t.queue[1:]
		t.senders++
		if r.resends {
			r.startAgain(t, s, func() { t.senders-- })
		} else {
			r.startOnce(t, s)
		}
	}
}

func (r *replay) hear(t *replayTarget) {
	t.unanswered, t.suspected = 0, false
	r.send(t)
}

func (r *replay) suspect(t *replayTarget) {
	t.suspected = true
	queue := t.queue
	t.queue = nil
	for _, s := range queue {
		r.place(s)
	}
}

// stop stops a run until that is answered, then places the task anew.
func (r *replay) stop(t *replayTarget, s *replayStart, pause time.Duration) {
	answered := false
	r.call(0, func() {}, func() {
		if !answered && !s.begun {
			answered = true
			r.hear(t)
			r.place(s)
		}
	})
	r.after(pause, func() {
		if !answered && !s.begun {
			answered = true
			r.stop(t, s, pause)
		}
	})
}

// startOnce is the former rule: a call has a second, a late answer takes the target out until
// it answers a listing, and a start is repeated for 1.5 s.
func (r *replay) startOnce(t *replayTarget, s *replayStart) {
	answered := false
	r.call(0, func() { r.begin(s) }, func() {
		answered = true
		t.senders--
		r.hear(t)
	})
	r.after(250*ms, func() {
		if !answered {
			r.suspect(t)
		}
	})
	r.after(time.Second, func() {
		if answered {
			return
		}
		t.senders--
		r.suspect(t)
		r.listOnce(t, 0)
		r.retryOnce(t, s)
	})
}

func (r *replay) retryOnce(t *replayTarget, s *replayStart) {
	switch {
	case s.begun:
	case r.now-s.placed > 1500*ms:
		r.stop(t, s, 250*ms)
	case t.suspected:
		r.after(100*ms, func() { r.retryOnce(t, s) })
	default:
		t.queue = append(t.queue, s)
		r.send(t)
	}
}

func (r *replay) listOnce(t *replayTarget, wait time.Duration) {
	answered := false
	r.call(min(wait, r.upTo(2*replayPollTime)), func() {}, func() {
		answered = true
		r.hear(t)
		if wait > 0 {
			r.after(25*ms, func() { r.listOnce(t, 1500*ms) })
		}
	})
	r.after(wait+250*ms, func() {
		if !answered {
			r.suspect(t)
		}
	})
	r.after(wait+700*ms, func() {
		if !answered {
			r.after(250*ms, func() { r.listOnce(t, wait) })
		}
	})
}

func (t *replayTarget) late(r *replay) {
	if t.unanswered == 0 {
		t.unansweredSince = r.now
	}
	t.unanswered++
	if !t.suspected && (Silence{Unanswered: t.unanswered, For: r.now - t.unansweredSince}).Suspected(r.seen.Rate()) {
		r.suspect(t)
	}
}

func (r *replay) mayResend(t *replayTarget) bool {
	now := time.Unix(0, 0).Add(r.now)
	return !t.suspected && t.budget.Take(now) && r.budget.Take(now)
}

// startAgain is the new rule: a start whose answer is late is sent again.
func (r *replay) startAgain(t *replayTarget, s *replayStart, over func()) {
	answered, late, began := false, false, r.now
	r.call(0, func() { r.begin(s) }, func() {
		answered = true
		r.seen.Note(false)
		t.answers[0].Note(r.now - began)
		r.all[0].Note(r.now - began)
		if !late {
			over()
		}
		r.hear(t)
	})
	r.after(t.answers[0].Bound(&r.all[0]), func() {
		if answered {
			return
		}
		late = true
		r.seen.Note(true)
		over()
		t.late(r)
		if r.now-s.placed < 1500*ms && r.mayResend(t) {
			r.startAgain(t, s, func() {})
			return
		}
		r.after(100*ms, func() {
			if !s.begun {
				r.stop(t, s, t.answers[0].Bound(&r.all[0]))
			}
		})
	})
}

func (r *replay) listAgain(t *replayTarget) {
	wait := ListingWait(r.seen.Rate(), 1500*ms)
	if t.unanswered > 0 {
		wait = 0
	}
	answered, began := false, r.now
	r.call(min(wait, r.upTo(2*replayPollTime)), func() {}, func() {
		answered = true
		r.seen.Note(false)
		if wait == 0 {
			t.answers[1].Note(r.now - began)
		}
		r.hear(t)
		r.after(25*ms, func() { r.listAgain(t) })
	})
	r.after(wait+t.answers[1].Bound(&r.all[1]), func() {
		if answered {
			return
		}
		r.seen.Note(true)
		t.late(r)
		pause := time.Duration(0)
		if !r.mayResend(t) {
			pause = 250 * ms
		}
		r.after(pause, func() { r.listAgain(t) })
	})
}

// play returns the share of starts in aim and the calls for each.
func play(loss float64, resends bool, seed int64) (inAim, calls float64) {
	r := &replay{random: rand.New(rand.NewSource(seed)), loss: loss, resends: resends, budget: Budget{Rate: 500, Burst: 500}}
	for range replayTargets {
		t := &replayTarget{budget: Budget{Rate: 20, Burst: 20}}
		r.targets = append(r.targets, t)
		r.after(r.upTo(replayPollTime), func() {
			if resends {
				r.listAgain(t)
			} else {
				r.listOnce(t, 1500*ms)
			}
		})
	}
	for range replayStarts {
		r.after(r.upTo(replayTime), func() { r.place(&replayStart{planned: r.now}) })
	}
	for len(r.events) > 0 && r.now < replayTime+replayAim {
		next := heap.Pop(&r.events).(replayEvent)
		r.now = next.at
		next.do()
	}
	return float64(r.inAim) / replayStarts, float64(r.sent) / replayStarts
}

// TestReplayLostCalls compares the share of starts in aim with the former rule, with this one
// and with a leader that knows at once that a call is lost, at rates of lost calls.
func TestReplayLostCalls(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%5s %7s %7s %7s %7s %7s\n", "loss", "former", "new", "bound", "calls", "calls")
	for _, test := range []struct{ loss, ofBound float64 }{{0, 1}, {0.01, 0.99}, {0.1, 0.99}, {0.3, 0.95}, {0.5, 0.85}, {0.9, 0}} {
		bound := 1 - math.Pow(test.loss, math.Floor(float64(replayAim/replayTrip)))
		former, formerCalls := play(test.loss, false, 1)
		inAim, calls := play(test.loss, true, 1)
		fmt.Fprintf(&table, "%5.2f %7.3f %7.3f %7.3f %7.2f %7.2f\n", test.loss, former, inAim, bound, formerCalls, calls)
		if inAim < test.ofBound*bound {
			t.Errorf("loss %.2f: %.3f of the starts in aim, want %.2f of the bound of %.3f", test.loss, inAim, test.ofBound, bound)
		}
		if inAim < former {
			t.Errorf("loss %.2f: %.3f of the starts in aim, %.3f with the former rule", test.loss, inAim, former)
		}
	}
	t.Log("\n" + table.String())
}
