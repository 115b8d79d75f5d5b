package eviction

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReplayOfCrowd replays a crowd whose connections send 256 KiB except for the last byte, half of
// them in pieces, and which replaces each closed connection at once, beside one caller at a time
// whose body arrives within 20 ms and whose request then runs for 300 ms. It guards against a
// choice that closes a caller's connection instead of the crowd's.
func TestReplayOfCrowd(t *testing.T) {
	const (
		step   = 5 * time.Millisecond
		limit  = 16 << 20
		body   = 256 << 10
		caller = 4 << 10
	)
	is := is.New(t)
	type conn struct {
		Holder
		crowd bool
		size  int64
		age   time.Duration
	}
	var conns []*conn
	held := int64(0)
	callers, closedCallers := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for range 3 {
			conns = append(conns, &conn{Holder: Holder{Stage: Receiving}, crowd: true, size: body})
		}
		if now%(50*time.Millisecond) == 0 {
			callers++
			conns = append(conns, &conn{Holder: Holder{Stage: Receiving}, size: caller})
		}
		for _, c := range slices.Clone(conns) {
			c.age += step
			c.Stalled += step
			grow := min(c.size-c.Bytes, c.size/4)
			if grow > 0 {
				c.Bytes, c.Stalled, held = c.Bytes+grow, 0, held+grow
			}
			if !c.crowd && c.age >= 20*time.Millisecond {
				c.Stage = Running
			}
		}
		conns = slices.DeleteFunc(conns, func(c *conn) bool {
			ended := !c.crowd && c.age > 320*time.Millisecond
			if ended {
				held -= c.Bytes
			}
			return ended
		})
		if held <= limit {
			continue
		}
		holders := make([]Holder, len(conns))
		for i, c := range conns {
			holders[i] = c.Holder
		}
		victims := ForMemory(holders, held-limit+limit/32, caller)
		is.True(len(victims) > 0)
		for _, i := range victims {
			is.True(conns[i].Stage != Running) // the request was passed on
			held -= conns[i].Bytes
			if !conns[i].crowd {
				closedCallers++
			}
			conns[i] = nil
		}
		conns = slices.DeleteFunc(conns, func(c *conn) bool { return c == nil })
		is.True(held <= limit)
	}
	t.Logf("%d callers, %d of them closed", callers, closedCallers)
	is.Equal(closedCallers, 0)
}

// TestDescriptorsOrder guards against closing a connection with a request in it, or one of a caller
// between two requests, while connections are open that have never brought a request.
func TestDescriptorsOrder(t *testing.T) {
	is := is.New(t)
	holders := []Holder{
		{Stage: Running, Stalled: time.Hour},
		{Stage: Answering, Stalled: time.Second},
		{Stage: Answering, Stalled: 3 * time.Second},
		{Stage: Receiving, Stalled: 5 * time.Second},
		{Stage: Idle, Stalled: 15 * time.Second},
		{Stage: Idle, Stalled: 4 * time.Second, Unused: true},
		{Stage: Idle, Stalled: time.Second},
		{Stage: Idle, Stalled: 10 * time.Millisecond, Unused: true}, // a caller that has just connected
	}
	is.Equal(ForDescriptors(holders, 2), []int{5, 4})
	is.Equal(ForDescriptors(holders, 10), []int{5, 4, 6, 3, 2, 7})
	is.Equal(ForMemory([]Holder{{Stage: Running, Bytes: 9, Stalled: time.Hour}}, 1, 1), []int(nil))
	arriving := []Holder{{Stage: Receiving, Bytes: 64 << 10}, {Stage: Receiving, Bytes: 32 << 10, Stalled: time.Second}}
	is.Equal(ForMemory(arriving, 1<<20, 64<<10), []int{1})   // bodies of the same size do not displace each other
	is.Equal(ForMemory(arriving, 1<<20, 4<<10), []int{1, 0}) // a small one displaces a large one
}
