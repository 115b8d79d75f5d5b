package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

const (
	// firstChunkBytes and maxChunkBytes are the sizes of the pieces that a body is read in. What
	// has not arrived yet costs at most one piece.
	firstChunkBytes = 2 << 10
	maxChunkBytes   = 32 << 10
)

// ErrTooLarge is returned for a body above its limit.
var ErrTooLarge = errors.New("body is too large")

type connKey struct{}

// Attach makes a server follow the requests of its connections, which a Listener has accepted.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := connOf(conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := connOf(conn); ok && state == http.StateIdle {
			_ = c.enter(stageAnswering, stageIdle)
			c.begin()
		}
	}
	server.Handler = follow(server.Handler)
}

// follow serves each request whose connection was not closed to make room. From then on the
// connection is not closed, except while ReadBody waits for the body.
func follow(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.enter(stageHeader, stageRunning) && !c.enter(stageIdle, stageRunning) {
			panic(http.ErrAbortHandler)
		}
		c.used.Store(true)
		if int64(c.budget.now()) < c.budget.shortUntil.Load() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			c.budget.releaseRequest(c)
			c.begin()
			_ = c.enter(stageRunning, stageAnswering)
		}()
		next.ServeHTTP(w, r)
	})
}

// releaseRequest returns what a request has held, except for the connection's own buffers.
func (b *Budget) releaseRequest(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		b.held -= c.held - connBytes
		c.held = connBytes
	}
}

// ReadBody reads the whole body of a request, of at most limit bytes. Memory is charged as the
// bytes arrive. Until it returns without an error, nothing of the request may be passed on.
func ReadBody(r *http.Request, body io.Reader, limit int64) ([]byte, error) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || r.ContentLength == 0 {
		return Read(body, limit)
	}
	if !c.enter(stageRunning, stageBody) {
		return nil, ErrClosed
	}
	c.begin()
	data, err := readChunks(body, limit, func(bytes int64) error { return c.budget.charge(c, bytes) })
	if !c.enter(stageBody, stageRunning) {
		return nil, ErrClosed
	}
	return data, err
}

// Read reads a whole body of at most limit bytes that is not charged to a budget.
func Read(body io.Reader, limit int64) ([]byte, error) {
	return readChunks(body, limit, func(int64) error { return nil })
}

// readChunks reads in pieces, of which the last is at most half of all, and joins them at the end:
// it never holds more than twice what has arrived. The charge for the whole stays for what the
// handler decodes from it.
func readChunks(body io.Reader, limit int64, charge func(int64) error) ([]byte, error) {
	var chunks [][]byte
	total := int64(0)
	for size := int64(firstChunkBytes); ; size = min(2*size, maxChunkBytes) {
		if err := charge(size); err != nil {
			return nil, err
		}
		chunk := make([]byte, min(size, limit+1-total))
		n, err := fill(body, chunk)
		total += int64(n)
		if total > limit {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		}
		chunks = append(chunks, chunk[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if err := charge(total); err != nil {
		return nil, err
	}
	data := make([]byte, 0, total)
	for _, chunk := range chunks {
		data = append(data, chunk...)
	}
	return data, nil
}

// fill reads until the chunk is full or the reader fails. Unlike io.ReadFull it keeps the reader's
// error, which tells a whole body from one that was cut off.
func fill(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		m, err := body.Read(chunk[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Status returns the HTTP status for an error of ReadBody.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoRoom), errors.Is(err, ErrClosed):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// Refused reports whether an error of ReadBody is a lack of room, which is counted and reported
// here.
func Refused(err error) bool { return errors.Is(err, ErrNoRoom) || errors.Is(err, ErrClosed) }

// SetRefusalHeaders sets the headers of an answer to a request without room: it may be sent again,
// over another connection, since the rest of its body is not read.
func SetRefusalHeaders(w http.ResponseWriter, err error) {
	if Refused(err) {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
	}
}
