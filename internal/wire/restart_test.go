package wire

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// linkDelay bounds what a closing link may add to an election, whose target is 300 ms from the
// first candidate to a leader.
const linkDelay = 300 * time.Millisecond

// TestCloseBeforeFirstRead closes a connection whose reading goroutine has not called Read yet.
func TestCloseBeforeFirstRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	watched := newSilenceConn(conn)
	conn.Close()
	var b [1]byte
	_, err = watched.Read(b[:])
	is.True(err != nil)
	start := time.Now()
	watched.fail()
	is.True(time.Since(start) < linkDelay) // a read has failed already
}

// TestSimultaneousOpens opens streams to one address at once, as the senders of messages and
// calls do when a peer is back: all but one of the connections are closed again.
func TestSimultaneousOpens(t *testing.T) {
	const rounds, callers = 20, 8
	is := is.New(t)
	server := echoServer(t, "127.0.0.1:0")
	defer server.Close()
	for range rounds {
		dialer := new(Dialer)
		var slowest time.Duration
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				start := time.Now()
				_, _, err := dialer.Call(context.Background(), server.Listener.Addr().String(), &wirepb.Hello{}, &wirepb.CallRequest{})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Error(err)
				}
				slowest = max(slowest, time.Since(start))
			})
		}
		wg.Wait()
		dialer.Close()
		is.True(slowest < linkDelay)
	}
}

// TestPeerRestartsAtItsAddress replaces a peer at its address while messages and calls are under
// way. The links must work again as soon as the peer listens.
func TestPeerRestartsAtItsAddress(t *testing.T) {
	const rounds = 8
	is := is.New(t)
	server := echoServer(t, "127.0.0.1:0")
	address := server.Listener.Addr().String()
	dialer := new(Dialer)
	defer dialer.Close()
	peers := NewPeers(dialer, "cluster", "a")
	defer peers.Close()
	peers.SetMembership(&wirepb.Membership{Members: []*wirepb.Member{{Id: "b", Address: address}}})

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				peers.Send([]*wirepb.ReplicaMessage{{To: "b", Type: wirepb.MessageType_MESSAGE_TYPE_VOTE}})
			}
		}
	})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				ctx, cancel := context.WithTimeout(context.Background(), linkDelay)
				dialer.Call(ctx, address, &wirepb.Hello{}, &wirepb.CallRequest{})
				cancel()
			}
		})
	}
	for range rounds {
		time.Sleep(20 * time.Millisecond)
		server.Close()
		server = echoServer(t, address)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		for {
			if _, _, err := dialer.Call(ctx, address, &wirepb.Hello{}, &wirepb.CallRequest{}); err == nil || ctx.Err() != nil {
				break
			}
		}
		is.NoErr(ctx.Err())
		cancel()
		is.True(time.Since(start) < linkDelay)
	}
	close(stop)
	wg.Wait()
	server.Close()
}

// TestPanicClosesOneStream panics in the handler of one call: its caller gets an error, and the
// others go on.
func TestPanicClosesOneStream(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &Server{Listener: listener, Handler: func(hello *wirepb.Hello, s net.Conn) {
		ServeCall(s, func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse {
			if hello.FromMember == "odd" {
				panic("nobody expects this")
			}
			return new(wirepb.CallResponse)
		})
	}}
	go server.Serve()
	defer server.Close()
	dialer := new(Dialer)
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := listener.Addr().String()
	for range 3 {
		_, sent, err := dialer.Call(ctx, address, &wirepb.Hello{FromMember: "odd"}, &wirepb.CallRequest{})
		is.True(err != nil)
		is.True(sent) // it may have run
		_, _, err = dialer.Call(ctx, address, &wirepb.Hello{}, &wirepb.CallRequest{})
		is.NoErr(err)
	}
}

// echoServer answers calls and takes messages at the address.
func echoServer(t *testing.T, address string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Listener: listener, Handler: func(hello *wirepb.Hello, s net.Conn) {
		if hello.Kind == wirepb.StreamKind_STREAM_KIND_REPLICA {
			ServeReplica(s, func(*wirepb.ReplicaMessage) {})
			return
		}
		ServeCall(s, func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse { return new(wirepb.CallResponse) })
	}}
	go server.Serve()
	return server
}
