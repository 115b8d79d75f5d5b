package operator

import (
	"net/http"
	"sort"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirering/internal/entry"
	"sapphirering/internal/state/statepb"
)

// MaxJobsPerPage is the most jobs in one page of the job list.
const MaxJobsPerPage = 500

// JobPage is one page of the job list, ordered by job id, which is the order of submission.
type JobPage struct {
	Jobs []entry.JobView `json:"jobs"`
	// Next is the value of "after" for the following page; empty on the last one.
	Next string `json:"next,omitempty"`
}

// listJobs answers with one page of jobs, selected by the query parameters state,
// team, after and limit. The jobs' answers are left out.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := MaxJobsPerPage
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxJobsPerPage {
			writeInvalid(w, "limit: %.40q is not within 1 and %d", text, MaxJobsPerPage)
			return
		}
		limit = n
	}
	wanted := func(job *statepb.Job) bool {
		state, team := query.Get("state"), query.Get("team")
		return (state == "" || entry.StateName(job.State) == state) && (team == "" || job.Team == team)
	}
	writeJSON(w, http.StatusOK, jobPage(s.cfg.Machine.Jobs(), query.Get("after"), limit, wanted))
}

func jobPage(jobs []*statepb.Job, after string, limit int, wanted func(*statepb.Job) bool) JobPage {
	page := JobPage{Jobs: []entry.JobView{}}
	start := sort.Search(len(jobs), func(i int) bool { return jobs[i].Id > after })
	for _, job := range jobs[start:] {
		if !wanted(job) {
			continue
		}
		if len(page.Jobs) == limit {
			page.Next = page.Jobs[limit-1].ID
			return page
		}
		view := entry.NewJobView(job)
		view.Answer = nil
		page.Jobs = append(page.Jobs, view)
	}
	return page
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	job := s.cfg.Machine.Job(mux.Vars(r)["job"])
	if job == nil {
		writeNotFound(w, "job", mux.Vars(r)["job"])
		return
	}
	view := entry.NewJobView(job)
	view.AsOfIndex = s.cfg.Machine.Index()
	view.Stale = !s.cfg.Cluster.Local().SessionLive
	writeJSON(w, http.StatusOK, view)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["job"]
	if s.cfg.Machine.Job(id) == nil {
		writeNotFound(w, "job", id)
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_CancelJobs{
		CancelJobs: &statepb.CancelJobs{Jobs: []string{id}},
	}})
}

func (s *Server) retryJob(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_RetryJob{
		RetryJob: &statepb.RetryJob{Job: mux.Vars(r)["job"]},
	}})
}
