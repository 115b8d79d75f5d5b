package wire

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// closeChildEnv names the variable by which a test process knows that it is the child.
const closeChildEnv = "SAPPHIRERING_TEST_CLOSE"

// TestCloseWithBlockedReaders closes sessions whose streams are being read, by each side and by
// a connection that fails, in a process with one thread for Go code and without preemption: a
// reader that polls the session while it closes would keep the closing goroutine from running.
func TestCloseWithBlockedReaders(t *testing.T) {
	const within = 20 * time.Second
	if how := os.Getenv(closeChildEnv); how != "" {
		closeWithBlockedReaders(t, how)
		return
	}
	for _, how := range []string{"dialer", "server", "failed write"} {
		t.Run(how, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), within)
			defer cancel()
			child := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCloseWithBlockedReaders$")
			child.Env = append(os.Environ(), closeChildEnv+"="+how, "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
			if out, err := child.CombinedOutput(); err != nil {
				t.Fatalf("child: %v (context: %v)\n%s", err, ctx.Err(), out)
			}
		})
	}
}

func closeWithBlockedReaders(t *testing.T, how string) {
	const rounds, streams = 20, 4
	is := is.New(t)
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ended := make(chan struct{}, 2*streams)
		read := func(s net.Conn) {
			var b [1]byte
			s.Read(b[:])
			ended <- struct{}{}
		}
		accepted := make(chan struct{}, streams)
		server := &Server{Listener: listener, Handler: func(_ *wirepb.Hello, s net.Conn) {
			accepted <- struct{}{}
			read(s)
		}}
		go server.Serve()
		dialer := new(Dialer)
		for range streams {
			s, err := dialer.Open(context.Background(), listener.Addr().String(), &wirepb.Hello{})
			is.NoErr(err)
			go read(s)
			<-accepted
		}
		time.Sleep(time.Millisecond) // the readers wait
		switch how {
		case "dialer":
			dialer.Close()
		case "server":
			server.Close()
		case "failed write":
			dialer.mu.Lock()
			for _, s := range dialer.sessions {
				s.failWrites()
			}
			dialer.mu.Unlock()
			_, err := dialer.Open(context.Background(), listener.Addr().String(), &wirepb.Hello{})
			is.True(err != nil)
		}
		for range 2 * streams {
			<-ended
		}
		dialer.Close()
		server.Close()
	}
}

// failWrites makes writes to the session's connection fail while reads go on.
func (s *session) failWrites() { s.conn.Conn.(*net.TCPConn).CloseWrite() }

// slowCloseConn is a connection whose first Close lets other goroutines run for a while, as a
// system call does.
type slowCloseConn struct {
	net.Conn
	closes atomic.Int32
}

const slowClose = 300 * time.Millisecond

func (c *slowCloseConn) Close() error {
	if c.closes.Add(1) == 1 {
		time.Sleep(slowClose)
	}
	return c.Conn.Close()
}

// TestCloseUsesNoProcessor closes a session with blocked readers over a connection that takes
// long to close: no reader may poll the session meanwhile.
func TestCloseUsesNoProcessor(t *testing.T) {
	const streams = 4
	is := is.New(t)
	near, far := net.Pipe()
	server, err := newSession(far, yamux.Server)
	is.NoErr(err)
	defer server.Close()
	client, err := newSession(&slowCloseConn{Conn: near}, yamux.Client)
	is.NoErr(err)
	ended := make(chan struct{}, streams)
	for range streams {
		s, err := client.OpenStream()
		is.NoErr(err)
		go func() {
			var b [1]byte
			s.Read(b[:])
			ended <- struct{}{}
		}()
	}
	time.Sleep(time.Millisecond) // the readers wait
	before := processorTime(t)
	client.Close()
	for range streams {
		<-ended
	}
	is.True(processorTime(t)-before < slowClose/2)
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCloseAfterViolation guards against a session that is held for closeTimeout after its peer
// has violated the protocol: many such peers used up the memory of a process.
func TestCloseAfterViolation(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	opened, err := newSession(ours, yamux.Server)
	is.NoErr(err)
	go io.Copy(io.Discard, theirs)
	_, err = theirs.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	<-opened.CloseChan()
	select {
	case <-opened.conn.readFailed:
	case <-time.After(10 * time.Second):
		t.Fatal("a close waits for a read that never fails")
	}
	is.NoErr(opened.Close())
}
