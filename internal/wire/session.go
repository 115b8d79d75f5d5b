package wire

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// closeTimeout limits how long a session's reading goroutine may take to notice that its
// connection is closed.
const closeTimeout = time.Second

// session is a yamux session and its connection.
type session struct {
	*yamux.Session
	conn *silenceConn
}

// newSession starts a session over a connection, which it closes on failure.
func newSession(conn net.Conn, start func(conn io.ReadWriteCloser, cfg *yamux.Config) (*yamux.Session, error)) (*session, error) {
	watched := newSilenceConn(conn)
	opened, err := start(watched, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &session{opened, watched}, nil
}

// Close closes the session and its streams. The session's own reading goroutine does so once
// its connection fails: yamux's readers poll a session that another goroutine closes until
// that has gone on, and keep it from running where nothing preempts them.
func (s *session) Close() error {
	s.conn.fail()
	select {
	case <-s.CloseChan():
	case <-time.After(closeTimeout):
	}
	return s.Session.Close()
}
