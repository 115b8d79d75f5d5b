package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state"
	"sapphirering/internal/wire/wirepb"
)

func countCalls(count *atomic.Int32, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		next(w, r)
	}
}

// TestLostWorkIsRetriedElsewhere loses the answers of one target: repeatable
// requests are answered by the other target.
func TestLostWorkIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	f.addTarget("broken", 8, breakAfterRun)
	f.addTarget("works", 1, echo)
	for range 5 {
		got := f.call(state.NewID(), true, 3000)
		is.Equal(got.outcome, OutcomeAnswered)
	}
}

func TestLostNonRepeatableWorkIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var runs atomic.Int32
	f.addTarget("broken", 8, countCalls(&runs, breakAfterRun))
	id := state.NewID()
	is.Equal(f.call(id, false, 3000).outcome, OutcomeUnknown)
	f.addTarget("works", 8, countCalls(&runs, echo))
	is.Equal(f.call(id, false, 3000).outcome, OutcomeUnknown) // a resend never runs a second time
	is.Equal(runs.Load(), int32(1))
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget()
	retries := 0
	for range 1000 {
		if b.spend("kita") {
			retries++
		}
	}
	is.Equal(retries, int(maxRetryTokens))
	is.True(b.spend("other")) // one team's retries spend no other team's budget
	for range 100 {
		b.earn("kita")
	}
	for range 1000 {
		if b.spend("kita") {
			retries++
		}
	}
	is.Equal(retries, int(maxRetryTokens)+19) // a fifth of the successes
}

// TestRequestToBusyTargetsIsNotRun lets every target refuse: the request waits and
// is refused at its deadline as not run, and its claim ends so that a resend runs.
func TestRequestToBusyTargetsIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var tried atomic.Int32
	f.addTarget("busy", 8, countCalls(&tried, busy))
	id := state.NewID()
	got := f.call(id, false, 300)
	is.Equal(got.outcome, OutcomeNotRun)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.retryAfter != "")
	is.True(tried.Load() < 20) // dispatch is held back after a refusal
	f.addTarget("works", 8, echo)
	is.Equal(f.call(id, false, 3000).outcome, OutcomeAnswered)
}

func TestResendGetsRecordedAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var runs atomic.Int32
	f.addTarget("works", 8, countCalls(&runs, echo))
	id := state.NewID()
	first := f.call(id, false, 3000)
	second := f.call(id, false, 3000)
	is.Equal(first.outcome, OutcomeAnswered)
	is.Equal(second.body, first.body)
	is.Equal(second.contentType, "application/x-proof")
	is.Equal(runs.Load(), int32(1))
	is.Equal(f.call(strings.ToUpper(id), false, 3000).status, http.StatusBadRequest)
	is.Equal(runs.Load(), int32(1))
}

// TestConcurrentResendsRunOnce sends one id many times at the same moment.
func TestConcurrentResendsRunOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var runs atomic.Int32
	f.addTarget("works", 8, countCalls(&runs, echo))
	id := state.NewID()
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() { f.call(id, false, 3000) })
	}
	calls.Wait()
	is.Equal(runs.Load(), int32(1))
}

// TestUnitOfLostWorkIsKept gives the team one unit and loses the answer of work
// that may still run: no other work of the team may start before it has certainly
// ended.
func TestUnitOfLostWorkIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	var runs atomic.Int32
	f.addTarget("broken", 8, countCalls(&runs, breakAfterRun))
	is.Equal(f.call(state.NewID(), false, 500).outcome, OutcomeUnknown)
	f.addTarget("works", 8, countCalls(&runs, echo))
	got := f.call(state.NewID(), true, 1000)
	is.Equal(got.outcome, OutcomeNotRun)
	is.Equal(runs.Load(), int32(1))
}

// TestQueueRefusesLateRequestAtOnce fills a pool of one slot: a request that cannot
// be answered by its deadline is refused long before it.
func TestQueueRefusesLateRequestAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	f.addTarget("slow", 1, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		echo(w, r)
	})
	is.Equal(f.call(state.NewID(), true, 5000).outcome, OutcomeAnswered) // the service time is known now
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { f.call(state.NewID(), true, 5000) })
	}
	time.Sleep(50 * time.Millisecond)
	got := f.call(state.NewID(), true, 1000)
	is.Equal(got.outcome, OutcomeNotRun)
	is.True(got.duration < 500*time.Millisecond)
	is.True(got.retryAfter != "")
	calls.Wait()
}

// TestDuplicateForwardRunsOnce delivers the frame of a non-repeatable request
// twice: the second response says that it may have run, and it does not run again.
func TestDuplicateForwardRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var runs atomic.Int32
	f.addTarget("works", 8, countCalls(&runs, echo))
	frame := &wirepb.ForwardRequest{RequestId: state.NewID(), Queue: "q", Team: "kita", DeadlineMs: 3000, Body: []byte("b")}
	first := f.server.ServeForward(context.Background(), frame)
	is.True(first.Answered)
	second := f.server.ServeForward(context.Background(), frame)
	is.True(!second.Answered)
	is.True(!second.NotRun)
	is.Equal(runs.Load(), int32(1))
}

func TestForwardsDuringShutdown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	entered, release := make(chan struct{}), make(chan struct{})
	f.addTarget("works", 8, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		echo(w, r)
	})
	answers := make(chan *wirepb.ForwardResponse, 1)
	go func() {
		answers <- f.server.ServeForward(context.Background(), &wirepb.ForwardRequest{RequestId: "f1", Queue: "q", DeadlineMs: 10_000, Idempotent: true})
	}()
	<-entered
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(!f.server.Drain(short)) // Drain waits for a forward in flight
	refused := f.server.ServeForward(context.Background(), &wirepb.ForwardRequest{RequestId: "f2", Queue: "q", DeadlineMs: 10_000})
	is.True(refused.NotRun)
	close(release)
	is.True(f.server.Drain(context.Background()))
	is.True((<-answers).Answered)
}

// TestSlowReaderHoldsNoSlot has a caller that does not read its answer: the slot
// and the unit are free for the next request all the same.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	large := strings.Repeat("x", 4<<20)
	f.addTarget("works", 1, func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		w.Write([]byte(large))
	})
	request, err := http.NewRequest(http.MethodPost, f.callers.URL+"/v1/queues/q/requests", nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+secret)
	slow, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer slow.Body.Close()
	is.Equal(f.call(state.NewID(), true, 2000).outcome, OutcomeAnswered)
}

// TestNotRunCoversEveryTry loses the answer of a first try, after which no other
// try runs: the request as a whole may have run. Neither a refusal by the queue
// nor one of a later try may report it as not run.
func TestNotRunCoversEveryTry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 50)
	var runs atomic.Int32
	f.addTarget("broken", 1, countCalls(&runs, breakAfterRun))
	for range 3 {
		before := runs.Load()
		got := f.call(state.NewID(), true, 300)
		is.True(runs.Load() == before || got.outcome == OutcomeUnknown)
	}
	e := &execution{mayHaveRun: errors.New("first try was lost")}
	is.Equal(e.finalRefusal(lostRefusal(errForwardRefused)).Outcome, OutcomeUnknown)
	is.Equal((&execution{}).finalRefusal(lostRefusal(errForwardRefused)).Outcome, OutcomeNotRun)
}
