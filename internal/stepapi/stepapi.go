// Package stepapi is the product's own HTTP interface to jobs of steps, the
// catalogue, waves, evacuations and explanations. Bodies are JSON with the field names of the
// messages in workflow.proto.
package stepapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/event"
	"sapphirering/internal/intake"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// MaxBodyBytes limits a request's body; a catalogue of hundreds of queues is far smaller.
	MaxBodyBytes = 8 << 20
	// callTimeout limits each request; callers cannot state a deadline of their own.
	callTimeout = 5 * time.Second
)

// Requester sends requests to the leader.
type Requester interface {
	Do(ctx context.Context, r *pb.Request) *pb.Response
}

type api struct{ requester Requester }

// New returns the HTTP handler of the interface; evacuations tells whether it takes orders to evacuate
// availability zones.
func New(requester Requester, evacuations bool) http.Handler {
	a := &api{requester: requester}
	r := mux.NewRouter()
	jobs := r.PathPrefix("/v1/queues/{queue}").Subrouter()
	jobs.HandleFunc("/jobs", a.count).Methods(http.MethodGet)
	jobs.HandleFunc("/jobs/{id}", a.submit).Methods(http.MethodPut)
	jobs.HandleFunc("/jobs/{id}", a.jobCall(pb.Operation_OPERATION_STATUS)).Methods(http.MethodGet)
	jobs.HandleFunc("/jobs/{id}", a.jobCall(pb.Operation_OPERATION_CANCEL)).Methods(http.MethodDelete)
	jobs.HandleFunc("/jobs/{id}/explain", a.jobCall(pb.Operation_OPERATION_EXPLAIN)).Methods(http.MethodGet)
	jobs.HandleFunc("/jobs/{id}/tasks/{task}/explain", a.explainTask).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{vm}/explain", a.explainVM).Methods(http.MethodGet)
	r.HandleFunc("/v1/learned", a.learned).Methods(http.MethodGet)
	r.HandleFunc("/v1/catalogue", a.putCatalogue).Methods(http.MethodPut)
	r.HandleFunc("/v1/catalogue", a.getCatalogue).Methods(http.MethodGet)
	r.HandleFunc("/v1/waves/{wave}", a.putWave).Methods(http.MethodPut)
	r.HandleFunc("/v1/waves/{wave}", a.getWave).Methods(http.MethodGet)
	if evacuations {
		const path = "/v1/evacuations/{zone}"
		r.HandleFunc(path, a.evacuation(pb.Operation_OPERATION_BEGIN_EVACUATION)).Methods(http.MethodPut)
		r.HandleFunc(path, a.evacuation(pb.Operation_OPERATION_END_EVACUATION)).Methods(http.MethodDelete)
		r.HandleFunc(path, a.evacuation(pb.Operation_OPERATION_GET_EVACUATION)).Methods(http.MethodGet)
	}
	return r
}

// do sends a request to the leader. It answers the caller and returns nil if the request
// is refused.
func (a *api) do(w http.ResponseWriter, r *http.Request, request *pb.Request) *pb.Response {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	request.Key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	response := a.requester.Do(ctx, request)
	if response.Answer != pb.Answer_ANSWER_OK {
		writeRefusal(w, response)
		return nil
	}
	return response
}

var refusalStatus = map[pb.Answer]int{
	pb.Answer_ANSWER_GONE: http.StatusNotFound, pb.Answer_ANSWER_NO_QUEUE: http.StatusNotFound,
	pb.Answer_ANSWER_BAD_KEY: http.StatusUnauthorized, pb.Answer_ANSWER_BUSY: http.StatusTooManyRequests,
	pb.Answer_ANSWER_INVALID: http.StatusBadRequest, pb.Answer_ANSWER_NOT_READY: http.StatusServiceUnavailable,
	pb.Answer_ANSWER_UNKNOWN: http.StatusGatewayTimeout, pb.Answer_ANSWER_CONFLICT: http.StatusConflict,
}

// writeRefusal answers with the reason. 429 and 503 guarantee that nothing was run.
func writeRefusal(w http.ResponseWriter, response *pb.Response) {
	status, ok := refusalStatus[response.Answer]
	if !ok {
		status = http.StatusInternalServerError
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (response.RetryAfterMs+999)/1000), 10))
	}
	http.Error(w, response.Reason, status)
}

