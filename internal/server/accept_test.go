package server

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/intake"
)

// exhaustedListener refuses the first accepts for lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	left atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServersOutliveFailedAccepts guards against a listener for callers, targets or operators that ends
// because a connection could not be accepted for lack of file descriptors.
func TestServersOutliveFailedAccepts(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exhausted := &exhaustedListener{Listener: listener}
	exhausted.left.Store(3)
	budget := intake.New(intake.Settings{})
	defer budget.Close()
	server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go serve(server, "listen.control", intake.NewListener(exhausted, "listen.control", budget))
	defer server.Close()
	response, err := http.Get("http://" + listener.Addr().String())
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}
