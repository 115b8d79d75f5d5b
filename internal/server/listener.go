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
	// limitEventInterval spaces the events of a listener at its limit.
	limitEventInterval = 10 * time.Second
)

// limitListener closes connections above its limit at once, so that a flood
// of connections cannot use up the files of the process.
type limitListener struct {
	net.Listener
	field string
	limit int

	mu       sync.Mutex
	open     int
	reported time.Time
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &limitConn{Conn: conn, listener: l}, nil
		}
		conn.Close()
	}
}

func (l *limitListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		return true
	}
	if time.Since(l.reported) > limitEventInterval {
		l.reported = time.Now()
		event.ConnectionRefused.Emit(event.F("field", l.field), event.F("limit", l.limit))
	}
	return false
}

func (l *limitListener) give() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close gives the place back.
func (c *limitConn) Close() error {
	c.once.Do(c.listener.give)
	return c.Conn.Close()
}
