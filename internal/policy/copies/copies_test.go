package copies

import (
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestReason covers which runs get a copy.
func TestReason(t *testing.T) {
	for _, test := range []struct {
		name string
		run  Run
		want string
	}{
		{"at normal speed", Run{Expected: time.Second, Worked: 500 * ms, Percent: 50}, ""},
		{"just started", Run{Expected: time.Second}, ""},
		{"a late answer", Run{Expected: time.Second, Silent: 200 * ms, Worked: 500 * ms, Percent: 50}, ""},
		{"a silent target", Run{Expected: time.Second, Silent: 400 * ms, Worked: 500 * ms, Percent: 50}, "its target is silent"},
		{"slow from the start on a slow target", Run{Expected: time.Second, Worked: 500 * ms, Percent: 10, TargetSlowness: 4}, "it is slower than a new run"},
		{"a long task on a normal target", Run{Expected: time.Second, Worked: 500 * ms, Percent: 10, TargetSlowness: 0.8}, ""},
		{"a long task on a slightly slow target", Run{Expected: time.Second, Worked: 500 * ms, Percent: 10, TargetSlowness: 1.3}, ""},
		{"the first report of a run that has just started", Run{Expected: time.Second, Worked: 50 * ms, Percent: 1}, ""},
		{"a short run, reported late", Run{Expected: 130 * ms, Worked: 60 * ms, Percent: 9}, ""},
		{"slow, but its job has time", Run{Expected: time.Second, Worked: 500 * ms, Percent: 10, Slack: 6 * time.Second, TargetSlowness: 4}, ""},
		{"slow, but about to end", Run{Expected: time.Second, Worked: 4 * time.Second, Percent: 80, TargetSlowness: 4}, ""},
		{"longer than expected, on a target of normal speed", Run{Expected: time.Second, Worked: 1200 * ms, Percent: 50}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Reason(test.run); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestCutZone simulates runs of one to two seconds in a zone that is unreachable for longer
// than its leases last. With copies they end within half the time that they take if each
// waits for the end of its lease.
func TestCutZone(t *testing.T) {
	const lease = 6400 * ms
	rng := rand.New(rand.NewSource(1))
	waited, copied := time.Duration(0), time.Duration(0)
	for range 100 {
		expected := time.Second + time.Duration(rng.Intn(1000))*ms
		waited += lease + expected
		copied += endWithCopies(t, expected, lease)
	}
	if copied > waited/2 {
		t.Errorf("the runs take %s in all with copies, %s without", copied, waited)
	}
}

// endWithCopies simulates one run from the time its zone becomes unreachable and returns when
// its work has ended.
func endWithCopies(t *testing.T, expected, lease time.Duration) time.Duration {
	t.Helper()
	for at := time.Duration(0); at < lease; at += 50 * ms {
		// An answer is outstanding from the next call on, after half a second on average.
		if Reason(Run{Expected: expected, Silent: max(0, at-500*ms), Worked: expected / 2, Percent: 50, Quiet: at}) != "" {
			return at + expected
		}
	}
	return lease + expected
}

// TestBusyTargets simulates healthy targets whose answers take up to a quarter of a second
// and whose run times vary by half: no run gets a copy.
func TestBusyTargets(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	for range 1000 {
		expected := time.Second
		whole := time.Duration(float64(expected) * (0.5 + rng.Float64()))
		worked := time.Duration(rng.Float64() * float64(whole))
		run := Run{Expected: expected, Silent: time.Duration(rng.Intn(250)) * ms, Worked: worked, Percent: 100 * float64(worked) / float64(whole)}
		if reason := Reason(run); reason != "" {
			t.Fatalf("%+v gets a copy: %s", run, reason)
		}
	}
}

// TestCopyByQuantile guards against copies of runs that only seem slow because little is known of their queue.
func TestCopyByQuantile(t *testing.T) {
	run := Run{Expected: time.Second, Worked: 2 * time.Second, Percent: 49, Slack: time.Second, TargetSlowness: 4}
	for _, test := range []struct {
		pessimistic time.Duration
		copied      bool
	}{{0, true}, {3 * time.Second, false}, {1200 * time.Millisecond, true}} {
		// 2 s are left, a new run takes one.
		run.Pessimistic = test.pessimistic
		if got := Reason(run) != ""; got != test.copied {
			t.Errorf("0.9 quantile %s: copied %v", test.pessimistic, got)
		}
	}
}
