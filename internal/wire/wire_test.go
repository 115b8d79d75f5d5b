package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
	"sapphirering/test/linktest"
)

const maxWait = 10 * time.Second

// serve runs a server. Without a handler it answers every call with a fixed status.
func serve(t *testing.T, listener net.Listener, handler StreamHandler) *Server {
	t.Helper()
	if handler == nil {
		handler = func(_ *wirepb.Hello, stream net.Conn) {
			ServeCall(stream, func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse {
				return &wirepb.CallResponse{Body: &wirepb.CallResponse_Status{Status: &wirepb.StatusResponse{Leader: "n1"}}}
			})
		}
	}
	server := &Server{Listener: listener, Handler: handler}
	go server.Serve()
	t.Cleanup(server.Close)
	return server
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func callStatus(d *Dialer, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _, err := d.Call(ctx, address, &wirepb.Hello{}, &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Status{Status: &wirepb.StatusRequest{}},
	})
	return err
}

// TestSilentLink makes an open link go silent while new ones work: the session
// is closed within seconds, and calls to another peer are not delayed.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	direct, proxied := listen(t), listen(t)
	serve(t, direct, nil)
	serve(t, proxied, nil)
	proxy := linktest.NewSilencer(t, proxied.Addr().String())
	d := new(Dialer)
	defer d.Close()
	address := proxy.Address()
	is.NoErr(callStatus(d, address))
	proxy.Silence()
	silent := time.Now()
	for callStatus(d, address) != nil {
		started := time.Now()
		is.NoErr(callStatus(d, direct.Addr().String()))
		is.True(time.Since(started) < time.Second)
		is.True(time.Since(silent) < 2*silenceTimeout)
	}
	t.Logf("recovered after %s", time.Since(silent).Round(time.Millisecond))
}

// TestSnapshotDoesNotDelayHeartbeats sends a large snapshot to a receiver that
// does not read on: heartbeats still arrive.
func TestSnapshotDoesNotDelayHeartbeats(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	heartbeats := make(chan time.Time, 100)
	serve(t, listener, func(_ *wirepb.Hello, stream net.Conn) {
		var header [8]byte
		if _, err := io.ReadFull(stream, header[:4]); err != nil {
			return
		}
		if header[0] != 0 || header[1] != 0 {
			time.Sleep(maxWait) // a large frame: the snapshot
			return
		}
		ServeReplica(&prefixedConn{stream, bytes.NewReader(header[:4])}, func(*wirepb.ReplicaMessage) { heartbeats <- time.Now() })
	})
	d := new(Dialer)
	defer d.Close()
	peers := NewPeers(d, "c", "n1")
	defer peers.Close()
	peers.SetMembership(&wirepb.Membership{Members: []*wirepb.Member{{Id: "n2", Address: listener.Addr().String()}}})
	peers.Send([]*wirepb.ReplicaMessage{{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: "n2",
		Snapshot: &wirepb.ReplicaSnapshot{State: make([]byte, 20<<20)},
	}})
	time.Sleep(100 * time.Millisecond)
	for range 5 {
		sent := time.Now()
		peers.Send([]*wirepb.ReplicaMessage{{Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: "n2"}})
		select {
		case got := <-heartbeats:
			is.True(got.Sub(sent) < time.Second)
		case <-time.After(maxWait / 2):
			t.Fatal("the snapshot delayed a heartbeat")
		}
	}
}

// prefixedConn reads prefix before the rest of the stream.
type prefixedConn struct {
	net.Conn
	prefix *bytes.Reader
}

func (p *prefixedConn) Read(b []byte) (int, error) {
	if p.prefix.Len() > 0 {
		return p.prefix.Read(b)
	}
	return p.Conn.Read(b)
}

