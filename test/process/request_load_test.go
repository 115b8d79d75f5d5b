package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"sapphirering/internal/entry"
	"sapphirering/internal/state"
	"sapphirering/internal/target"
	"sapphirering/test/standin"
)

// told is all that callers were told of one request id.
type told struct {
	answers  int
	notRun   int
	other    int // running, unknown
	broken   int // connection lost, no outcome
	mismatch int // an answer that is not the request's own
}

// load is a set of callers behind a balancer: each sends to a ready node and
// checks that every answer carries the digest of its own request.
type load struct {
	c          *cluster
	queue      string
	team       string
	repeatable bool
	workMS     int
	// resend sends a request again, under its id, until it is answered.
	resend bool

	client  *http.Client
	mu      sync.Mutex
	ready   map[*node]bool
	told    map[string]*told
	details []string
}

func newLoad(c *cluster, queue, team string) *load {
	return &load{
		c: c, queue: queue, team: team, repeatable: true, workMS: 20,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second},
		ready:  make(map[*node]bool), told: make(map[string]*told),
	}
}

// run keeps callers busy until stop is called, which returns what was told.
func (l *load) run(callers int) (stop func() map[string]*told) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	l.check()
	done.Go(func() { l.checkLoop(ctx) })
	for i := range callers {
		done.Go(func() { l.call(ctx, i) })
	}
	return func() map[string]*told {
		cancel()
		done.Wait()
		return l.told
	}
}

// check asks each node for its readiness, as a balancer does.
func (l *load) check() {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for _, n := range l.c.nodes {
		response, err := client.Get("http://" + n.callers + "/readyz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		l.mu.Lock()
		l.ready[n] = ok
		l.mu.Unlock()
	}
}

func (l *load) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.check()
		time.Sleep(200 * time.Millisecond)
	}
}

// pick returns the ready node of the caller's turn.
func (l *load) pick(turn int) *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ready []*node
	for _, n := range l.c.nodes {
		if l.ready[n] {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[turn%len(ready)]
}

func (l *load) call(ctx context.Context, caller int) {
	for turn := caller; ctx.Err() == nil; turn++ {
		id := state.NewID()
		for tries := 0; ctx.Err() == nil; tries++ {
			outcome := l.send(l.pick(turn+tries), id)
			if outcome == entry.OutcomeAnswered || !l.resend {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// send sends one request and notes what the caller was told.
func (l *load) send(n *node, id string) string {
	if n == nil {
		time.Sleep(50 * time.Millisecond)
		return ""
	}
	body, _ := json.Marshal(standin.Body{WorkMS: l.workMS})
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/queues/"+l.queue+"/requests", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	// The transport must not resend by itself on a connection that broke.
	request.GetBody = nil
	if l.team != "" {
		request.Header.Set("Authorization", "Bearer "+l.c.secrets[l.team])
	}
	request.Header.Set(target.HeaderRequestID, id)
	request.Header.Set(target.HeaderDeadlineMS, "5000")
	if !l.repeatable {
		request.Header.Set(entry.HeaderRepeatable, "no")
	}
	outcome, data, err := l.exchange(request)
	l.note(n, id, body, outcome, data, err)
	return outcome
}

func (l *load) exchange(request *http.Request) (string, []byte, error) {
	response, err := l.client.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.Header.Get(entry.HeaderOutcome), data, err
}

func (l *load) note(n *node, id string, body []byte, outcome string, data []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.told[id]
	if t == nil {
		t = &told{}
		l.told[id] = t
	}
	switch {
	case err != nil || outcome == "":
		t.broken++
		l.details = append(l.details, fmt.Sprintf("%s: %s: broken: %v %.100s", n.name, id, err, data))
	case outcome == entry.OutcomeAnswered && string(data) == standin.Digest(id, body):
		t.answers++
	case outcome == entry.OutcomeAnswered:
		t.mismatch++
	case outcome == entry.OutcomeNotRun:
		t.notRun++
		l.details = append(l.details, fmt.Sprintf("%s: %s: %.200s", n.name, id, data))
	default:
		t.other++
		l.details = append(l.details, fmt.Sprintf("%s: %s: %.200s", n.name, id, data))
	}
}

// totals sums what was told.
func totals(all map[string]*told) (sum told) {
	for _, t := range all {
		sum.answers += t.answers
		sum.notRun += t.notRun
		sum.other += t.other
		sum.broken += t.broken
		sum.mismatch += t.mismatch
	}
	return sum
}

// audit compares what callers were told with what the stand-ins ran.
func (l *load) audit(t *testing.T, targets []*standin.Target, limit int) {
	t.Helper()
	runs := make(map[string]int)
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			runs[run.RequestID]++
			edges = append(edges, edge{run.Started, 1})
			if run.Ended != 0 {
				edges = append(edges, edge{run.Ended, -1})
			}
		}
	}
	sort.Slice(edges, func(i, j int) bool {
		return edges[i].at < edges[j].at || edges[i].at == edges[j].at && edges[i].delta < edges[j].delta
	})
	running, peak := 0, 0
	for _, e := range edges {
		running += e.delta
		peak = max(peak, running)
	}
	for id, told := range l.told {
		if told.mismatch > 0 {
			t.Errorf("request %s was answered with another answer", id)
		}
		if told.answers > 0 && runs[id] == 0 {
			t.Errorf("request %s was answered and never ran", id)
		}
		if told.notRun > 0 && told.answers+told.other+told.broken == 0 && runs[id] > 0 {
			t.Errorf("request %s ran although its caller was told only that it did not run", id)
		}
		if !l.repeatable && runs[id] > 1 {
			t.Errorf("request %s that may run once ran %d times", id, runs[id])
		}
	}
	if peak > limit {
		t.Errorf("%d ran at once, the upper limit is %d", peak, limit)
	}
	sum := totals(l.told)
	t.Logf("%d ids: %d answered, %d not run, %d running or unknown, %d broken; peak %d of %d",
		len(l.told), sum.answers, sum.notRun, sum.other, sum.broken, peak, limit)
	for _, detail := range l.details[:min(len(l.details), 10)] {
		t.Log(detail)
	}
}
