package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
)

// rawTarget is a target that serves plain TCP connections. runs counts the
// requests that it received completely.
type rawTarget struct {
	listener net.Listener
	accepted atomic.Int32
	runs     atomic.Int32
}

func newRawTarget(t *testing.T, f func(r *rawTarget, number int32, conn net.Conn)) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawTarget{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f(r, r.accepted.Add(1), conn)
		}
	}()
	return r
}

func (r *rawTarget) slot() *Slot {
	return &Slot{VM: "vm-1", Address: "http://" + r.listener.Addr().String(), Announcement: "i/1"}
}

// readRequest reads one complete request and counts it as run.
func (r *rawTarget) readRequest(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	r.runs.Add(1)
	return request, nil
}

// reset closes the connection with a TCP reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func runFor(client *Client, slot *Slot, within time.Duration, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return client.Run(ctx, slot, r)
}

// TestNotRunIsProvable resets the connection before, during and after the
// headers and the body. A request that the target received must never be
// reported as not run.
func TestNotRunIsProvable(t *testing.T) {
	t.Parallel()
	large := []byte(strings.Repeat("x", 1<<20))
	cases := []struct {
		name   string
		notRun bool
		// eitherOutcome: the reset races with the first write, so both outcomes are correct.
		eitherOutcome bool
		serve         func(r *rawTarget, n int32, conn net.Conn)
	}{
		{"reset at once", false, true, func(_ *rawTarget, _ int32, conn net.Conn) { reset(conn) }},
		{"reset during headers", false, false, func(_ *rawTarget, _ int32, conn net.Conn) {
			conn.Read(make([]byte, 10))
			reset(conn)
		}},
		{"reset during the body", false, false, func(_ *rawTarget, _ int32, conn net.Conn) {
			io.ReadFull(conn, make([]byte, 100_000))
			reset(conn)
		}},
		{"reset after the whole request", false, false, func(r *rawTarget, _ int32, conn net.Conn) {
			r.readRequest(bufio.NewReader(conn))
			reset(conn)
		}},
		{"reset during the answer's headers", false, false, func(r *rawTarget, _ int32, conn net.Conn) {
			r.readRequest(bufio.NewReader(conn))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-")
			reset(conn)
		}},
		{"refused as busy", true, false, func(_ *rawTarget, _ int32, conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: busy\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				HeaderNotRun, HeaderRequestID, request.Header.Get(HeaderRequestID))
			conn.Close()
		}},
		{"refusal of another request", false, false, func(r *rawTarget, _ int32, conn net.Conn) {
			r.readRequest(bufio.NewReader(conn))
			fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: busy\r\n%s: other\r\nContent-Length: 0\r\n\r\n", HeaderNotRun, HeaderRequestID)
			conn.Close()
		}},
	}
	for _, c := range cases {
		for _, body := range [][]byte{nil, []byte("small"), large} {
			for _, fresh := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d bytes/fresh %v", c.name, len(body), fresh), func(t *testing.T) {
					is := is.New(t)
					raw := newRawTarget(t, c.serve)
					_, err := runFor(NewClient(), raw.slot(), 500*time.Millisecond, Request{ID: "id-1", Queue: "q", Body: body, Fresh: fresh})
					is.True(err != nil)
					if !c.eitherOutcome {
						is.Equal(errors.Is(err, ErrNotRun), c.notRun)
					}
					if errors.Is(err, ErrNotRun) {
						is.Equal(raw.runs.Load(), int32(0)) // what is reported as not run did not run
					}
					is.True(raw.runs.Load() <= 1) // the transport does not send the request again
				})
			}
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	raw := newRawTarget(t, func(_ *rawTarget, _ int32, conn net.Conn) { conn.Close() })
	slot := raw.slot()
	raw.listener.Close()
	_, err := runFor(NewClient(), slot, time.Second, Request{ID: "id-1", Queue: "q"})
	is.True(errors.Is(err, ErrNotRun)) // nothing listens
}

