package operator

import (
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// MemberView is the JSON form of a member.
type MemberView struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// Active members have answered the leader recently.
	Active     bool   `json:"active"`
	MatchIndex uint64 `json:"match_index"`
}

// SessionView is the JSON form of a session lease.
type SessionView struct {
	ID     string `json:"id"`
	Member string `json:"member"`
	Zone   string `json:"zone"`
	// State is open or expired.
	State   string `json:"state"`
	Opened  int64  `json:"opened_unix_ms"`
	Expired int64  `json:"expired_unix_ms,omitempty"`
}

// LocalView is what the answering entry VM knows about itself.
type LocalView struct {
	Name         string `json:"name"`
	Zone         string `json:"zone"`
	SessionLive  bool   `json:"session_live"`
	RenewedAgeMS int64  `json:"session_renewed_age_ms"`
	AppliedIndex uint64 `json:"applied_index"`
}

// StatusView is the JSON form of the cluster's status.
type StatusView struct {
	ClusterID string `json:"cluster_id"`
	// CutOff is the error of the request to the leader; empty when it answered.
	CutOff      string        `json:"cut_off,omitempty"`
	AnsweredBy  LocalView     `json:"answered_by"`
	Leader      string        `json:"leader"`
	Term        uint64        `json:"term"`
	CommitIndex uint64        `json:"commit_index"`
	Members     []MemberView  `json:"members"`
	Sessions    []SessionView `json:"sessions"`
}

// InForceView tells whether a committed change is in force everywhere.
type InForceView struct {
	InForce bool `json:"in_force"`
	// Waiting holds the ids of the members that are still waited for.
	Waiting []string `json:"waiting,omitempty"`
}

// viewLocal returns the part of a status that is known without the leader.
func viewLocal(local LocalStatus, m *state.Machine) *StatusView {
	view := &StatusView{
		ClusterID: local.ClusterID, Members: []MemberView{}, Sessions: []SessionView{},
		AnsweredBy: LocalView{
			Name: local.Name, Zone: local.Zone, SessionLive: local.SessionLive,
			RenewedAgeMS: local.RenewedAge.Milliseconds(), AppliedIndex: local.AppliedIndex,
		},
	}
	for _, session := range m.Sessions() {
		view.Sessions = append(view.Sessions, SessionView{
			ID: session.Id, Member: session.Member, Zone: session.Zone, State: sessionState(session),
			Opened: session.OpenedUnixMs, Expired: session.ExpiredUnixMs,
		})
	}
	return view
}

func sessionState(session *statepb.Session) string {
	if session.ExpiredUnixMs != 0 {
		return "expired"
	}
	return "open"
}

func (v *StatusView) addLeader(status *wirepb.StatusResponse) {
	v.ClusterID, v.Leader, v.Term, v.CommitIndex = status.ClusterId, status.Leader, status.Term, status.CommitIndex
	for _, m := range status.Members {
		v.Members = append(v.Members, MemberView{
			ID: m.Member.Id, Name: m.Member.Name, Zone: m.Member.Zone, Address: m.Member.Address,
			Voter: m.Member.Role == wirepb.Role_ROLE_VOTER, Leader: m.Leader, Active: m.Active, MatchIndex: m.MatchIndex,
		})
	}
}
