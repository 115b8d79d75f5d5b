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

// callerDeadline is the time that callers have from their first try; balancerTime is the time
// that the balancer needs to leave a daemon that is not ready.
const (
	callerDeadline = 3 * time.Second
	balancerTime   = 2 * time.Second
)

// TestCutOffEdgeRefusesWithinDeadline stops every core daemon that an edge's gateway calls.
// The edge must become not ready early enough for the balancer to leave it within a caller's
// deadline, and must tell callers to retry within that deadline.
func TestCutOffEdgeRefusesWithinDeadline(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
	gateway := newGateway(&wire.Dialer{}, "edge", c.nodes[0].settings.Seeds)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go gateway.watch(ctx)
	c.eventually("the edge is ready", 5*time.Second, gateway.Connected)
	for _, n := range c.nodes {
		n.stop()
	}
	stopped := time.Now()
	c.eventually("the edge is not ready", callerDeadline-balancerTime, func() bool { return !gateway.Connected() })
	request, stop := context.WithTimeout(ctx, callerDeadline)
	defer stop()
	submit := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_SUBMIT, Job: &workflowpb.Job{Id: "j"}}
	response := gateway.Do(request, submit)
	is.Equal(response.Answer, workflowpb.Answer_ANSWER_NOT_READY)
	back := time.Since(stopped) + time.Duration(response.RetryAfterMs)*time.Millisecond
	is.True(back < callerDeadline) // the caller comes back within its deadline
}

// TestReadWithoutAnswer reads from a daemon that never answers. A read changes nothing, so it
// must be refused as not ready instead of getting an unknown outcome.
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

// TestRequestGoesPastLeaderWithoutLease calls a leader whose disk stalls and which keeps
// answering that it holds no lease, while another daemon leads. Requests must go to that
// daemon at once, from an edge daemon and from the stalled one itself.
func TestRequestGoesPastLeaderWithoutLease(t *testing.T) {
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
			gateway.serveLocal = test.local
			gateway.setLeader(stalled)
			ctx, cancel := context.WithTimeout(t.Context(), soon)
			defer cancel()
			response := gateway.Do(ctx, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_SUBMIT, Job: &workflowpb.Job{Id: "j"}})
			is.Equal(response.Answer, workflowpb.Answer_ANSWER_OK)
		})
	}
}

// TestEdgeNotReadyWithLeaderWithoutLease lets an edge reach a leader that holds no lease, and
// no other core daemon. The edge must not be ready, as if it reached no daemon.
func TestEdgeNotReadyWithLeaderWithoutLease(t *testing.T) {
	is := is.New(t)
	members := []string{"", silentListener(t), silentListener(t)}
	members[0] = answeringListener(t, &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, CoreAddresses: members})
	gateway := newGateway(&wire.Dialer{}, "edge", members)
	gateway.recordLeaderAnswer(members[0])
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go gateway.watch(ctx)
	time.Sleep(callerDeadline - balancerTime)
	is.True(!gateway.Connected())
}

// answeringListener starts a core daemon that gives the same answer to every request.
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

// silentListener accepts connections and never answers on them.
func silentListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		// The connections are kept, since unreferenced ones would be closed.
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
