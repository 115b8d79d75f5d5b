// Package eviction decides which connections a process closes when its memory or its descriptors
// run short.
//
// Load pattern: many connections whose callers send almost all of a body, a header or nothing at
// all and then stop, beside callers whose small requests arrive within milliseconds. The crowd
// replaces connections that are closed, so that the number of connections does not tell who is
// a caller. What does is how much a connection holds and how long it has made no progress.
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a connection is doing.
type Stage int

const (
	// Idle connections wait for their next request, or for the first one.
	Idle Stage = iota
	// Receiving connections have sent part of a request, of which nothing has run.
	Receiving
	// Answering connections have not taken all of the answer to a request that has run.
	Answering
	// Running connections have a request that has been passed on. They are never closed: the
	// caller could not tell whether the request ran.
	Running
)

const (
	// answerStallTimeout is how long an answer may make no progress before its connection may be
	// closed: a link that lost packets recovers within a second or two.
	answerStallTimeout = 2 * time.Second
	// minStalled is counted for connections that have just made progress, so that among them
	// those that hold most come first.
	minStalled = time.Millisecond
	// arrivalStallTimeout is how long a request that arrives may make no progress before its connection
	// may be closed for another of the same size. Without it, bodies that arrive at the same time
	// close each other's connections, and few of them ever arrive whole.
	arrivalStallTimeout = 250 * time.Millisecond
	// smallFactor is how many times as much as the one that asks a connection must hold to be closed
	// although it makes progress, so that a crowd of large bodies does not keep out small ones.
	smallFactor = 4
	// unusedFactor lets connections without any request count as idle for longer than
	// connections of callers between two requests.
	unusedFactor = 8
)

// Holder is a connection that holds memory and a descriptor.
type Holder struct {
	Stage Stage
	// Bytes are the bytes of memory that the connection holds.
	Bytes int64
	// Stalled is the time since the connection made progress.
	Stalled time.Duration
	// Unused connections have never brought a whole request.
	Unused bool
}

func (h Holder) closable() bool {
	switch h.Stage {
	case Idle, Receiving:
		return true
	case Answering:
		return h.Stalled >= answerStallTimeout
	default:
		return false
	}
}

// ForMemory returns the indexes of the connections to close so that need bytes become free, or as
// many as there are: first those that hold most for longest without progress. Those that make
// progress are closed only for one that will hold far less, which is asks.
func ForMemory(holders []Holder, need, asks int64) []int {
	order := slices.DeleteFunc(closable(holders), func(i int) bool {
		return holders[i].Stalled < arrivalStallTimeout && holders[i].Bytes < smallFactor*asks
	})
	score := func(i int) float64 {
		return float64(holders[i].Bytes) * float64(max(holders[i].Stalled, minStalled))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
	for n, i := range order {
		if need -= holders[i].Bytes; need <= 0 {
			return order[:n+1]
		}
	}
	return order
}

// ForDescriptors returns the indexes of at most need connections to close: first idle ones, then
// those that have made no progress for longest. A connection that was opened or brought a request
// just now does not count as idle: its next request may be on its way.
func ForDescriptors(holders []Holder, need int) []int {
	order := closable(holders)
	class := func(i int) int {
		if holders[i].Stage == Idle && holders[i].Stalled >= arrivalStallTimeout {
			return 0
		}
		return 1
	}
	stalled := func(i int) time.Duration {
		if holders[i].Unused && class(i) == 0 {
			return unusedFactor * holders[i].Stalled
		}
		return holders[i].Stalled
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(stalled(b), stalled(a)))
	})
	return order[:min(need, len(order))]
}

func closable(holders []Holder) []int {
	var indexes []int
	for i, h := range holders {
		if h.closable() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
