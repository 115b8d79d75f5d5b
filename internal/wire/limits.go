package wire

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
)

const (
	// maxStreams bounds the open streams of one session.
	maxStreams = 512
	// sessionBytes bounds the frame bodies of one session that are read at once.
	sessionBytes = 96 << 20
	// silenceTimeout closes a session from which nothing arrives. Both ends
	// send a keep-alive each keepAliveInterval.
	silenceTimeout = 2500 * time.Millisecond
)

// ErrOverBudget is returned when a session has too many bytes in flight.
var ErrOverBudget = errors.New("session exceeds its limit of bytes in flight")

// Bytes of all links to other daemons, before TLS and TCP add theirs.
var (
	bytesSent     = gometrics.GetOrRegisterCounter("link_sent_bytes", nil)
	bytesReceived = gometrics.GetOrRegisterCounter("link_received_bytes", nil)
)

// budget counts the streams and bytes of one session.
type budget struct {
	streams atomic.Int64
	bytes   atomic.Int64
}

// open takes a stream; false when the session has too many.
func (b *budget) open() bool {
	if b.streams.Add(1) > maxStreams {
		b.streams.Add(-1)
		return false
	}
	return true
}

func (b *budget) close() { b.streams.Add(-1) }

// stream is an accepted stream that draws on its session's budget.
type stream struct {
	net.Conn
	budget *budget
}

// reserve draws the size of a frame from the session's budget, if r has one.
func reserve(r io.Reader, size int64) (release func(), err error) {
	s, ok := r.(*stream)
	if !ok {
		return func() {}, nil
	}
	if s.budget.bytes.Add(size) > sessionBytes {
		s.budget.bytes.Add(-size)
		return nil, ErrOverBudget
	}
	return func() { s.budget.bytes.Add(-size) }, nil
}

// silenceConn ends reads when nothing arrives for silenceTimeout, so that a
// link which swallows everything without closing costs seconds, not minutes.
type silenceConn struct {
	net.Conn
	closed atomic.Bool
}

// Read sets a fresh deadline and reads.
func (c *silenceConn) Read(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	bytesReceived.Inc(int64(n))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !c.closed.Swap(true) {
		event.SessionSilent.Emit(event.F("peer", c.RemoteAddr().String()))
	}
	return n, err
}

// Write counts what it writes.
func (c *silenceConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Inc(int64(n))
	return n, err
}

// noteFrameError reports a peer that broke the protocol.
func noteFrameError(step string, s net.Conn, err error) {
	if refused(err) {
		event.FrameRefused.Emit(event.F("step", step), event.F("peer", s.RemoteAddr().String()), event.Err(err))
	}
}
