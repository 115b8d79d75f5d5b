package server

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow/workflowpb"
)

// TestCallWithoutLeader sends a submission to a core daemon that stands for a core without a leader. It
// guards against answers that a caller cannot act upon: an unknown outcome or a refusal while an
// election would soon settle the call, or a long wait where another daemon could answer.
func TestCallWithoutLeader(t *testing.T) {
	const (
		answerBy = 300 * time.Millisecond
		budget   = 1200 * time.Millisecond
		elected  = 700 * time.Millisecond
	)
	ok := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK}
	notReady := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, Reason: "no lease"}
	lost := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_UNKNOWN, Reason: "leadership changed"}
	for _, test := range []struct {
		name string
		// answer is given to a try of the submission at a time after the first one: nil for the answer
		// that the daemon does not lead, hangs for none.
		answer       func(try int, at time.Duration) (response *workflowpb.Response, hangs bool)
		cutOff       bool
		want         workflowpb.Answer
		after, until time.Duration
	}{
		{"a leader is elected", func(_ int, at time.Duration) (*workflowpb.Response, bool) {
			if at < elected {
				return nil, false
			}
			return ok, false
		}, false, workflowpb.Answer_ANSWER_OK, elected, budget},
		{"the leader was lost with the first try", func(try int, at time.Duration) (*workflowpb.Response, bool) {
			switch {
			case try == 1:
				return lost, false
			case at < elected:
				return nil, false
			}
			return ok, false
		}, false, workflowpb.Answer_ANSWER_OK, elected, budget},
		{"the new leader holds no lease yet", func(_ int, at time.Duration) (*workflowpb.Response, bool) {
			if at < elected {
				return notReady, false
			}
			return ok, false
		}, false, workflowpb.Answer_ANSWER_OK, elected, budget},
		{"no leader is elected", func(int, time.Duration) (*workflowpb.Response, bool) {
			return nil, false
		}, false, workflowpb.Answer_ANSWER_NOT_READY, budget - 200*time.Millisecond, budget + 200*time.Millisecond},
		{"no leader settles a lost try", func(try int, _ time.Duration) (*workflowpb.Response, bool) {
			if try == 1 {
				return lost, false
			}
			return nil, false
		}, false, workflowpb.Answer_ANSWER_UNKNOWN, budget - 200*time.Millisecond, budget + 200*time.Millisecond},
		{"the leader hangs", func(int, time.Duration) (*workflowpb.Response, bool) {
			return nil, true
		}, false, workflowpb.Answer_ANSWER_UNKNOWN, answerBy - 50*time.Millisecond, elected},
		{"the daemon is cut off", func(int, time.Duration) (*workflowpb.Response, bool) {
			return nil, false
		}, true, workflowpb.Answer_ANSWER_NOT_READY, 0, answerBy},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			began, tries := time.Now(), 0
			address := submissionListener(t, func() (*workflowpb.Response, bool) {
				tries++
				return test.answer(tries, time.Since(began))
			})
			gateway := newGateway(&wire.Dialer{}, "edge", []string{address})
			gateway.recordLeaderAnswer(address)
			ctx, cancel := context.WithTimeout(t.Context(), budget)
			defer cancel()
			if test.cutOff {
				gateway.connectedAt = time.Now().Add(-connectedTimeout)
			} else {
				go gateway.watch(t.Context())
			}
			response := gateway.Do(WithAnswerBy(ctx, began.Add(answerBy)), &workflowpb.Request{
				Operation: workflowpb.Operation_OPERATION_SUBMIT, Job: &workflowpb.Job{Id: "j"},
			})
			took := time.Since(began)
			is.Equal(response.Answer, test.want)
			is.True(took >= test.after)
			is.True(took < test.until)
			if test.want == workflowpb.Answer_ANSWER_NOT_READY {
				is.True(response.RetryAfterMs > 0)
			}
		})
	}
}

// submissionListener starts a core daemon that answers submissions by answer, one at a time, and other
// requests with the answer that it does not lead.
func submissionListener(t *testing.T, answer func() (response *workflowpb.Response, hangs bool)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	notLeader := func() *wirepb.CallResponse {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, replica.ErrNotLeader)
	}
	server := &wire.Server{Listener: listener, Handler: func(_ *wirepb.Hello, stream net.Conn) {
		wire.ServeCall(stream, func(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallResponse {
			if request.GetWorkflow().GetOperation() != workflowpb.Operation_OPERATION_SUBMIT {
				return notLeader()
			}
			response, hangs := answer()
			if hangs {
				<-ctx.Done()
			}
			if response == nil {
				return notLeader()
			}
			return &wirepb.CallResponse{Body: &wirepb.CallResponse_Workflow{Workflow: response}}
		})
	}}
	go server.Serve()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}
