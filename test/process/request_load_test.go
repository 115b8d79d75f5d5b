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

// outcomeCounts counts the results that callers received for one request id.
type outcomeCounts struct {
	answers  int
	notRun   int
	other    int // running, unknown
	broken   int // connection lost, no outcome
	mismatch int // answer to another request
}

// loadGenerator is a set of callers behind a balancer: each sends to a ready node
// and checks that every answer carries the digest of its own request.
type loadGenerator struct {
	c          *cluster
	queue      string
	team       string
	repeatable bool
	workMS     int
	// resend sends a request again under the same id until it is answered.
	resend bool

	client  *http.Client
	mu      sync.Mutex
	ready   map[*node]bool
	counts  map[string]*outcomeCounts
	details []string
}

func newLoadGenerator(c *cluster, queue, team string) *loadGenerator {
	return &loadGenerator{
		c: c, queue: queue, team: team, repeatable: true, workMS: 20,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second},
		ready:  make(map[*node]bool), counts: make(map[string]*outcomeCounts),
	}
}

// run keeps the callers sending until stop is called, which returns the counts by
// request id.
func (l *loadGenerator) run(callers int) (stop func() map[string]*outcomeCounts) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	l.checkReady()
	done.Go(func() { l.checkReadyLoop(ctx) })
	for i := range callers {
		done.Go(func() { l.call(ctx, i) })
	}
	return func() map[string]*outcomeCounts {
		cancel()
		done.Wait()
		return l.counts
	}
}

// checkReady asks each node for its readiness, as a balancer does.
func (l *loadGenerator) checkReady() {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for _, n := range l.c.nodes {
		response, err := client.Get("http://" + n.callerAddress + "/readyz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		l.mu.Lock()
		l.ready[n] = ok
		l.mu.Unlock()
	}
}

func (l *loadGenerator) checkReadyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.checkReady()
		time.Sleep(200 * time.Millisecond)
	}
}

// pickReady returns one of the ready nodes by round robin, or nil if none is
// ready.
func (l *loadGenerator) pickReady(turn int) *node {
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

func (l *loadGenerator) call(ctx context.Context, caller int) {
	for turn := caller; ctx.Err() == nil; turn++ {
		id := state.NewID()
		for tries := 0; ctx.Err() == nil; tries++ {
			outcome := l.send(l.pickReady(turn+tries), id)
			if outcome == entry.OutcomeAnswered || !l.resend {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// send sends one request and records its outcome.
func (l *loadGenerator) send(n *node, id string) string {
	if n == nil {
		time.Sleep(50 * time.Millisecond)
		return ""
	}
	body, _ := json.Marshal(standin.Body{WorkMS: l.workMS})
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callerAddress+"/v1/queues/"+l.queue+"/requests", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	// Without GetBody the transport does not resend by itself on a broken connection.
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
	l.record(n, id, body, outcome, data, err)
	return outcome
}

func (l *loadGenerator) exchange(request *http.Request) (string, []byte, error) {
	response, err := l.client.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.Header.Get(entry.HeaderOutcome), data, err
}

func (l *loadGenerator) record(n *node, id string, body []byte, outcome string, data []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.counts[id]
	if t == nil {
		t = &outcomeCounts{}
		l.counts[id] = t
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

// totals sums the counts of all request ids.
func totals(all map[string]*outcomeCounts) (sum outcomeCounts) {
	for _, t := range all {
		sum.answers += t.answers
		sum.notRun += t.notRun
		sum.other += t.other
		sum.broken += t.broken
		sum.mismatch += t.mismatch
	}
	return sum
}

// audit compares the results that callers received with the runs at the stand-in
// targets.
func (l *loadGenerator) audit(t *testing.T, targets []*standin.Target, limit int) {
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
	for id, counts := range l.counts {
		if counts.mismatch > 0 {
			t.Errorf("request %s was answered with the answer to another request", id)
		}
		if counts.answers > 0 && runs[id] == 0 {
			t.Errorf("request %s was answered and never ran", id)
		}
		if counts.notRun > 0 && counts.answers+counts.other+counts.broken == 0 && runs[id] > 0 {
			t.Errorf("request %s ran although its caller was told only that it did not run", id)
		}
		if !l.repeatable && runs[id] > 1 {
			t.Errorf("request %s that may run once ran %d times", id, runs[id])
		}
	}
	if peak > limit {
		t.Errorf("%d ran at once, the upper limit is %d", peak, limit)
	}
	sum := totals(l.counts)
	t.Logf("%d ids: %d answered, %d not run, %d running or unknown, %d broken; peak %d of %d",
		len(l.counts), sum.answers, sum.notRun, sum.other, sum.broken, peak, limit)
	for _, detail := range l.details[:min(len(l.details), 10)] {
		t.Log(detail)
	}
}
