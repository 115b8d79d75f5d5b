package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirering/internal/config"
	"sapphirering/internal/policy/placement"
	"sapphirering/internal/policy/share"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// HeaderJobID is the caller's id of a job, a UUIDv7. A resend with the same id
// returns the job that the first submission created.
const HeaderJobID = "Sapphirering-Job-Id"

// HeaderDeclaredMS is the run time that the caller expects, in milliseconds.
const HeaderDeclaredMS = "Sapphirering-Declared-Ms"

const (
	defaultMaxAttempts = 3
	// maxListedJobs bounds one answer of the job list.
	maxListedJobs = 500
	// maxCancelledJobs bounds one cancellation of many jobs.
	maxCancelledJobs = 1000
)

// ReasonNeverRuns refuses a job that no VM of its pool could run.
const ReasonNeverRuns = "never-runs"

// JobView is the JSON form of a job.
type JobView struct {
	ID        string        `json:"id"`
	Team      string        `json:"team"`
	Queue     string        `json:"queue"`
	Pool      string        `json:"pool"`
	Class     string        `json:"class"`
	State     string        `json:"state"`
	Reason    string        `json:"reason,omitempty"`
	Attempts  []AttemptView `json:"attempts,omitempty"`
	Submitted int64         `json:"submitted_unix_ms"`
	Ended     int64         `json:"ended_unix_ms,omitempty"`
	Answer    []byte        `json:"answer,omitempty"`
	// AsOfIndex is the log index up to which this view is current.
	AsOfIndex uint64 `json:"as_of_index"`
	// Stale is true when this availability zone is cut off from the leader.
	Stale bool `json:"stale"`
}

