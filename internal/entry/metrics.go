package entry

import (
	"fmt"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/config"
	"sapphirering/internal/metrics"
	"sapphirering/internal/session"
)

// requestMetrics records times and outcomes of requests per team and class.
type requestMetrics struct{}

func newMetrics() *requestMetrics { return &requestMetrics{} }

// observe records the time and outcome of one request, in microseconds.
func (m *requestMetrics) observe(r *request, outcome string, took time.Duration) {
	class := config.ClassName(r.class)
	name := fmt.Sprintf("request_us;team=%s;class=%s", r.team, class)
	metrics.Observe(name, took)
	counter := fmt.Sprintf("requests;team=%s;class=%s;outcome=%s", r.team, class, outcome)
	gometrics.GetOrRegisterCounter(counter, nil).Inc(1)
}

// waitCounts counts waiting requests per team and reports them to the ledger.
type waitCounts struct {
	ledger *session.Ledger
	mu     sync.Mutex
	teams  map[string]*waitCount
}

type waitCount struct{ all, urgent uint32 }

func newWaitCounts(ledger *session.Ledger) *waitCounts {
	return &waitCounts{ledger: ledger, teams: make(map[string]*waitCount)}
}

// add counts one more waiting request; the returned function counts one fewer.
func (w *waitCounts) add(team string, urgent bool) func() {
	w.change(team, urgent, func(n *uint32) { *n++ })
	return func() { w.change(team, urgent, func(n *uint32) { *n-- }) }
}

func (w *waitCounts) change(team string, urgent bool, update func(*uint32)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := w.teams[team]
	if count == nil {
		count = &waitCount{}
		w.teams[team] = count
	}
	update(&count.all)
	if urgent {
		update(&count.urgent)
	}
	w.ledger.SetWaiting(team, count.all, count.urgent)
}
