package target

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection is closed to further writes")

// trackedConn counts the writes that were started on a connection. Once sealed,
// it starts no further write, so that the count that seal returned stays correct.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before any byte can leave this process.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writesBegun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and returns how many writes were started on it.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	c.Conn.Close()
	return writes
}

// trackedDialer returns a dial function whose connections count their writes.
func trackedDialer(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// sendTrace follows one request over the connections that the transport uses
// for it, to determine whether any byte of it may have been written.
type sendTrace struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore uint64
	wrote        bool
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal() > t.writesBefore {
		t.wrote = true
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.wrote = true
		return
	}
	t.conn, t.writesBefore = conn, conn.writesBegun()
}

// abandon closes the connection in use and reports whether any write of the
// request was started on any connection.
func (t *sendTrace) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal() > t.writesBefore {
		t.wrote = true
	}
	return t.wrote
}