// AttemptView is the JSON form of one attempt of a job.
type AttemptView struct {
	Number  uint32 `json:"number"`
	VM      string `json:"vm"`
	Started int64  `json:"started_unix_ms"`
	Ended   int64  `json:"ended_unix_ms,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// StateName returns the name of a job state in JSON.
func StateName(s statepb.JobState) string {
	switch s {
	case statepb.JobState_JOB_STATE_QUEUED:
		return "queued"
	case statepb.JobState_JOB_STATE_RUNNING:
		return "running"
	case statepb.JobState_JOB_STATE_DONE:
		return "done"
	case statepb.JobState_JOB_STATE_FAILED:
		return "failed"
	case statepb.JobState_JOB_STATE_CANCELLED:
		return "cancelled"
	case statepb.JobState_JOB_STATE_PARKED:
		return "parked"
	}
	return "unknown"
}

// NewJobView returns the JSON form of a job; AsOfIndex and Stale are not set.
func NewJobView(job *statepb.Job) JobView {
	view := JobView{
		ID: job.Id, Team: job.Team, Queue: job.Queue, Pool: job.Pool, Class: config.ClassName(job.Class),
		State: StateName(job.State), Reason: job.Reason, Submitted: job.SubmittedUnixMs,
		Ended: job.EndedUnixMs, Answer: job.Answer,
	}
	for _, a := range job.Attempts {
		view.Attempts = append(view.Attempts, AttemptView{
			Number: a.Number, VM: a.Vm, Started: a.StartedUnixMs, Ended: a.EndedUnixMs,
			Outcome: a.Outcome, Reason: a.Reason,
		})
	}
	return view
}

func (s *Server) jobView(job *statepb.Job) JobView {
	view := NewJobView(job)
	view.AsOfIndex = s.cfg.Machine.Index()
	view.Stale = !s.cfg.Holder.Live()
	return view
}

// submitJob answers only after the job is committed.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderJobID)
	if id == "" {
		id = state.NewID()
	}
	job, refusal := s.readJob(r, id)
	if refusal != nil {
		refusal.write(w, id)
		return
	}
	outcome, err := s.cfg.Proposer.Propose(r.Context(), &statepb.Command{
		Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: job}},
	})
	if err != nil {
		refusal := refuse(http.StatusServiceUnavailable, ReasonLost, fmt.Sprintf("submit job: %v; resend it with the same %s", err, HeaderJobID))
		refusal.Outcome = OutcomeUnknown
		refusal.write(w, id)
		return
	}
	switch outcome.Code {
	case statepb.Code_CODE_OK:
		writeJSON(w, http.StatusCreated, s.jobView(outcome.Job))
	case statepb.Code_CODE_EXISTS:
		writeJSON(w, http.StatusOK, s.jobView(outcome.Job))
	default:
		refuse(http.StatusBadRequest, ReasonBadRequest, outcome.Message).write(w, id)
	}
}

func (s *Server) readJob(r *http.Request, id string) (*statepb.Job, *Refusal) {
	queue, owner := s.cfg.Machine.Queue(mux.Vars(r)["queue"])
	if queue == nil {
		return nil, refuse(http.StatusNotFound, ReasonUnknownQueue, fmt.Sprintf("queue %q does not exist", mux.Vars(r)["queue"]))
	}
	team, refusal := s.authenticate(r, queue, owner)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	job := &statepb.Job{
		Id: id, Team: team, Queue: queue.Name, Class: queue.Class, Needs: queue.Needs,
		Payload: body, MaxAttempts: defaultMaxAttempts, Repeatable: r.Header.Get(HeaderRepeatable) != "no",
	}
	if text := r.Header.Get(HeaderDeclaredMS); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return nil, refuse(http.StatusBadRequest, ReasonBadRequest, fmt.Sprintf("%s: %q is not a number of milliseconds", HeaderDeclaredMS, text))
		}
		job.DeclaredMs = uint32(ms)
	}
	if reason := s.neverRunsReason(queue); reason != "" {
		return nil, refuse(http.StatusUnprocessableEntity, ReasonNeverRuns, reason)
	}
	return job, nil
}

// neverRunsReason returns why no VM of the queue's pool could run a job of the
// queue, or "" if one could.
func (s *Server) neverRunsReason(queue *statepb.Queue) string {
	var workers []placement.Worker
	for _, vm := range s.cfg.Machine.VMs() {
		if vm.Pool == queue.Pool {
			workers = append(workers, placement.Worker{Name: vm.Name, Capacity: shareResources(vm.Capacity, uint64(vm.Slots))})
		}
	}
	return placement.UnplaceableReason(shareResources(queue.Needs, 1), workers)
}

func shareResources(r *statepb.Resources, slots uint64) share.Resources {
	return share.Resources{
		Millicores: uint64(r.GetMillicores()), MemoryMB: uint64(r.GetMemoryMb()),
		Accelerators: uint64(r.GetAccelerators()), Slots: slots,
	}
}

// authorizeJob returns the job when the caller may see it.
func (s *Server) authorizeJob(r *http.Request) (*statepb.Job, *Refusal) {
	id := mux.Vars(r)["job"]
	job := s.cfg.Machine.Job(id)
	if job == nil {
		return nil, refuse(http.StatusNotFound, ReasonBadRequest, fmt.Sprintf("job %q does not exist", id))
	}
	queue, owner := s.cfg.Machine.Queue(job.Queue)
	if queue == nil {
		return nil, refuse(http.StatusNotFound, ReasonUnknownQueue, fmt.Sprintf("queue %q does not exist", job.Queue))
	}
	team, refusal := s.authenticate(r, queue, owner)
	if refusal != nil {
		return nil, refusal
	}
	if team != job.Team {
		return nil, refuse(http.StatusForbidden, ReasonNotAdmitted, "the job belongs to another team")
	}
	return job, nil
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	job, refusal := s.authorizeJob(r)
	if refusal != nil {
		refusal.write(w, mux.Vars(r)["job"])
		return
	}
	writeJSON(w, http.StatusOK, s.jobView(job))
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	job, refusal := s.authorizeJob(r)
	if refusal != nil {
		refusal.write(w, mux.Vars(r)["job"])
		return
	}
	_, err := s.cfg.Proposer.Propose(r.Context(), &statepb.Command{
		Body: &statepb.Command_CancelJobs{CancelJobs: &statepb.CancelJobs{Jobs: []string{job.Id}}},
	})
	if err != nil {
		refuse(http.StatusServiceUnavailable, ReasonLost, fmt.Sprintf("cancel job: %v; send it again", err)).write(w, job.Id)
		return
	}
	if cancelled := s.cfg.Machine.Job(job.Id); cancelled != nil {
		job = cancelled // it may have been pruned meanwhile
	}
	writeJSON(w, http.StatusAccepted, s.jobView(job))
}
