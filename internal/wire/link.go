package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"sapphirering/internal/event"
	"sapphirering/internal/fsys"
	"sapphirering/internal/wire/wirepb"
)

const (
	protocolVersion = 1

	dialTimeout       = 1500 * time.Millisecond
	keepAliveInterval = 1 * time.Second
	streamTimeout     = 3 * time.Second
	helloTimeout      = 3 * time.Second
	maxHelloBytes     = 4 << 10
)

// Dialer opens yamux sessions to other daemons and keeps one per address.
type Dialer struct {
	// TLS secures links; it may be nil only for loopback addresses.
	TLS *tls.Config
	// Addresses maps advertised addresses to the addresses to dial instead.
	Addresses map[string]string

	mu       sync.Mutex
	sessions map[string]*session
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = streamTimeout
	cfg.StreamOpenTimeout = streamTimeout
	cfg.StreamCloseTimeout = streamTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Open opens a stream and sends its hello. A session on which this fails is
// closed with all its streams, so that the next call dials again.
func (d *Dialer) Open(ctx context.Context, address string, hello *wirepb.Hello) (net.Conn, error) {
	session, err := d.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		d.Drop(address, session)
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	hello.Version = protocolVersion
	if err := stream.SetWriteDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, fmt.Errorf("set write deadline of stream to %s: %w", address, err)
	}
	if err := WriteFrame(stream, hello); err != nil {
		d.Drop(address, session)
		return nil, fmt.Errorf("send hello to %s: %w", address, err)
	}
	return stream, stream.SetWriteDeadline(time.Time{})
}

func (d *Dialer) session(ctx context.Context, address string) (*session, error) {
	d.mu.Lock()
	known := d.sessions[address]
	d.mu.Unlock()
	if known != nil && !known.IsClosed() {
		return known, nil
	}
	dialAddress := address
	if override, ok := d.Addresses[address]; ok {
		dialAddress = override
	}
	conn, err := d.dial(ctx, dialAddress)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	opened, err := newSession(conn, yamux.Client)
	if err != nil {
		return nil, fmt.Errorf("start session to %s: %w", address, err)
	}
	return d.storeSession(address, opened), nil
}

func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if d.TLS == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: d.TLS}
	return dialer.DialContext(ctx, "tcp", address)
}

// storeSession stores and returns the opened session. If another call stored one
// meanwhile, it closes the opened one and returns the stored one.
func (d *Dialer) storeSession(address string, opened *session) *session {
	d.mu.Lock()
	other := d.sessions[address]
	if other == nil || other.IsClosed() {
		if d.sessions == nil {
			d.sessions = make(map[string]*session)
		}
		d.sessions[address] = opened
		d.mu.Unlock()
		return opened
	}
	d.mu.Unlock()
	opened.Close() // waits for the session's goroutines
	return other
}

// Drop closes a session that no longer works and removes it from the dialer.
func (d *Dialer) Drop(address string, dropped *session) {
	d.mu.Lock()
	if d.sessions[address] == dropped {
		delete(d.sessions, address)
	}
	d.mu.Unlock()
	dropped.Close()
}

// Close closes every session.
func (d *Dialer) Close() {
	d.mu.Lock()
	open := d.sessions
	d.sessions = nil
	d.mu.Unlock()
	for _, opened := range open {
		opened.Close()
	}
}

// StreamHandler serves one accepted stream after its hello was read.
type StreamHandler func(hello *wirepb.Hello, stream net.Conn)

// Server accepts sessions of other daemons.
type Server struct {
	Listener net.Listener
	Handler  StreamHandler
	// Established is called with the connection of each stream that has sent a valid hello; it may
	// be nil.
	Established func(net.Conn)

	mu       sync.Mutex
	closed   bool
	sessions map[*session]struct{}
}

const (
	// minAcceptRetry and maxAcceptRetry bound the growing pause after an accept that failed for now.
	minAcceptRetry, maxAcceptRetry = 5 * time.Millisecond, time.Second
)

// Serve accepts connections until Close is called. A connection that could not be accepted for lack
// of file descriptors, or because it was aborted, does not end it.
func (s *Server) Serve() error {
	pause := time.Duration(0)
	for {
		conn, err := s.Listener.Accept()
		if err == nil {
			pause = 0
			go s.serveConn(conn)
			continue
		}
		if !acceptPasses(err) {
			return fmt.Errorf("accept on %s: %w", s.Listener.Addr(), err)
		}
		if pause == 0 {
			event.NoDescriptors.Emit(event.F("step", "accept"), event.F("address", s.Listener.Addr().String()), event.Err(err))
		}
		pause = min(max(2*pause, minAcceptRetry), maxAcceptRetry)
		time.Sleep(pause)
	}
}

// acceptPasses reports whether an accept may succeed after one that failed with an error.
func acceptPasses(err error) bool {
	return fsys.OutOfDescriptors(err) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

func (s *Server) serveConn(conn net.Conn) {
	opened, err := newSession(conn, yamux.Server)
	if err != nil {
		return
	}
	if !s.track(opened) {
		opened.Close()
		return
	}
	defer s.untrack(opened)
	limit := new(budget)
	for {
		accepted, err := opened.AcceptStream()
		if err != nil {
			opened.Close()
			return
		}
		if !limit.acquireStream() {
			event.StreamsRefused.Emit(event.F("peer", conn.RemoteAddr().String()))
			accepted.Close()
			continue
		}
		go func() {
			defer limit.releaseStream()
			defer reportPanic(accepted)
			s.serveStream(conn, &stream{Conn: accepted, budget: limit})
		}()
	}
}

// reportPanic keeps a panic in the handler of one stream from ending the daemon, as net/http does
// for requests. The deferred calls of the handler have closed the stream.
func reportPanic(s net.Conn) {
	if r := recover(); r != nil {
		event.StreamFailed.Emit(event.F("peer", s.RemoteAddr().String()), event.F("error", fmt.Sprint(r)), event.F("stack", string(debug.Stack())))
	}
}

// serveStream reads the hello and calls the handler. A malformed hello closes only this stream.
func (s *Server) serveStream(conn, stream net.Conn) {
	defer stream.Close()
	hello := new(wirepb.Hello)
	if stream.SetReadDeadline(time.Now().Add(helloTimeout)) != nil {
		return
	}
	if err := ReadFrame(stream, hello, maxHelloBytes); err != nil {
		reportProtocolError("hello", stream, err)
		return
	}
	if hello.Version != protocolVersion {
		reportProtocolError("hello", stream, fmt.Errorf("%w: protocol version %d, this daemon uses version %d", ErrMalformed, hello.Version, protocolVersion))
		return
	}
	if stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	if s.Established != nil {
		s.Established(conn)
	}
	s.Handler(hello, stream)
}

func (s *Server) track(opened *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.sessions == nil {
		s.sessions = make(map[*session]struct{})
	}
	s.sessions[opened] = struct{}{}
	return true
}

func (s *Server) untrack(closed *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, closed)
}

// Close stops accepting and closes every session.
func (s *Server) Close() {
	s.Listener.Close()
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	for _, opened := range open {
		opened.Close()
	}
}
