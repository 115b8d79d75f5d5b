package driver

import (
	"testing"
	"time"
)

// TestStallReason covers which runs are stopped for want of progress.
func TestStallReason(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, test := range []struct {
		name     string
		run      run
		expected time.Duration
		want     string
	}{
		{"just begun", run{working: ago(time.Second), movedAt: ago(time.Second)}, time.Second, ""},
		{"not known to run", run{}, time.Second, ""},
		{"stands still", run{working: ago(4 * time.Second), movedAt: ago(3 * time.Second), percent: 40}, time.Second, "it stands still"},
		{"a long task may rest longer", run{working: ago(4 * time.Second), movedAt: ago(3 * time.Second), percent: 40}, 10 * time.Second, ""},
		{"slow", run{working: ago(9 * time.Second), movedAt: ago(100 * time.Millisecond), percent: 20}, time.Second, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := stallReason(&test.run, test.expected, now); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
