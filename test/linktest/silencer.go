// Package linktest holds helpers for tests of connections: a proxy that can
// silence its open connections, an authority that signs certificates, and free ports.
package linktest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

const relayBufferBytes = 32 << 10

// Silencer is a proxy to one address. Silence makes it discard all data on the
// connections that are open then. It doesn't close them itself.
type Silencer struct {
	listener     net.Listener
	target       string
	silenceCount atomic.Int64
}

// NewSilencer starts a proxy that accepts connections until the test ends.
func NewSilencer(t testing.TB, target string) *Silencer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &Silencer{listener: listener, target: target}
	go s.serve()
	return s
}

// Address returns the address to dial.
func (s *Silencer) Address() string { return s.listener.Addr().String() }

// Silence discards all further data on the connections that are open now.
func (s *Silencer) Silence() { s.silenceCount.Add(1) }

func (s *Silencer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.relay(conn)
	}
}

func (s *Silencer) relay(conn net.Conn) {
	defer conn.Close()
	targetConn, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer targetConn.Close()
	countAtOpen := s.silenceCount.Load()
	var forwarders sync.WaitGroup
	forwarders.Go(func() { s.forward(conn, targetConn, countAtOpen) })
	forwarders.Go(func() { s.forward(targetConn, conn, countAtOpen) })
	forwarders.Wait()
}

func (s *Silencer) forward(from, to net.Conn, countAtOpen int64) {
	b := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			to.Close()
			return
		}
		if s.silenceCount.Load() == countAtOpen {
			to.Write(b[:n])
		}
	}
}
