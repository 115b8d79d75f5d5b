package server

import (
	"net"
	"sync"
	"time"

	"sapphirering/internal/event"
)

const (
	// maxConnections bounds the open connections of one listener.
	maxConnections = 4096
	// limitEventInterval is the shortest time between two events of a listener at its limit.
	limitEventInterval = 10 * time.Second
)

// limitListener closes connections above its limit at once, so that many connections cannot
// use up the file descriptors of the process.
type limitListener struct {
	net.Listener
	field string
	limit int

	mu           sync.Mutex
	open         int
	lastReported time.Time
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitConn{Conn: conn, listener: l}, nil
		}
		conn.Close()
	}
}

func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		return true
	}
	if time.Since(l.lastReported) > limitEventInterval {
		l.lastReported = time.Now()
		event.ConnectionRefused.Emit(event.F("field", l.field), event.F("limit", l.limit))
	}
	return false
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close closes the connection and, on the first call, no longer counts it towards the limit.
func (c *limitConn) Close() error {
	c.once.Do(c.listener.release)
	return c.Conn.Close()
}
