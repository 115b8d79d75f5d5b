package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen opens a listener with a budget of its own.
func listen(t *testing.T, s Settings, connections int) (*Listener, *Budget) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := New(s)
	if connections > 0 {
		b.connections = connections
	}
	t.Cleanup(func() {
		inner.Close()
		b.Close()
	})
	return NewListener(inner, "listen.test", b), b
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// isClosed reports whether the other end closes the connection.
func isClosed(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// TestConnectionLimit guards against more open connections than the budget has, against closing
// one with a session of another daemon, and against counting a close twice.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	l, b := listen(t, Settings{}, 2)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial(t, l)
	dial(t, l)
	first, second := <-accepted, <-accepted
	Establish(first)
	Establish(second)
	is.True(isClosed(dial(t, l))) // no room, and both carry sessions
	is.NoErr(first.Close())
	is.True(first.Close() != nil) // a second close is not counted again
	idle := dial(t, l)
	<-accepted
	dial(t, l)
	<-accepted
	is.True(isClosed(idle)) // the idle one made room
	b.mu.Lock()
	defer b.mu.Unlock()
	is.Equal(len(b.conns), 2)
	is.Equal(b.held, int64(2*connBytes))
}

// TestRefusalIsTrue sends more bodies at once than there is memory for. It guards against a request
// that is passed on although its caller got a 503 or a closed connection without an answer, and
// against memory that stays charged.
func TestRefusalIsTrue(t *testing.T) {
	const callers, rounds, size = 40, 10, 200 << 10
	is := is.New(t)
	l, b := listen(t, Settings{MemoryBytes: 16 << 20}, 0)
	var ran sync.Map
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, r.Body, 256<<10); err != nil {
			SetRefusalHeaders(w, err)
			w.WriteHeader(Status(err))
			return
		}
		ran.Store(r.URL.Path, true)
		time.Sleep(2 * time.Millisecond)
	})}
	Attach(server)
	go server.Serve(l)
	defer server.Close()
	body := bytes.Repeat([]byte("x"), size)
	var calls sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range callers {
		calls.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			for round := range rounds {
				path := fmt.Sprintf("/%d-%d", i, round)
				request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+path, slowly{bytes.NewReader(body)})
				if err != nil {
					t.Error(err)
					return
				}
				response, err := client.Do(request)
				outcome := "closed"
				if err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
					outcome = response.Status
				}
				_, wasRun := ran.Load(path)
				if wasRun != (outcome == "200 OK") {
					t.Errorf("%s: ran is %v, the caller saw %s", path, wasRun, outcome)
				}
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
			client.CloseIdleConnections()
		})
	}
	calls.Wait()
	t.Log(outcomes)
	is.True(outcomes["200 OK"] > 0)
	is.True(outcomes["200 OK"] < callers*rounds) // the memory was short
	end := time.Now().Add(5 * time.Second)
	held := func() int64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.held
	}
	for held() != 0 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(held(), int64(0))
}

// slowly pauses in a body, so that bodies of several callers are in memory at once.
type slowly struct{ io.Reader }

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Reader.Read(p[:min(len(p), 16<<10)])
}

// TestChargeFollowsArrival guards against memory that is held for what a header promises or for
// more than twice what has arrived, and against a body that is cut off and taken for whole.
func TestChargeFollowsArrival(t *testing.T) {
	is := is.New(t)
	charged := int64(0)
	charge := func(n int64) error { charged += n; return nil }
	for _, size := range []int{0, 1, 2047, 2048, 2049, 50_000, 1 << 20} {
		charged = 0
		arrived := 0
		body := funcReader(func(p []byte) (int, error) {
			if charged > int64(2*arrived+firstChunkBytes) {
				t.Errorf("%d bytes are charged when %d have arrived", charged, arrived)
			}
			n := min(len(p), size-arrived, 100)
			if arrived += n; n == 0 {
				return 0, io.EOF
			}
			return n, nil
		})
		data, err := readChunks(body, 1<<20, charge)
		is.NoErr(err)
		is.Equal(len(data), size)
	}
	_, err := readChunks(strings.NewReader(strings.Repeat("x", 101)), 100, charge)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = readChunks(io.MultiReader(strings.NewReader("xx"), funcReader(func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF })), 100, charge)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

type funcReader func([]byte) (int, error)

func (f funcReader) Read(p []byte) (int, error) { return f(p) }

// TestSlowBody guards against a body that arrives too slowly and is never ended, whether a handler
// reads it or not, and against an end of a connection that is only idle.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	l, _ := listen(t, Settings{ProgressWindow: time.Second}, 0)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/unread" {
			_, _ = ReadBody(r, r.Body, 1<<20)
		}
	})}
	Attach(server)
	go server.Serve(l)
	defer server.Close()
	idle, slow := dial(t, l), dial(t, l)
	_, err := fmt.Fprintf(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	is.NoErr(err)
	unread := dial(t, l)
	_, err = fmt.Fprintf(unread, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	is.NoErr(err)
	is.True(isClosed(slow))
	is.NoErr(unread.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.Copy(io.Discard, unread) // the answer, then the end of the connection
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
	_, err = fmt.Fprintf(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	answer := make([]byte, 12)
	_, err = io.ReadFull(idle, answer)
	is.NoErr(err)
	is.Equal(string(answer), "HTTP/1.1 200")
}