// readMessage decodes the body and reports whether it could; unknown fields are refused.
// If not, it logs the error and answers with 400 or 413.
func readMessage(w http.ResponseWriter, r *http.Request, into proto.Message) bool {
	data, err := intake.ReadBody(r, r.Body, MaxBodyBytes)
	if err == nil {
		err = protojson.Unmarshal(data, into)
	}
	if err == nil {
		return true
	}
	status := intake.Status(err)
	if !intake.Refused(err) {
		event.BadInput.Emit(event.F("path", r.URL.Path), event.F("peer", r.RemoteAddr), event.F("status", status), event.Err(err))
	}
	intake.SetRefusalHeaders(w, err)
	http.Error(w, err.Error(), status)
	return false
}

// writeResponse answers with the fields of the response that are meant for callers.
func writeResponse(w http.ResponseWriter, response *pb.Response) {
	visible := &pb.Response{
		State: response.State, Reason: response.Reason, Waiting: response.Waiting, Complete: response.Complete, Lines: response.Lines, Evacuated: response.Evacuated,
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(visible)
	if err != nil {
		event.BadInput.Emit(event.F("step", "encode answer"), event.Err(err))
		http.Error(w, fmt.Sprintf("encode answer: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the caller sees a broken connection.
	_, _ = w.Write(data)
}

// forward sends a request to the leader and writes its response.
func (a *api) forward(w http.ResponseWriter, r *http.Request, request *pb.Request) {
	if response := a.do(w, r, request); response != nil {
		writeResponse(w, response)
	}
}

func (a *api) submit(w http.ResponseWriter, r *http.Request) {
	job := new(pb.Job)
	if !readMessage(w, r, job) {
		return
	}
	job.Id = mux.Vars(r)["id"]
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, QueueName: mux.Vars(r)["queue"], Job: job})
}

// explainTask explains one task, identified as OCCURRENCE.STEP.INDEX.
func (a *api) explainTask(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	id, err := workflow.ParseTaskID(vars["id"] + "." + vars["task"])
	if err != nil || id.Job != vars["id"] {
		http.Error(w, fmt.Sprintf("task %q: want OCCURRENCE.STEP.INDEX", vars["task"]), http.StatusBadRequest)
		return
	}
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_EXPLAIN, QueueName: vars["queue"], Job: &pb.Job{Id: id.Job}, Task: id.Ref(0)})
}

// explainVM explains what a VM does and which decisions were made about it.
func (a *api) explainVM(w http.ResponseWriter, r *http.Request) {
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_EXPLAIN, Vm: mux.Vars(r)["vm"]})
}

// learned answers what was learned of one queue, or of all.
func (a *api) learned(w http.ResponseWriter, r *http.Request) {
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_GET_LEARNED, QueueName: r.URL.Query().Get("queue")})
}

// jobCall returns a handler for calls that name a job and have no body.
func (a *api) jobCall(operation pb.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		vars := mux.Vars(r)
		a.forward(w, r, &pb.Request{Operation: operation, QueueName: vars["queue"], Job: &pb.Job{Id: vars["id"]}})
	}
}

func (a *api) count(w http.ResponseWriter, r *http.Request) {
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_COUNT, QueueName: mux.Vars(r)["queue"]})
}

func (a *api) putCatalogue(w http.ResponseWriter, r *http.Request) {
	c := new(pb.Catalogue)
	if !readMessage(w, r, c) {
		return
	}
	c.Source = nil
	source, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(c)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode catalogue: %v", err), http.StatusInternalServerError)
		return
	}
	c.Source = source
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: c})
}

func (a *api) getCatalogue(w http.ResponseWriter, r *http.Request) {
	if response := a.do(w, r, &pb.Request{Operation: pb.Operation_OPERATION_GET_CATALOGUE}); response != nil {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(response.Source)
	}
}

// evacuation returns a handler for calls about the evacuation of an availability zone.
func (a *api) evacuation(operation pb.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.forward(w, r, &pb.Request{Operation: operation, Zone: mux.Vars(r)["zone"]})
	}
}

func waveNumber(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	id, err := strconv.ParseUint(mux.Vars(r)["wave"], 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("wave: %v", err), http.StatusBadRequest)
	}
	return id, err == nil
}

func (a *api) putWave(w http.ResponseWriter, r *http.Request) {
	wave := new(pb.Wave)
	id, ok := waveNumber(w, r)
	if !ok || !readMessage(w, r, wave) {
		return
	}
	wave.Id = id
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave})
}

func (a *api) getWave(w http.ResponseWriter, r *http.Request) {
	id, ok := waveNumber(w, r)
	if !ok {
		return
	}
	a.forward(w, r, &pb.Request{Operation: pb.Operation_OPERATION_GET_WAVE, Wave: &pb.Wave{Id: id}})
}
