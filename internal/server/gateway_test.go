package server

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow/workflowpb"
)

// callerDeadline is what callers have from their first try, and balancerTime
// what the balancer takes to leave a daemon that is not ready.
const (
	callerDeadline = 3 * time.Second
	balancerTime   = 2 * time.Second
)

// TestCutOffDaemonSendsCallersAway takes every core daemon from an edge's
// gateway: it is not ready so soon that the balancer has left it within a
// caller's deadline, and it tells callers to come back within theirs.
func TestCutOffDaemonSendsCallersAway(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.put(c.nodes[0], 1))
	gateway := newGateway(&wire.Dialer{}, "edge", c.nodes[0].settings.Seeds)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go gateway.watch(ctx)
	c.eventually("the edge is ready", 5*time.Second, gateway.Connected)
	for _, n := range c.nodes {
		n.stop()
	}
	lost := time.Now()
	c.eventually("the edge is not ready", callerDeadline-balancerTime, func() bool { return !gateway.Connected() })
	request, stop := context.WithTimeout(ctx, callerDeadline)
	defer stop()
	submit := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_SUBMIT, Job: &workflowpb.Job{Id: "j"}}
	response := gateway.Do(request, submit)
	is.Equal(response.Answer, workflowpb.Answer_ANSWER_NOT_READY)
	back := time.Since(lost) + time.Duration(response.RetryAfterMs)*time.Millisecond
	is.True(back < callerDeadline) // the caller comes back within its deadline
}

// TestReadWithoutAnswer reads from a daemon that never answers: a read changes
// nothing, so that it is refused and not of unknown outcome.
func TestReadWithoutAnswer(t *testing.T) {
	for _, test := range []struct {
		operation workflowpb.Operation
		want      workflowpb.Answer
	}{
		{workflowpb.Operation_OPERATION_STATUS, workflowpb.Answer_ANSWER_NOT_READY},
		{workflowpb.Operation_OPERATION_SUBMIT, workflowpb.Answer_ANSWER_UNKNOWN},
	} {
		t.Run(test.operation.String(), func(t *testing.T) {
			is := is.New(t)
			gateway := newGateway(&wire.Dialer{}, "edge", []string{silentListener(t)})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			is.Equal(gateway.Do(ctx, &workflowpb.Request{Operation: test.operation}).Answer, test.want)
		})
	}
}

// TestLeaderWithoutLeaseIsLeft calls a leader whose disk stalls, which goes on answering
// that it holds no lease, while another daemon leads: requests go there at once, from an
// edge daemon and from the stalled one itself.
func TestLeaderWithoutLeaseIsLeft(t *testing.T) {
	const soon = 500 * time.Millisecond
	notReady := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, Reason: "the leader's lease is not held"}
	stalled := answeringListener(t, notReady)
	leading := answeringListener(t, &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK, CoreAddresses: []string{stalled}})
	for _, test := range []struct {
		name  string
		local func(context.Context, *workflowpb.Request) (*workflowpb.Response, bool)
	}{
		{"edge", nil},
		{"the stalled daemon", func(context.Context, *workflowpb.Request) (*workflowpb.Response, bool) { return notReady, true }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gateway := newGateway(&wire.Dialer{}, "caller", []string{stalled, leading})
			gateway.local = test.local
			gateway.setLeader(stalled)
			ctx, cancel := context.WithTimeout(t.Context(), soon)
			defer cancel()
			response := gateway.Do(ctx, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_SUBMIT, Job: &workflowpb.Job{Id: "j"}})
			is.Equal(response.Answer, workflowpb.Answer_ANSWER_OK)
		})
	}
}

// TestEdgeBesideLeaderWithoutLease reaches one leader without its lease, and no other core
// daemon: the edge is not ready, as if it reached none.
func TestEdgeBesideLeaderWithoutLease(t *testing.T) {
	is := is.New(t)
	members := []string{"", silentListener(t), silentListener(t)}
	members[0] = answeringListener(t, &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, CoreAddresses: members})
	gateway := newGateway(&wire.Dialer{}, "edge", members)
	gateway.noteReached(members[0])
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go gateway.watch(ctx)
	time.Sleep(callerDeadline - balancerTime)
	is.True(!gateway.Connected())
}

// answeringListener is a core daemon that gives one answer to every request.
func answeringListener(t *testing.T, response *workflowpb.Response) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &wire.Server{Listener: listener, Handler: func(_ *wirepb.Hello, stream net.Conn) {
		wire.ServeCall(stream, func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse {
			return &wirepb.CallResponse{Body: &wirepb.CallResponse_Workflow{Workflow: response}}
		})
	}}
	go server.Serve()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// silentListener accepts connections and answers nothing on them.
func silentListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		// A connection that nothing refers to would be closed.
		var held []net.Conn
		for {
			connection, err := listener.Accept()
			if err != nil {
				break
			}
			held = append(held, connection)
		}
		for _, connection := range held {
			connection.Close()
		}
	}()
	return listener.Addr().String()
}
