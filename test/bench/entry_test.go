// Package bench measures the entry path of a daemon in this process over loopback.
package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/server"
	"sapphirering/internal/target"
	"sapphirering/test/linktest"
	"sapphirering/test/standin"
)

const (
	operatorKey  = "bench-operator-key-0123456789"
	startTimeout = 15 * time.Second
	body         = "benchmark body"

	// maxAllocsPerRequest bounds the allocations of one request in this
	// process: the caller, the daemon and the stand-in target together.
	maxAllocsPerRequest = 350
	// maxLatencyRatio bounds the median latency through the entry path, divided by that of a direct call.
	maxLatencyRatio = 5.0
)

// entryVM is one daemon with one queue and one stand-in target.
type entryVM struct {
	callers string
	target  *standin.Target
	secret  string
}

func startEntry(tb testing.TB) *entryVM {
	tb.Helper()
	folder := tb.TempDir()
	callers, targets, operators, peers := linktest.FreeAddress(tb), linktest.FreeAddress(tb), linktest.FreeAddress(tb), linktest.FreeAddress(tb)
	settings, err := config.ParseSettings([]byte(fmt.Sprintf(
		"name: entry-1\nzone: a\nvoter: true\ndata_folder: %q\nshutdown_delay: 1ms\nlisten: {callers: %q, targets: %q, operators: %q, peers: %q}\n",
		filepath.Join(folder, "data"), callers, targets, operators, peers)))
	if err != nil {
		tb.Fatal(err)
	}
	daemon, err := server.New(context.Background(), settings, server.Options{Bootstrap: true, OperatorKeys: []config.OperatorKey{{Name: "bench", Secret: operatorKey}}})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		daemon.Run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-stopped
	})
	e := &entryVM{callers: callers}
	e.target, err = standin.Start(standin.Config{
		VM: "vm-1", Pool: "p", Zone: "a", Listen: "127.0.0.1:0", Entries: []string{"http://" + targets}, Slots: 256, Work: time.Nanosecond,
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.target.Close)
	e.configure(tb, folder, operators)
	e.waitServing(tb)
	return e
}

// configure creates a pool, a document and a key with the command-line tool.
func (e *entryVM) configure(tb testing.TB, folder, operators string) {
	tb.Helper()
	tool, keyFile := filepath.Join(folder, "sapphirering"), filepath.Join(folder, "operator.key")
	document, secretFile := filepath.Join(folder, "kita.yaml"), filepath.Join(folder, "kita.key")
	build := exec.Command("go", "build", "-o", tool, "sapphirering/cmd/sapphirering")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("%v: %s", err, out)
	}
	for path, text := range map[string]string{
		keyFile:  operatorKey,
		document: "team: kita\nshare: 1\nupper_limit: 512\nqueues:\n  - {name: q, pool: p, class: normal}\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
	}
	for _, args := range [][]string{
		{"pool", "create", "p"}, {"apply", "-wait", document}, {"key", "-wait", "grant", "kita", "kita-key", secretFile},
	} {
		full := append([]string{args[0], "-address", "http://" + operators, "-key-file", keyFile}, args[1:]...)
		deadline := time.Now().Add(startTimeout)
		for {
			out, err := exec.Command(tool, full...).CombinedOutput()
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				tb.Fatalf("%v: %v: %s", args, err, out)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		tb.Fatal(err)
	}
	e.secret = strings.TrimSpace(string(secret))
}

func (e *entryVM) waitServing(tb testing.TB) {
	tb.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		err := e.callThroughEntry()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			tb.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func doAndCheck(request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	id := response.Header.Get(target.HeaderRequestID)
	if response.StatusCode != http.StatusOK || string(answer) != standin.Digest(id, []byte(body)) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	return nil
}

func (e *entryVM) callThroughEntry() error {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/v1/queues/q/requests", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+e.secret)
	return doAndCheck(request)
}

// callDirectly calls the stand-in target directly, with the token of its newest announcement.
func (e *entryVM) callDirectly() error {
	request, err := http.NewRequest(http.MethodPost, e.target.Address()+"/v1/run/q", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set(target.HeaderRequestID, "direct")
	request.Header.Set(target.HeaderDeadlineMS, "5000")
	request.Header.Set(target.HeaderAnnouncement, e.target.Token())
	return doAndCheck(request)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measure times calls of both kinds in turn, so that load on the machine affects both.
func measure(tb testing.TB, e *entryVM, count int) (entry, direct []time.Duration) {
	tb.Helper()
	for range count {
		for _, kind := range []struct {
			call  func() error
			times *[]time.Duration
		}{{e.callThroughEntry, &entry}, {e.callDirectly, &direct}} {
			started := time.Now()
			if err := kind.call(); err != nil {
				tb.Fatal(err)
			}
			*kind.times = append(*kind.times, time.Since(started))
		}
	}
	slices.Sort(entry)
	slices.Sort(direct)
	return entry, direct
}

// BenchmarkEntryLatency reports the latency through the entry path, that of a direct
// call, and their ratio, all from one run.
func BenchmarkEntryLatency(b *testing.B) {
	e := startEntry(b)
	b.ResetTimer()
	entry, direct := measure(b, e, max(b.N, 200))
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		through, without := quantile(entry, q.at), quantile(direct, q.at)
		b.ReportMetric(float64(through.Microseconds()), "entry_"+q.name+"_us")
		b.ReportMetric(float64(without.Microseconds()), "direct_"+q.name+"_us")
		b.ReportMetric(float64(through)/float64(without), "ratio_"+q.name)
	}
}

// BenchmarkEntryThroughput reports requests per second and allocations per request
// of one daemon, with callers and the stand-in target in the same process.
func BenchmarkEntryThroughput(b *testing.B) {
	e := startEntry(b)
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	started := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := e.callThroughEntry(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "requests/s")
}

// TestEntryCost checks the allocations of a request and the latency ratio
// against their bounds.
func TestEntryCost(t *testing.T) {
	e := startEntry(t)
	const count = 300
	measure(t, e, 50)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range count {
		if err := e.callThroughEntry(); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / count
	entry, direct := measure(t, e, count)
	ratio := float64(quantile(entry, 0.5)) / float64(quantile(direct, 0.5))
	t.Logf("%.0f allocations a request, median ratio %.2f", allocs, ratio)
	if allocs > maxAllocsPerRequest {
		t.Errorf("%.0f allocations a request, at most %d are allowed", allocs, maxAllocsPerRequest)
	}
	if ratio > maxLatencyRatio {
		t.Errorf("median ratio %.2f, at most %.1f is allowed", ratio, maxLatencyRatio)
	}
}
