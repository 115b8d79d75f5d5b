// Package targetcalls decides how a leader shares its connections and its processor time between the
// calls to its targets. The load is a leader with thousands of targets whose process has a few thousand
// file descriptors: listings that wait occupy a connection each, starts need further ones beside them.
// While every target can have all the connections that it may use, nothing is limited.
package targetcalls

import "time"

const (
	// ConnsPerTarget is the number of connections that calls to one target may use at the same time
	// without losses: one for its listing and two for starts.
	ConnsPerTarget = 3
	// sharedSenders is the number of goroutines that send starts to a target when connections are short.
	sharedSenders = 1
	// waitingShare is the part of the connections that listings which wait may occupy, in halves: the
	// others must be enough for starts and for listings that do not wait.
	waitingShare = 2
	// listingsPerSecond bounds the listings of targets that have runs. A call costs a leader about 50 us of
	// processor time with its answer; these take less than a third of a leader that has 0.56 of a core.
	listingsPerSecond = 3000
	// maxPause is the longest pause between two listings of a target with runs. Its lease is renewed more
	// than three times within its length of 6 s.
	maxPause = time.Second
)

// Share is what the calls to a number of targets share.
type Share struct {
	// Connections is the number of connections to targets that the process can keep open, 0 for
	// no bound.
	Connections int
	// Targets is the number of targets that may be called.
	Targets int
}

// Short reports whether there are too few connections for all calls that targets may get at once.
func (s Share) Short() bool { return s.Connections > 0 && s.Targets*ConnsPerTarget > s.Connections }

// Senders returns how many goroutines send starts to one target; usual is their number without a shortage.
func (s Share) Senders(usual int) int {
	if s.Short() {
		return min(sharedSenders, usual)
	}
	return usual
}

// MayWait reports whether a further listing may wait for an end beside those that do.
func (s Share) MayWait(waiting int) bool { return !s.Short() || waiting < s.Connections/waitingShare }

// Pause returns the time between the answer to a listing of a target with runs and its next listing.
// busy is the number of targets with runs, usual the pause without a shortage.
func (s Share) Pause(busy int, usual time.Duration) time.Duration {
	if !s.Short() {
		return usual
	}
	return max(usual, min(time.Duration(busy)*time.Second/listingsPerSecond, maxPause))
}

// ConnectionsFor returns how many connections to targets a process may keep open that may have a number
// of open files. The others are for targets and operators that call the process, for other daemons, and for files.
func ConnectionsFor(descriptors uint64) int {
	descriptors = min(descriptors, maxDescriptors)
	left := int(descriptors - min(reservedDescriptors, descriptors/2))
	return max(left*targetShare/targetShareOf, 1)
}

const (
	// reservedDescriptors are kept for files; half of all if there are fewer than twice as many.
	reservedDescriptors = 200
	// targetShare of targetShareOf descriptors are for connections to targets: with 4,096 descriptors these are
	// 2,922, and calls are limited from 975 targets on.
	targetShare, targetShareOf = 3, 4
	// maxDescriptors bounds the limit that counts, since a process without a limit reports the largest number.
	maxDescriptors = 1 << 20
)
