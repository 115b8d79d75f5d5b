package operator

import (
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"sapphirering/internal/config"
	"sapphirering/internal/entry"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// KeyRequest grants a key. Only the hash of the secret leaves the operator's machine.
type KeyRequest struct {
	Team      string `json:"team"`
	SHA256Hex string `json:"sha256_hex"`
}

// KeyView is the JSON form of a key.
type KeyView struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Granted int64  `json:"granted_unix_ms"`
}

// PoolView is the JSON form of a pool; Revision is what a change is based on.
type PoolView struct {
	Name            string `json:"name"`
	Spare           bool   `json:"spare"`
	Revision        uint64 `json:"revision"`
	MinAvailableVMs uint32 `json:"min_available_vms,omitempty"`
	AvailableVMs    uint32 `json:"available_vms,omitempty"`
}

// VMView is the JSON form of a VM.
type VMView struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Zone       string `json:"zone"`
	Rack       string `json:"rack"`
	Phase      string `json:"phase"`
	Reason     string `json:"reason,omitempty"`
	Slots      uint32 `json:"slots"`
	Revision   uint64 `json:"revision"`
	Maintained int64  `json:"last_maintained_unix_ms"`
}

// MemberView is the JSON form of a member.
type MemberView struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Active  bool   `json:"active"`
	Match   uint64 `json:"match_index"`
}

// StatusView is the JSON form of the cluster's status.
type StatusView struct {
	ClusterID string       `json:"cluster_id"`
	Leader    string       `json:"leader"`
	Term      uint64       `json:"term"`
	Commit    uint64       `json:"commit_index"`
	Members   []MemberView `json:"members"`
}

// InForceView tells whether a change is in force everywhere.
type InForceView struct {
	InForce bool     `json:"in_force"`
	Waiting []string `json:"waiting,omitempty"`
}

func viewStatus(status *wirepb.StatusResponse) StatusView {
	view := StatusView{
		ClusterID: status.ClusterId, Leader: status.Leader, Term: status.Term, Commit: status.CommitIndex,
	}
	for _, m := range status.Members {
		view.Members = append(view.Members, MemberView{
			ID: m.Member.Id, Name: m.Member.Name, Zone: m.Member.Zone, Address: m.Member.Address,
			Voter: m.Member.Role == wirepb.Role_ROLE_VOTER, Leader: m.Leader, Active: m.Active, Match: m.MatchIndex,
		})
	}
	return view
}

func (s *Server) listDocuments(w http.ResponseWriter, _ *http.Request) {
	views := []*config.Document{}
	for _, doc := range s.cfg.Machine.Documents() {
		views = append(views, config.FromProto(doc))
	}
	write(w, http.StatusOK, views)
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	doc := s.cfg.Machine.Document(mux.Vars(r)["team"])
	if doc == nil {
		write(w, http.StatusNotFound, Result{Code: "not-found", Message: "document does not exist"})
		return
	}
	write(w, http.StatusOK, config.FromProto(doc))
}

func (s *Server) putDocument(w http.ResponseWriter, r *http.Request) {
	doc := new(config.Document)
	if !readBody(w, r, doc) {
		return
	}
	if doc.Team != mux.Vars(r)["team"] {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: "team: differs from the address"})
		return
	}
	converted, err := doc.Proto()
	if err != nil {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: err.Error()})
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_ApplyDocument{
		ApplyDocument: &statepb.ApplyDocument{Document: converted, BaseRevision: doc.Revision},
	}})
}

func (s *Server) deleteDocument(w http.ResponseWriter, r *http.Request) {
	team := mux.Vars(r)["team"]
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_DeleteDocument{
		DeleteDocument: &statepb.DeleteDocument{Team: team, BaseRevision: s.cfg.Machine.Document(team).GetRevision()},
	}})
}

func (s *Server) listKeys(w http.ResponseWriter, _ *http.Request) {
	views := []KeyView{}
	for _, key := range s.cfg.Machine.Keys() {
		views = append(views, KeyView{ID: key.Id, Team: key.Team, Granted: key.GrantedUnixMs})
	}
	write(w, http.StatusOK, views)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	var request KeyRequest
	if !readBody(w, r, &request) {
		return
	}
	hash, err := hex.DecodeString(request.SHA256Hex)
	if err != nil {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: "sha256_hex: " + err.Error()})
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_GrantKey{GrantKey: &statepb.GrantKey{
		Key: &statepb.Key{Id: mux.Vars(r)["key"], Team: request.Team, Hash: hash},
	}}})
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_WithdrawKey{
		WithdrawKey: &statepb.WithdrawKey{KeyId: mux.Vars(r)["key"]},
	}})
}

func (s *Server) listPools(w http.ResponseWriter, _ *http.Request) {
	views := []PoolView{}
	for _, pool := range s.cfg.Machine.Pools() {
		least, available := s.cfg.Machine.Budget(pool.Name)
		views = append(views, PoolView{
			Name: pool.Name, Spare: pool.Spare, Revision: pool.Revision, MinAvailableVMs: least, AvailableVMs: available,
		})
	}
	write(w, http.StatusOK, views)
}

func (s *Server) putPool(w http.ResponseWriter, r *http.Request) {
	var view PoolView
	if !readBody(w, r, &view) {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
		Pool: &statepb.Pool{Name: mux.Vars(r)["pool"], Spare: view.Spare}, BaseRevision: view.Revision,
	}}})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	views := []VMView{}
	for _, vm := range s.cfg.Machine.VMs() {
		views = append(views, VMView{
			Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Phase: PhaseName(vm.Phase),
			Reason: vm.DrainReason, Slots: vm.Slots, Revision: vm.Revision, Maintained: vm.LastMaintainedUnixMs,
		})
	}
	write(w, http.StatusOK, views)
}

// PhaseName returns the word for a phase.
func PhaseName(phase statepb.VMPhase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "VM_PHASE_"))
}

func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	state := r.URL.Query().Get("state")
	views := []entry.JobView{}
	for _, job := range s.cfg.Machine.Jobs() {
		if state == "" || entry.StateName(job.State) == state {
			views = append(views, entry.ViewJob(job))
		}
	}
	write(w, http.StatusOK, views)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	job := s.cfg.Machine.Job(mux.Vars(r)["job"])
	if job == nil {
		write(w, http.StatusNotFound, Result{Code: "not-found", Message: "job does not exist"})
		return
	}
	write(w, http.StatusOK, entry.ViewJob(job))
}
