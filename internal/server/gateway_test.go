package server

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
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

// TestRefusalAfterUnknownTry loses the answer to the first try of a request and refuses the second: a
// caller must not be told that a job was rejected which the first try may have stored.
func TestRefusalAfterUnknownTry(t *testing.T) {
	const (
		submit, cancel = workflowpb.Operation_OPERATION_SUBMIT, workflowpb.Operation_OPERATION_CANCEL
		put, declare   = workflowpb.Operation_OPERATION_PUT_CATALOGUE, workflowpb.Operation_OPERATION_DECLARE_WAVE
		status         = workflowpb.Operation_OPERATION_STATUS
		unknown        = workflowpb.Answer_ANSWER_UNKNOWN
	)
	for _, test := range []struct {
		operation    workflowpb.Operation
		second, want workflowpb.Answer
	}{
		{submit, workflowpb.Answer_ANSWER_BAD_KEY, unknown},
		{submit, workflowpb.Answer_ANSWER_NO_QUEUE, unknown},
		{submit, workflowpb.Answer_ANSWER_BUSY, unknown},
		{submit, workflowpb.Answer_ANSWER_GONE, unknown},
		{cancel, workflowpb.Answer_ANSWER_BAD_KEY, unknown},
		{cancel, workflowpb.Answer_ANSWER_NO_QUEUE, unknown},
		{cancel, workflowpb.Answer_ANSWER_GONE, unknown},
		// What the request contains was refused at the first try, too.
		{submit, workflowpb.Answer_ANSWER_INVALID, workflowpb.Answer_ANSWER_INVALID},
		{put, workflowpb.Answer_ANSWER_INVALID, workflowpb.Answer_ANSWER_INVALID},
		{declare, workflowpb.Answer_ANSWER_INVALID, workflowpb.Answer_ANSWER_INVALID},
		{submit, workflowpb.Answer_ANSWER_OK, workflowpb.Answer_ANSWER_OK},
		// A read changes nothing.
		{status, workflowpb.Answer_ANSWER_BAD_KEY, workflowpb.Answer_ANSWER_BAD_KEY},
		{status, workflowpb.Answer_ANSWER_GONE, workflowpb.Answer_ANSWER_GONE},
	} {
		t.Run(fmt.Sprintf("%s/%s", test.operation, test.second), func(t *testing.T) {
			is := is.New(t)
			response := doWithFirstAnswerLost(t, &workflowpb.Request{Operation: test.operation}, func(int) *workflowpb.Response {
				return &workflowpb.Response{Answer: test.second}
			})
			is.Equal(response.Answer, test.want)
		})
	}
}

// TestKeyRemovedBetweenTries lets a leader store a job, loses its answer and removes the caller's key
// before the second try.
func TestKeyRemovedBetweenTries(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	catalogue := func(version uint64, key string) *workflowpb.Request {
		return &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &workflowpb.Catalogue{
			Version: version, Pools: []*workflowpb.Pool{{Name: "p"}}, Workspaces: []*workflowpb.Workspace{{Name: "w", Keys: []string{key}}},
			Queues: []*workflowpb.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMs: 1000}},
		}}
	}
	gateway := c.nodes[0].running().gateway
	is.Equal(gateway.Do(t.Context(), catalogue(1, "first")).Answer, workflowpb.Answer_ANSWER_OK)
	submit := &workflowpb.Request{
		Operation: workflowpb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/q/j", Key: "first",
		Job: &workflowpb.Job{Id: "j", Steps: []*workflowpb.Step{{Tasks: 1, Needs: &workflowpb.Resources{CpuMillis: 1}}}},
	}
	response := doWithFirstAnswerLost(t, submit, func(try int) *workflowpb.Response {
		response := gateway.Do(t.Context(), submit)
		want := workflowpb.Answer_ANSWER_BAD_KEY
		if try == 1 {
			want = workflowpb.Answer_ANSWER_OK
			if put := gateway.Do(t.Context(), catalogue(2, "second")); put.Answer != want {
				t.Errorf("the catalogue without the key: %s", put.Answer)
			}
		}
		if response.Answer != want {
			t.Errorf("try %d: %s, want %s", try, response.Answer, want)
		}
		return response
	})
	is.Equal(response.Answer, workflowpb.Answer_ANSWER_UNKNOWN)
	status := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_STATUS, Host: "h", Path: "/q/j", Key: "second", Job: &workflowpb.Job{Id: "j"}}
	is.Equal(gateway.Do(t.Context(), status).Answer, workflowpb.Answer_ANSWER_OK) // the first try has stored it
}

// doWithFirstAnswerLost sends a request through a gateway to a daemon whose first answer is lost. serve
// is called with the number of each try.
func doWithFirstAnswerLost(t *testing.T, request *workflowpb.Request, serve func(try int) *workflowpb.Response) *workflowpb.Response {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tries atomic.Int32
	server := &wire.Server{Listener: listener, Handler: func(_ *wirepb.Hello, stream net.Conn) {
		wire.ServeCall(stream, func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse {
			try := int(tries.Add(1))
			response := serve(try)
			if try == 1 {
				stream.Close()
			}
			return &wirepb.CallResponse{Body: &wirepb.CallResponse_Workflow{Workflow: response}}
		})
	}}
	go server.Serve()
	t.Cleanup(server.Close)
	gateway := newGateway(&wire.Dialer{}, "edge", []string{listener.Addr().String()})
	ctx, cancel := context.WithTimeout(t.Context(), callerDeadline)
	defer cancel()
	response := gateway.Do(ctx, request)
	if n := tries.Load(); n != 2 {
		t.Fatalf("%d tries, want 2", n)
	}
	return response
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
