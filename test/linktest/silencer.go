// Package linktest holds small fakes for tests of links: a proxy whose open
// connections can go silent, and an authority that signs certificates.
package linktest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

const relayBytes = 32 << 10

// Silencer forwards connections to a target until it is told to swallow
// everything on those that are open by then. It closes none of them itself.
type Silencer struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

// NewSilencer starts a proxy that ends with the test.
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

// Silence swallows everything on the connections that are open now.
func (s *Silencer) Silence() { s.epoch.Add(1) }

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
	other, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer other.Close()
	epoch := s.epoch.Load()
	var both sync.WaitGroup
	both.Go(func() { s.forward(conn, other, epoch) })
	both.Go(func() { s.forward(other, conn, epoch) })
	both.Wait()
}

func (s *Silencer) forward(from, to net.Conn, epoch int64) {
	b := make([]byte, relayBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			to.Close()
			return
		}
		if s.epoch.Load() == epoch {
			to.Write(b[:n])
		}
	}
}
