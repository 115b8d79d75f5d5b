package preempt

import (
	"testing"
	"time"
)

// TestMustSave checks that a run stops only when it has to, and not if it ends in time.
func TestMustSave(t *testing.T) {
	for _, test := range []struct {
		name         string
		endsIn, goes time.Duration
		want         bool
	}{
		{"time is left", 30 * time.Second, 5 * time.Second, false},
		{"its target is about to go away", 30 * time.Second, saveTime, true},
		{"it ends before its target goes away", time.Second, 1200 * time.Millisecond, false},
		{"its target may go away any moment", time.Second, -time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := MustSave(test.endsIn, test.goes); got != test.want {
				t.Errorf("must save: %t, want %t", got, test.want)
			}
		})
	}
}
