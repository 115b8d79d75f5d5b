package control

import (
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const (
	// maxReasonsPerObject bounds the reasons that are kept for one object.
	maxReasonsPerObject = 16
	// maxExplainedObjects bounds the objects that reasons are kept for.
	maxExplainedObjects = 4096
)

// ReasonKey identifies an object that reasons are kept for.
type ReasonKey struct {
	// Kind is job, team, vm, wave or pool.
	Kind string
	ID   string
}

// Reasons keeps the newest reasons of the leader's decisions, by object. They
// are not durable: what must survive is in the committed history of the object.
type Reasons struct {
	now func() time.Time

	mu      sync.Mutex
	objects map[ReasonKey]*reasonRing
	// order holds the objects in the order of their first reason. The oldest is
	// dropped first.
	order []ReasonKey
}

// reasonRing holds the newest reasons of one object, oldest first.
type reasonRing struct{ reasons []reason }

type reason struct {
	first, last time.Time
	times       int
	text        string
}

// NewReasons returns an empty recorder.
func NewReasons(now func() time.Time) *Reasons {
	return &Reasons{now: now, objects: make(map[ReasonKey]*reasonRing)}
}

// Record records a reason for a decision about an object. If it repeats the
// newest one, only its count and time are updated.
func (r *Reasons) Record(kind, id, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.ring(ReasonKey{kind, id})
	now := r.now()
	if n := len(ring.reasons); n > 0 && ring.reasons[n-1].text == text {
		ring.reasons[n-1].last = now
		ring.reasons[n-1].times++
		return
	}
	if len(ring.reasons) == maxReasonsPerObject {
		ring.reasons = append(ring.reasons[:0], ring.reasons[1:]...)
	}
	ring.reasons = append(ring.reasons, reason{first: now, last: now, times: 1, text: text})
}

func (r *Reasons) ring(key ReasonKey) *reasonRing {
	ring := r.objects[key]
	if ring != nil {
		return ring
	}
	if len(r.order) == maxExplainedObjects {
		delete(r.objects, r.order[0])
		r.order = append(r.order[:0], r.order[1:]...)
	}
	ring = &reasonRing{}
	r.objects[key] = ring
	r.order = append(r.order, key)
	return ring
}

// Lines returns the reasons that are kept for an object, oldest first.
func (r *Reasons) Lines(kind, id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.objects[ReasonKey{kind, id}]
	if ring == nil {
		return nil
	}
	lines := make([]string, 0, len(ring.reasons))
	for _, reason := range ring.reasons {
		line := reason.last.UTC().Format(time.RFC3339) + " " + reason.text
		if reason.times > 1 {
			line += fmt.Sprintf(" (%d times since %s)", reason.times, reason.first.UTC().Format(time.RFC3339))
		}
		lines = append(lines, line)
	}
	return lines
}

// Reasons returns the reasons that all loops record.
func (m *Manager) Reasons() *Reasons { return m.reasons }

// explainers holds, by kind, the function that describes an object from the
// committed state.
var explainers = map[string]func(m *Manager, id string) ([]string, bool){
	"job":  (*Manager).explainJob,
	"team": (*Manager).explainTeam,
	"vm":   (*Manager).explainVM,
	"wave": (*Manager).explainWave,
}

// Explain returns the committed state of an object and the newest reasons of
// the leader's decisions about it. An unknown kind or object is an error.
func (m *Manager) Explain(request *wirepb.ExplainRequest) (*wirepb.ExplainResponse, error) {
	explain, ok := explainers[request.Kind]
	if !ok {
		return nil, fmt.Errorf("explain: unknown kind %q", request.Kind)
	}
	lines, found := explain(m, request.Id)
	reasons := m.reasons.Lines(request.Kind, request.Id)
	if !found && len(reasons) == 0 {
		return nil, fmt.Errorf("explain: %s %q does not exist", request.Kind, request.Id)
	}
	return &wirepb.ExplainResponse{Lines: append(lines, reasons...)}, nil
}

func (m *Manager) explainJob(id string) ([]string, bool) {
	job := m.cfg.Machine.Job(id)
	if job == nil {
		return nil, false
	}
	lines := []string{fmt.Sprintf("job of team %s in queue %s, pool %s: %s %s",
		job.Team, job.Queue, job.Pool, job.State, job.Reason)}
	doc, allocation := m.cfg.Machine.Document(job.Team), m.cfg.Machine.Allocations()[job.Team]
	if job.State == statepb.JobState_JOB_STATE_QUEUED && allocation != nil && allocation.Units >= doc.GetUpperLimitUnits() {
		lines = append(lines, fmt.Sprintf("waits: %d units of team %s are handed out, its upper limit is %d",
			allocation.Units, job.Team, doc.GetUpperLimitUnits()))
	}
	for _, a := range job.Attempts {
		lines = append(lines, fmt.Sprintf("attempt %d on %s: %s %s", a.Number, a.Vm, a.Outcome, a.Reason))
	}
	return lines, true
}

func (m *Manager) explainTeam(id string) ([]string, bool) {
	doc := m.cfg.Machine.Document(id)
	allocation := m.cfg.Machine.Allocations()[id]
	if doc == nil || allocation == nil {
		return nil, false
	}
	lines := []string{fmt.Sprintf("share %d, upper limit %d, %d handed out, %d jobs running, %d queued",
		doc.ShareWeight, doc.UpperLimitUnits, allocation.Units, allocation.RunningJobs, allocation.QueuedJobs)}
	demands := m.demandBySession(id)
	for _, r := range allocation.Reserved {
		d := demands[r.Session]
		lines = append(lines, fmt.Sprintf("session %s holds %d units, runs %d, %d wait (%d urgent)",
			r.Session, r.Reservation.Units, d.GetRunningUnits(), d.GetWaitingUnits(), d.GetUrgentWaitingUnits()))
	}
	for _, r := range allocation.Expired {
		lines = append(lines, fmt.Sprintf("expired session %s holds %d units until its requests are past their longest deadline, %d ms",
			r.Session, r.Reservation.Units, r.Reservation.LongestDeadlineMs))
	}
	for _, k := range allocation.Kept {
		lines = append(lines, fmt.Sprintf("VM %s keeps %d units for when it is cut off from the leader", k.MemberName, k.Units))
	}
	return lines, true
}

// demandBySession returns the demand that each live session has reported for a
// team.
func (m *Manager) demandBySession(team string) map[string]*wirepb.TeamDemand {
	demands := make(map[string]*wirepb.TeamDemand)
	for _, r := range m.sessions.reports(m.cfg.Machine.Sessions()) {
		for _, d := range r.demands {
			if d.Team == team {
				demands[r.session] = d
			}
		}
	}
	return demands
}
