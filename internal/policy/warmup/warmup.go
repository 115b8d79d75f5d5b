// Package warmup decides what a target gets that is slow for some time after it was idle. It has no side
// effects. It is made for an availability zone that comes back after an evacuation: all its targets are cold at
// once, for seconds, while jobs of a second or two with little slack keep coming.
package warmup

import "time"

const (
	// Slowness is the assumed ratio of run times on a cold target to those on a warm one. Targets state how
	// long they are slow, not by how much; 2 is an assumption, not measured.
	Slowness = 2.0
	// leastShare is the share of its room that a cold target offers at first, so that the first tasks
	// warm it up.
	leastShare = 0.25
)

// Share returns the share of its room that a target offers that is cold for left out of total. It grows
// evenly to 1.
func Share(left, total time.Duration) float64 {
	if left <= 0 || total <= 0 {
		return 1
	}
	return leastShare + (1-leastShare)*float64(max(total-left, 0))/float64(total)
}

// Delay returns how much longer work of the given run time takes that begins on a target that is cold for left.
func Delay(work, left time.Duration) time.Duration {
	if work <= 0 || left <= 0 {
		return 0
	}
	return time.Duration(min(float64(work)*(Slowness-1), float64(left)*(1-1/Slowness)))
}
