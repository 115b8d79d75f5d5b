package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failingListener fails the first accepts with an error.
type failingListener struct {
	net.Listener
	err  error
	left atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a daemon that no other can reach any more after its
// descriptors were used up once.
func TestAcceptWithoutDescriptors(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failing := &failingListener{Listener: listener, err: syscall.EMFILE}
	failing.left.Store(3)
	server := &Server{Listener: failing}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	for failing.left.Load() >= 0 {
		select {
		case err := <-ended:
			t.Fatal(err)
		default:
		}
	}
	is.NoErr(listener.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
}
