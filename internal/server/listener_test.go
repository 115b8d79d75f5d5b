package server

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnectionLimit opens one connection above the limit, which must be closed, and then
// closes another one, after which the next must be accepted.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	limited := &limitListener{Listener: inner, field: "listen.callers", limit: 2}
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	refused := dial()
	refused.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = refused.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed at once
	is.NoErr(first.Close())
	is.True(first.Close() != nil) // a second close is not counted again
	dial()
	<-accepted
	is.Equal(len(accepted), 0)
}
