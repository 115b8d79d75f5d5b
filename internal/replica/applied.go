package replica

import (
	"sort"
	"sync"
	"time"
)

const (
	// appliedSpacing is the time of entries that are remembered together.
	appliedSpacing = 20 * time.Millisecond
	// appliedKept is the number of times that are remembered: those of the last minute, if entries keep coming.
	appliedKept = 3000
)

// AppliedTimes remembers when entries were applied here, so that a new leader can count from what its
// predecessors committed. It is safe for concurrent use.
type AppliedTimes struct {
	now func() time.Time

	mu    sync.Mutex
	times []appliedTime
}

// appliedTime is when all entries up to an index were applied, the first of them at began.
type appliedTime struct {
	index     uint64
	began, at time.Time
}

// NewAppliedTimes returns an empty AppliedTimes on a clock.
func NewAppliedTimes(now func() time.Time) *AppliedTimes { return &AppliedTimes{now: now} }

// Note records that the entries up to an index are applied now.
func (a *AppliedTimes) Note(index uint64) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.times); n > 0 && now.Sub(a.times[n-1].began) < appliedSpacing {
		a.times[n-1].index, a.times[n-1].at = index, now
		return
	}
	if len(a.times) >= 2*appliedKept {
		a.times = append([]appliedTime(nil), a.times[len(a.times)-appliedKept:]...)
	}
	a.times = append(a.times, appliedTime{index, now, now})
}

// At returns a time at which the entry with an index had been applied here, which is later than the
// first one for old entries; false if it has not been.
func (a *AppliedTimes) At(index uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := sort.Search(len(a.times), func(i int) bool { return a.times[i].index >= index })
	if i == len(a.times) {
		return time.Time{}, false
	}
	return a.times[i].at, true
}

// timedMachine is a state machine that notes when entries were applied.
type timedMachine struct {
	StateMachine
	times *AppliedTimes
}

// WithAppliedTimes returns the state machine, with each entry that it applies noted.
func WithAppliedTimes(m StateMachine, times *AppliedTimes) StateMachine {
	return timedMachine{m, times}
}

// Apply implements StateMachine.
func (m timedMachine) Apply(index uint64, command []byte) any {
	outcome := m.StateMachine.Apply(index, command)
	m.times.Note(index)
	return outcome
}
