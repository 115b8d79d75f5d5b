package wire

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
)

const (
	// maxStreams bounds the open streams of one session.
	maxStreams = 512
	// maxSessionBytes bounds the total size of the frame bodies that are read
	// concurrently on one session.
	maxSessionBytes = 96 << 20
	// silenceTimeout is how long a session may receive nothing before it is
	// closed. Both ends send a keep-alive every keepAliveInterval.
	silenceTimeout = 2500 * time.Millisecond
)

// ErrOverBudget is returned when a session has too many bytes in flight.
var ErrOverBudget = errors.New("session exceeds its limit of bytes in flight")

// Bytes sent and received on all links between daemons, without the overhead of TLS and TCP.
var (
	bytesSent     = gometrics.GetOrRegisterCounter("link_sent_bytes", nil)
	bytesReceived = gometrics.GetOrRegisterCounter("link_received_bytes", nil)
)

// budget counts the open streams and the bytes in flight of one session.
type budget struct {
	streams atomic.Int64
	bytes   atomic.Int64
}

// acquireStream counts a new stream. It returns false when the session has too many.
func (b *budget) acquireStream() bool {
	if b.streams.Add(1) > maxStreams {
		b.streams.Add(-1)
		return false
	}
	return true
}

func (b *budget) releaseStream() { b.streams.Add(-1) }

// stream is an accepted stream whose frames count against its session's budget.
type stream struct {
	net.Conn
	budget *budget
}

// reserveBytes counts the size of a frame against the session's budget, if r has
// one.
func reserveBytes(r io.Reader, size int64) (release func(), err error) {
	s, ok := r.(*stream)
	if !ok {
		return func() {}, nil
	}
	if s.budget.bytes.Add(size) > maxSessionBytes {
		s.budget.bytes.Add(-size)
		return nil, ErrOverBudget
	}
	return func() { s.budget.bytes.Add(-size) }, nil
}

// silenceConn fails a read when nothing arrives for silenceTimeout. A link that
// drops all packets without closing is thereby detected within seconds instead
// of minutes.
type silenceConn struct {
	net.Conn
	closed atomic.Bool
	// readFailed is closed once a read has failed.
	readFailed chan struct{}
	failOnce   sync.Once
}

func newSilenceConn(conn net.Conn) *silenceConn {
	return &silenceConn{Conn: conn, readFailed: make(chan struct{})}
}

// fail closes the connection and waits until a read has failed.
func (c *silenceConn) fail() {
	c.Conn.Close()
	select {
	case <-c.readFailed:
	case <-time.After(closeTimeout):
	}
}

// Close closes the connection. yamux calls it once its session is shut down; after a violation of
// the protocol its reading goroutine has ended without a failed read, for which nobody has to wait.
// Otherwise such a session holds its buffers for closeTimeout after its connection was closed.
func (c *silenceConn) Close() error {
	c.failOnce.Do(func() { close(c.readFailed) })
	return c.Conn.Close()
}

// Read sets a new deadline, reads and counts the bytes.
func (c *silenceConn) Read(b []byte) (int, error) {
	n, err := c.readWithDeadline(b)
	if err != nil {
		c.failOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

func (c *silenceConn) readWithDeadline(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	bytesReceived.Inc(int64(n))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !c.closed.Swap(true) {
		event.LinkSilent.Emit(event.F("peer", c.RemoteAddr().String()))
	}
	return n, err
}

// Write writes and counts the bytes. After an error the reading goroutine closes the session,
// as in session.Close.
func (c *silenceConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Inc(int64(n))
	if err != nil {
		c.fail()
	}
	return n, err
}

// reportProtocolError emits an event if err is a violation of the protocol by
// the peer.
func reportProtocolError(step string, s net.Conn, err error) {
	if isProtocolError(err) {
		event.FrameRefused.Emit(event.F("step", step), event.F("peer", s.RemoteAddr().String()), event.Err(err))
	}
}