// TestReusedConnectionClosed resets a reused connection as soon as the next
// request has arrived on it: the request may have run and is not sent again.
func TestReusedConnectionClosed(t *testing.T) {
	is := is.New(t)
	raw := newRawTarget(t, func(r *rawTarget, _ int32, conn net.Conn) {
		reader := bufio.NewReader(conn)
		request, err := r.readRequest(reader)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, request.Header.Get(HeaderRequestID))
		r.readRequest(reader)
		reset(conn)
	})
	client := NewClient()
	answer, err := runFor(client, raw.slot(), time.Second, Request{ID: "id-1", Queue: "q", Body: []byte("b")})
	is.NoErr(err)
	is.Equal(string(answer.Body), "ok")
	_, err = runFor(client, raw.slot(), time.Second, Request{ID: "id-2", Queue: "q", Body: []byte("b")})
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotRun))
	is.Equal(raw.runs.Load(), int32(2))
}

// TestInvalidAnswersAreDropped checks that truncated answers, answers without a
// length or chunks, and answers to another request are dropped.
func TestInvalidAnswersAreDropped(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, answer string }{
		{"id of another request", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": other\r\nContent-Length: 2\r\n\r\nok"},
		{"without id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"truncated length", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\nContent-Length: 9\r\n\r\nok"},
		{"truncated chunks", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\nConnection: close\r\n\r\nok"},
		{"redirect without id", "HTTP/1.1 307 Go\r\nLocation: /v1/run/q\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := newRawTarget(t, func(r *rawTarget, _ int32, conn net.Conn) {
				r.readRequest(bufio.NewReader(conn))
				io.WriteString(conn, c.answer)
				conn.Close()
			})
			client := NewClient()
			client.dropped = gometrics.NewCounter()
			_, err := runFor(client, raw.slot(), time.Second, Request{ID: "id-1", Queue: "q", Body: []byte("b")})
			is.True(err != nil)
			is.True(!errors.Is(err, ErrNotRun))
			is.Equal(client.dropped.Count(), int64(1))
			is.Equal(raw.runs.Load(), int32(1)) // no redirect is followed
		})
	}
}

// TestSilentConnection makes the first connection go silent after one answer;
// new connections work. The client closes the silent one long before the
// deadline, and the next request, on a new connection, is answered.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	raw := newRawTarget(t, func(r *rawTarget, n int32, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for served := 0; n > 1 || served < 1; served++ {
			request, err := r.readRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, request.Header.Get(HeaderRequestID))
		}
		// Read on without ever answering again.
		io.Copy(io.Discard, conn)
	})
	client := NewClient()
	_, err := runFor(client, raw.slot(), time.Second, Request{ID: "id-1", Queue: "q"})
	is.NoErr(err)
	started := time.Now()
	_, err = runFor(client, raw.slot(), time.Minute, Request{ID: "id-2", Queue: "q"})
	is.True(errors.Is(err, ErrSilent))
	is.True(!errors.Is(err, ErrNotRun))
	is.True(time.Since(started) < 2*ProgressTimeout)
	answer, err := runFor(client, raw.slot(), time.Second, Request{ID: "id-3", Queue: "q", Fresh: true})
	is.NoErr(err)
	is.Equal(string(answer.Body), "ok")
}

// TestSlowWorkIsNotSilent checks that work which sends informational responses
// may take longer than ProgressTimeout.
func TestSlowWorkIsNotSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range int(ProgressTimeout/ProgressInterval) + 1 {
			time.Sleep(ProgressInterval)
			w.WriteHeader(http.StatusProcessing)
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		io.WriteString(w, "done")
	}))
	defer server.Close()
	answer, err := runFor(NewClient(), &Slot{VM: "vm-1", Address: server.URL}, time.Minute, Request{ID: "id-1", Queue: "q"})
	is.NoErr(err)
	is.Equal(string(answer.Body), "done")
}
