package stepapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

// recorder is a requester that records the last request and returns a fixed response.
type recorder struct {
	last   *pb.Request
	answer *pb.Response
}

func (r *recorder) Do(_ context.Context, request *pb.Request) *pb.Response {
	r.last = request
	return r.answer
}

func call(r *recorder, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	response := httptest.NewRecorder()
	New(r, true).ServeHTTP(response, request)
	return response
}

const job = `{"payload":"p","steps":[{"tasks":2,"needs":{"cpu_millis":500},"estimate_ms":900},{"tasks":1,"after":[0]}]}`

// TestCalls covers every call of the interface.
func TestCalls(t *testing.T) {
	is := is.New(t)
	r := &recorder{answer: &pb.Response{Answer: pb.Answer_ANSWER_OK, State: pb.JobState_JOB_STATE_RUNNING, Waiting: 3, Lines: []string{"line"}, Source: []byte(`{"version":"1"}`)}}
	is.Equal(call(r, http.MethodPut, "/v1/queues/proofs/jobs/j1", job).Code, http.StatusOK)
	is.True(r.last.Operation == pb.Operation_OPERATION_SUBMIT && r.last.QueueName == "proofs" && r.last.Key == "secret")
	is.True(r.last.Job.Id == "j1" && r.last.Job.Steps[0].Needs.CpuMillis == 500 && r.last.Job.Steps[1].After[0] == 0)
	for _, test := range []struct {
		method, path string
		want         pb.Operation
	}{
		{http.MethodGet, "/v1/queues/proofs/jobs/j1", pb.Operation_OPERATION_STATUS},
		{http.MethodDelete, "/v1/queues/proofs/jobs/j1", pb.Operation_OPERATION_CANCEL},
		{http.MethodGet, "/v1/queues/proofs/jobs/j1/explain", pb.Operation_OPERATION_EXPLAIN},
		{http.MethodGet, "/v1/queues/proofs/jobs/j1/tasks/0.1.7/explain", pb.Operation_OPERATION_EXPLAIN},
		{http.MethodGet, "/v1/vms/m-1/explain", pb.Operation_OPERATION_EXPLAIN},
		{http.MethodGet, "/v1/learned?queue=proofs", pb.Operation_OPERATION_GET_LEARNED},
		{http.MethodGet, "/v1/queues/proofs/jobs", pb.Operation_OPERATION_COUNT},
		{http.MethodGet, "/v1/catalogue", pb.Operation_OPERATION_GET_CATALOGUE},
		{http.MethodGet, "/v1/waves/4", pb.Operation_OPERATION_GET_WAVE},
		{http.MethodPut, "/v1/evacuations/z", pb.Operation_OPERATION_BEGIN_EVACUATION},
		{http.MethodDelete, "/v1/evacuations/z", pb.Operation_OPERATION_END_EVACUATION},
		{http.MethodGet, "/v1/evacuations/z", pb.Operation_OPERATION_GET_EVACUATION},
	} {
		is.Equal(call(r, test.method, test.path, "").Code, http.StatusOK)
		is.Equal(r.last.Operation, test.want)
	}
	is.Equal(r.last.Zone, "z")
	call(r, http.MethodGet, "/v1/queues/proofs/jobs/j1/tasks/0.1.7/explain", "")
	is.True(r.last.Job.Id == "j1" && r.last.Task.Step == 1 && r.last.Task.Index == 7)
	call(r, http.MethodGet, "/v1/vms/m-1/explain", "")
	is.Equal(r.last.Vm, "m-1")
	call(r, http.MethodGet, "/v1/learned?queue=proofs", "")
	is.Equal(r.last.QueueName, "proofs")
	is.Equal(call(r, http.MethodGet, "/v1/queues/proofs/jobs/j1/tasks/1.7/explain", "").Code, http.StatusBadRequest)
	is.Equal(call(r, http.MethodPut, "/v1/waves/4", `{"vms":["a"],"cap":1}`).Code, http.StatusOK)
	is.True(r.last.Wave.Id == 4 && r.last.Wave.Cap == 1)
	is.Equal(call(r, http.MethodPut, "/v1/catalogue", `{"version":2,"pools":[{"name":"p"}]}`).Code, http.StatusOK)
	is.True(r.last.Catalogue.Version == 2 && strings.Contains(string(r.last.Catalogue.Source), `"version"`))
}

// TestBadInputAndRefusals checks the HTTP status for invalid input and for every refusal.
func TestBadInputAndRefusals(t *testing.T) {
	for _, test := range []struct {
		name, method, path, body string
		answer                   pb.Answer
		want                     int
	}{
		{"cut short", http.MethodPut, "/v1/queues/q/jobs/j", job[:20], pb.Answer_ANSWER_OK, 400},
		{"unknown field", http.MethodPut, "/v1/queues/q/jobs/j", `{"stepz":[]}`, pb.Answer_ANSWER_OK, 400},
		{"too large", http.MethodPut, "/v1/queues/q/jobs/j", strings.Repeat(" ", MaxBodyBytes+1), pb.Answer_ANSWER_OK, 413},
		{"wave without a number", http.MethodGet, "/v1/waves/x", "", pb.Answer_ANSWER_OK, 400},
		{"no such job", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_GONE, 404},
		{"no such queue", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_NO_QUEUE, 404},
		{"bad key", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_BAD_KEY, 401},
		{"busy", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_BUSY, 429},
		{"invalid", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_INVALID, 400},
		{"not ready", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_NOT_READY, 503},
		{"unknown outcome", http.MethodGet, "/v1/queues/q/jobs/j", "", pb.Answer_ANSWER_UNKNOWN, 504},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := call(&recorder{answer: &pb.Response{Answer: test.answer}}, test.method, test.path, test.body); got.Code != test.want {
				t.Errorf("got %d, want %d", got.Code, test.want)
			}
		})
	}
}

// FuzzSubmit submits arbitrary bodies: each is refused or passed on without a panic.
func FuzzSubmit(f *testing.F) {
	f.Add(job)
	f.Add(`{"steps":[{}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		call(&recorder{answer: &pb.Response{Answer: pb.Answer_ANSWER_OK}}, http.MethodPut, "/v1/queues/q/jobs/j", body)
	})
}

// TestNoEvacuationsUnlessConfigured checks that the paths of evacuations do not exist where the
// settings do not ask for them.
func TestNoEvacuationsUnlessConfigured(t *testing.T) {
	r := &recorder{answer: &pb.Response{Answer: pb.Answer_ANSWER_OK}}
	response := httptest.NewRecorder()
	New(r, false).ServeHTTP(response, httptest.NewRequest(http.MethodPut, "/v1/evacuations/z", nil))
	if response.Code != http.StatusNotFound || r.last != nil {
		t.Errorf("got %d", response.Code)
	}
}
