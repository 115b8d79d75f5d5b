package intake

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sapphirering/internal/policy/eviction"
)

const (
	// progressBytes is what a connection must send to have made progress. Single bytes are none.
	progressBytes = 4 << 10
	// writeChunkBytes is the part of an answer that must be taken within the write timeout.
	writeChunkBytes = 64 << 10
	// socketBufferBytes limits the kernel's buffers of a connection, which grow to several MB for
	// callers that do not read, and which count as memory of the process. 64 KiB in 1.4 ms are
	// 45 MB/s.
	socketBufferBytes = 64 << 10
)

// Stages of a connection.
const (
	stageIdle int32 = iota
	stageHeader
	// stageBody: the handler waits for the body and has passed nothing on.
	stageBody
	// stageRunning: the handler has the whole request.
	stageRunning
	// stageAnswering: the handler has returned, the rest of the answer may be in a buffer.
	stageAnswering
	// stageKept: the connection carries a session of another daemon.
	stageKept
	// stageClosed: the connection was closed to make room.
	stageClosed
)

var stageOf = map[int32]eviction.Stage{
	stageIdle: eviction.Idle, stageHeader: eviction.Receiving, stageBody: eviction.Receiving,
	stageRunning: eviction.Running, stageAnswering: eviction.Answering,
	stageKept: eviction.Running, stageClosed: eviction.Running,
}

// Listener charges each connection that it accepts to a budget.
type Listener struct {
	net.Listener
	field  string
	budget *Budget
}

// NewListener returns a listener that charges a budget; field names it in log events.
func NewListener(inner net.Listener, field string, b *Budget) *Listener {
	return &Listener{Listener: inner, field: field, budget: b}
}

// LimitSocketBuffers limits the kernel's buffers of the connections that a listener will accept;
// they inherit them.
func (l *Listener) LimitSocketBuffers() error {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes))
	})
	return errors.Join(err, optionErr)
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, field: l.field, budget: l.budget}
		c.progress()
		if l.budget.admit(c) {
			return c, nil
		}
		inner.Close()
	}
}

// Conn is a connection that is charged to a budget.
type Conn struct {
	net.Conn
	field  string
	budget *Budget
	once   sync.Once

	stage atomic.Int32
	// used is set once a whole request has arrived.
	used atomic.Bool
	// received counts the bytes read. At progressAt, of which progressMark tells the bytes, the
	// connection last made progress.
	received, progressMark, progressAt atomic.Int64
	// stageBegan is when the header or the body of the present request began.
	stageBegan atomic.Int64
	// writing is since when a write is waiting, 0 if none is.
	writing atomic.Int64
	// writeDeadline is the handler's own deadline, in nanoseconds of Unix time; 0 for none.
	writeDeadline atomic.Int64

	// held, windowOf, windowBegan and windowBytes are guarded by the budget's mutex.
	held        int64
	windowOf    int64
	windowBegan time.Duration
	windowBytes int64
}

func (c *Conn) progress() {
	c.progressMark.Store(c.received.Load())
	c.progressAt.Store(int64(c.budget.now()))
}

// enter moves the connection from one stage to another. It returns false if it is in neither.
func (c *Conn) enter(from, to int32) bool {
	if !c.stage.CompareAndSwap(from, to) {
		return c.stage.Load() == to
	}
	return true
}

// begin notes the start of a header, a body, an answer or a pause.
func (c *Conn) begin() {
	c.progress()
	c.stageBegan.Store(c.progressAt.Load())
}

func (c *Conn) holder(now time.Duration) (eviction.Holder, int32) {
	stage := c.stage.Load()
	h := eviction.Holder{
		Stage: stageOf[stage], Bytes: c.held, Stalled: max(0, now-time.Duration(c.progressAt.Load())), Unused: !c.used.Load(),
	}
	// A handler that writes has its outcome.
	if since := c.writing.Load(); since != 0 && stage != stageKept && stage != stageClosed {
		h.Stage, h.Stalled = eviction.Answering, max(0, now-time.Duration(since))
	}
	return h, stage
}

// Read reads and notes the progress. Memory for a long header is charged as it arrives.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.stage.Load() == stageIdle && c.stage.CompareAndSwap(stageIdle, stageHeader) {
			c.begin()
		}
		if c.received.Add(int64(n))-c.progressMark.Load() >= progressBytes {
			c.progress()
			if c.stage.Load() == stageHeader {
				// net/http holds the text of a header and its parsed fields.
				if chargeErr := c.budget.charge(c, 2*progressBytes); chargeErr != nil {
					c.reset()
					return 0, chargeErr
				}
			}
		}
	}
	if err != nil && c.stage.Load() == stageClosed {
		return n, ErrClosed
	}
	return n, err
}

// Write writes in parts, each of which must be taken within the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	// A session of another daemon must not end for lack of room: all its calls would end with it.
	if large := int64(len(p)); large > writeChunkBytes && c.stage.Load() != stageKept {
		if err := c.budget.charge(c, large); err != nil {
			c.reset()
			return 0, err
		}
		defer c.budget.release(c, large)
	}
	defer c.writing.Store(0)
	written := 0
	for {
		part := p[written:min(len(p), written+writeChunkBytes)]
		c.writing.Store(int64(c.budget.now()))
		deadline := time.Now().Add(c.budget.settings.WriteTimeout)
		own := c.writeDeadline.Load()
		if own != 0 && own < deadline.UnixNano() {
			deadline = time.Unix(0, own)
		}
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			if own == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
				closed(reasonUnread, c, c.budget.holderOf(c))
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// SetWriteDeadline sets a deadline that holds beside the write timeout.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(0)
	} else {
		c.writeDeadline.Store(t.UnixNano())
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// reset closes the connection without sending what is left in its buffers.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, the connection is closed in the ordinary way.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// end closes the connection to make room. An idle one may still have the end of its last answer in
// the kernel's buffer, which is sent.
func (c *Conn) end(stage int32) {
	if stage == stageIdle {
		_ = c.Conn.Close()
		return
	}
	c.reset()
}

// Close closes the connection and returns what it holds to the budget.
func (c *Conn) Close() error {
	c.once.Do(func() { c.budget.remove(c) })
	return c.Conn.Close()
}

// connOf returns the charged connection under a TLS connection, or the connection itself.
func connOf(conn net.Conn) (*Conn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

// Establish marks a connection that carries a session of another daemon. It is never closed to
// make room.
func Establish(conn net.Conn) {
	if c, ok := connOf(conn); ok {
		_ = c.enter(stageIdle, stageKept) || c.enter(stageHeader, stageKept)
	}
}
