package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sapphirering/internal/state/statepb"
)

const (
	// appliedTimeout bounds the wait until this daemon has applied a command.
	appliedTimeout      = 2 * time.Second
	appliedPollInterval = 5 * time.Millisecond
)

// JobListView is one page of a team's jobs, in the order of submission.
type JobListView struct {
	Jobs []JobView `json:"jobs"`
	// Next is the query value "after" for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// CancelRequest names the jobs to cancel.
type CancelRequest struct {
	Jobs []string `json:"jobs"`
}

// CancelResult is the result of a cancellation for one job.
type CancelResult struct {
	ID string `json:"id"`
	// State is the job's state after the cancellation was committed, or
	// "not-found" for a job that the team does not have. A running job is
	// cancelled once its worker has stopped it.
	State string `json:"state"`
}

// CancelView is the answer to a cancellation of many jobs.
type CancelView struct {
	Jobs []CancelResult `json:"jobs"`
}

// teamOfKey returns the team of the key in the Authorization header.
func (s *Server) teamOfKey(r *http.Request) (string, *Refusal) {
	if !s.cfg.Holder.Live() {
		return "", refuse(http.StatusServiceUnavailable, ReasonCutOff, "this availability zone is cut off from the leader: keys cannot be checked")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	key := s.cfg.Machine.KeyBySecret(secret)
	if !ok || key == nil {
		return "", refuse(http.StatusUnauthorized, ReasonUnknownKey, "the Authorization header has no granted key")
	}
	return key.Team, nil
}

// listJobs answers with a page of the team's jobs. The query may give a state
// ("state") and the job id after which the page starts ("after").
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	team, refusal := s.teamOfKey(r)
	if refusal != nil {
		refusal.write(w, "")
		return
	}
	wanted := r.URL.Query().Get("state")
	view := JobListView{Jobs: []JobView{}}
	for _, job := range s.cfg.Machine.TeamJobs(team, r.URL.Query().Get("after")) {
		if wanted != "" && StateName(job.State) != wanted {
			continue
		}
		if len(view.Jobs) == maxListedJobs {
			view.Next = view.Jobs[maxListedJobs-1].ID
			break
		}
		view.Jobs = append(view.Jobs, s.jobView(job))
	}
	writeJSON(w, http.StatusOK, view)
}

// cancelJobs cancels many jobs of the team by one command. It is idempotent.
func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	team, refusal := s.teamOfKey(r)
	if refusal != nil {
		refusal.write(w, "")
		return
	}
	request, refusal := readCancelRequest(r)
	if refusal != nil {
		refusal.write(w, "")
		return
	}
	own := s.ownJobs(team, request.Jobs)
	outcome, err := s.cfg.Proposer.Propose(r.Context(), &statepb.Command{
		Body: &statepb.Command_CancelJobs{CancelJobs: &statepb.CancelJobs{Jobs: own}},
	})
	if err != nil {
		refuse(http.StatusServiceUnavailable, ReasonLost, fmt.Sprintf("cancel jobs: %v; send it again", err)).write(w, "")
		return
	}
	if outcome.Code != statepb.Code_CODE_OK {
		refuse(http.StatusBadRequest, ReasonBadRequest, outcome.Message).write(w, "")
		return
	}
	s.waitUntilApplied(r, outcome.Index)
	writeJSON(w, http.StatusAccepted, s.cancelView(team, request.Jobs))
}

func readCancelRequest(r *http.Request) (*CancelRequest, *Refusal) {
	body, refusal := readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	request := new(CancelRequest)
	if err := decoder.Decode(request); err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonBadRequest, "body: "+err.Error())
	}
	if n := len(request.Jobs); n == 0 || n > maxCancelledJobs {
		return nil, refuse(http.StatusBadRequest, ReasonBadRequest, fmt.Sprintf("jobs: %d given, want 1 to %d", n, maxCancelledJobs))
	}
	return request, nil
}

// ownJobs returns the ids that are jobs of the team. A job that was submitted
// through another entry VM may be missing here for a moment; the caller then
// sends the cancellation again.
func (s *Server) ownJobs(team string, ids []string) []string {
	var own []string
	for _, id := range ids {
		if job := s.cfg.Machine.Job(id); job != nil && job.Team == team {
			own = append(own, id)
		}
	}
	return own
}

func (s *Server) cancelView(team string, ids []string) CancelView {
	view := CancelView{Jobs: make([]CancelResult, 0, len(ids))}
	for _, id := range ids {
		result := CancelResult{ID: id, State: "not-found"}
		if job := s.cfg.Machine.Job(id); job != nil && job.Team == team {
			result.State = StateName(job.State)
		}
		view.Jobs = append(view.Jobs, result)
	}
	return view
}

// waitUntilApplied waits until the command at index is applied here, so that the
// answer shows its effect.
func (s *Server) waitUntilApplied(r *http.Request, index uint64) {
	deadline := time.Now().Add(appliedTimeout)
	for s.cfg.Machine.Index() < index && r.Context().Err() == nil && time.Now().Before(deadline) {
		time.Sleep(appliedPollInterval)
	}
}