// TestMalformedStreams sends frames that violate the protocol: each one ends
// only its own stream, and other streams of the same session still work.
func TestMalformedStreams(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	serve(t, listener, nil)
	d := new(Dialer)
	defer d.Close()
	address := listener.Addr().String()
	is.NoErr(callStatus(d, address))
	session := d.sessions[address]
	for _, frame := range [][]byte{
		{0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 3, 0xff, 0xff, 0xff}, {0, 0, 0}, {},
	} {
		for _, hello := range []bool{false, true} {
			opened, err := session.OpenStream()
			is.NoErr(err)
			if hello {
				is.NoErr(WriteFrame(opened, &wirepb.Hello{Version: protocolVersion, Kind: wirepb.StreamKind_STREAM_KIND_CALL}))
			}
			opened.Write(frame)
			opened.Close()
			is.NoErr(opened.SetReadDeadline(time.Now().Add(maxWait)))
			_, err = opened.Read(make([]byte, 1))
			is.True(err != nil)
			is.NoErr(callStatus(d, address))
		}
	}
	is.True(d.sessions[address] == session)
}

// TestStreamLimit counts one stream more than a session may have.
func TestStreamLimit(t *testing.T) {
	is := is.New(t)
	limit := new(budget)
	for range maxStreams {
		is.True(limit.acquireStream())
	}
	is.True(!limit.acquireStream())
	limit.releaseStream()
	is.True(limit.acquireStream())
}

// TestByteLimit reads a frame from a session whose byte limit is nearly used up.
func TestByteLimit(t *testing.T) {
	is := is.New(t)
	limit := new(budget)
	limit.bytes.Store(maxSessionBytes - 10)
	client, server := net.Pipe()
	defer client.Close()
	go WriteFrame(client, &wirepb.Hello{ClusterId: "a cluster with a long name"})
	err := ReadFrame(&stream{Conn: server, budget: limit}, new(wirepb.Hello), maxHelloBytes)
	is.True(errors.Is(err, ErrOverBudget))
	is.Equal(limit.bytes.Load(), int64(maxSessionBytes-10)) // nothing stays reserved
}

// TestMutualTLS checks that only peers whose certificate is signed by the
// server's own authority can call it.
func TestMutualTLS(t *testing.T) {
	ours, theirs := linktest.NewAuthority(t), linktest.NewAuthority(t)
	listener := listen(t)
	serve(t, tls.NewListener(listener, ours.Config(ours)), nil)
	address := listener.Addr().String()
	for name, c := range map[string]struct {
		config   *tls.Config
		accepted bool
	}{
		"own authority":                    {ours.Config(ours), true},
		"certificate of another authority": {theirs.Config(ours), false},
		"client does not trust the server": {ours.Config(theirs), false},
		"no certificate":                   {&tls.Config{RootCAs: ours.Config(ours).RootCAs}, false},
		"no TLS":                           {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &Dialer{TLS: c.config}
			defer d.Close()
			is.Equal(callStatus(d, address) == nil, c.accepted)
		})
	}
}

// FuzzReadFrame reads arbitrary bytes as each type of message that is sent on a
// stream. A message that is accepted must be unchanged after it is written and
// read back.
func FuzzReadFrame(f *testing.F) {
	for _, m := range []proto.Message{
		&wirepb.Hello{Version: 1, ClusterId: "c", FromMember: "n1"},
		&wirepb.CallRequest{Body: &wirepb.CallRequest_Member{Member: &wirepb.MemberRequest{Member: "n1"}}},
		&wirepb.CallResponse{ErrorCode: wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, ErrorMessage: "not the leader"},
		&wirepb.ReplicaMessage{From: "n1", To: "n2", Term: 3, Entries: []*wirepb.Entry{{Index: 1, Term: 1}}},
	} {
		var b bytes.Buffer
		if err := WriteFrame(&b, m); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{
			new(wirepb.Hello), new(wirepb.CallRequest), new(wirepb.CallResponse), new(wirepb.ReplicaMessage),
		} {
			if ReadFrame(bytes.NewReader(data), m, maxHelloBytes) != nil {
				continue
			}
			var b bytes.Buffer
			if err := WriteFrame(&b, m); err != nil {
				t.Fatal(err)
			}
			again := m.ProtoReflect().New().Interface()
			if err := ReadFrame(&b, again, MaxFrameBytes); err != nil || !proto.Equal(m, again) {
				t.Fatalf("read back: %v", err)
			}
		}
	})
}
