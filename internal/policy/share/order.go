package share

import (
	"cmp"
	"fmt"
	"slices"
)

// Resources is an amount of a worker or of a whole pool.
type Resources struct {
	Millicores   uint64
	MemoryMB     uint64
	Accelerators uint64
	Slots        uint64
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		r.Millicores + o.Millicores, r.MemoryMB + o.MemoryMB,
		r.Accelerators + o.Accelerators, r.Slots + o.Slots,
	}
}

// Sub returns r minus o, never below zero.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		r.Millicores - min(r.Millicores, o.Millicores), r.MemoryMB - min(r.MemoryMB, o.MemoryMB),
		r.Accelerators - min(r.Accelerators, o.Accelerators), r.Slots - min(r.Slots, o.Slots),
	}
}

// Fits reports whether r is within o in every resource. A resource that the
// worker does not declare (zero cores and memory) does not bound.
func (r Resources) Fits(o Resources) bool {
	if r.Slots > o.Slots || r.Accelerators > o.Accelerators {
		return false
	}
	return r.Millicores <= o.Millicores && r.MemoryMB <= o.MemoryMB
}

// DominantShare returns the largest part that r takes of total, over all resources.
func (r Resources) DominantShare(total Resources) float64 {
	largest := 0.0
	for _, d := range [][2]uint64{
		{r.Millicores, total.Millicores}, {r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators}, {r.Slots, total.Slots},
	} {
		if d[1] > 0 {
			largest = max(largest, float64(d[0])/float64(d[1]))
		}
	}
	return largest
}

// Class orders work within a team's share.
type Class int

// Classes in the order in which they start.
const (
	Urgent Class = iota
	Normal
	Long
)

// Team is one team's side of a pool.
type Team struct {
	Name   string
	Weight uint32
	// Used is what the team's jobs take of the pool, those started since the
	// last usage report included.
	Used Resources
	// FreeUnits is how many more jobs its upper limit allows.
	FreeUnits uint32
}

// Job is one queued job.
type Job struct {
	ID    string
	Team  string
	Class Class
	Needs Resources
}

// Queue hands out queued jobs in the order of dominant resource fairness: the
// team with the least dominant share per weight goes next, urgent jobs first
// within the team's own turn.
type Queue struct {
	total Resources
	teams []*queueTeam
}

type queueTeam struct {
	Team
	jobs []Job
}

// NewQueue orders jobs of one pool with the given total resources. Jobs of
// teams that are not listed are left out.
func NewQueue(total Resources, teams []Team, jobs []Job) *Queue {
	q := &Queue{total: total}
	byName := make(map[string]*queueTeam, len(teams))
	for _, team := range teams {
		entry := &queueTeam{Team: team}
		byName[team.Name] = entry
		q.teams = append(q.teams, entry)
	}
	for _, job := range jobs {
		if entry := byName[job.Team]; entry != nil {
			entry.jobs = append(entry.jobs, job)
		}
	}
	for _, entry := range q.teams {
		slices.SortStableFunc(entry.jobs, func(a, b Job) int {
			return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.SortFunc(q.teams, func(a, b *queueTeam) int { return cmp.Compare(a.Name, b.Name) })
	return q
}

// perWeight is the team's dominant share per weight.
func (t *queueTeam) perWeight(total Resources) float64 {
	return t.Used.DominantShare(total) / float64(max(1, t.Weight))
}

// Next takes the next job with the reason of its turn; false when none may start.
func (q *Queue) Next() (Job, string, bool) {
	var best *queueTeam
	for _, t := range q.teams {
		if len(t.jobs) == 0 || t.FreeUnits == 0 {
			continue
		}
		if best == nil || t.perWeight(q.total) < best.perWeight(q.total) {
			best = t
		}
	}
	if best == nil {
		return Job{}, "", false
	}
	job := best.jobs[0]
	best.jobs = best.jobs[1:]
	reason := fmt.Sprintf("team %s has the least dominant share per weight (%.3f)", best.Name, best.perWeight(q.total))
	return job, reason, true
}

// Started counts a job that was placed.
func (q *Queue) Started(job Job) {
	for _, t := range q.teams {
		if t.Name == job.Team {
			t.Used = t.Used.Add(job.Needs)
			t.FreeUnits--
		}
	}
}

// Drop leaves the team's other jobs out of this round.
func (q *Queue) Drop(team string) {
	for _, t := range q.teams {
		if t.Name == team {
			t.jobs = nil
		}
	}
}

// AtLimit returns the teams whose queued jobs wait for their upper limit.
func (q *Queue) AtLimit() []string {
	var names []string
	for _, t := range q.teams {
		if len(t.jobs) > 0 && t.FreeUnits == 0 {
			names = append(names, t.Name)
		}
	}
	return names
}

// Running is one running job that may be preempted by checkpoint.
type Running struct {
	ID     string
	Team   string
	Worker string
	Class  Class
	Needs  Resources
	// StartedMS orders victims: the youngest loses least.
	StartedMS int64
}

// Victim chooses the running job that makes room for an urgent one: a lower
// class of the same team, else one of a team that is above its share while the
// urgent job's team is below. usable tells whether the room would serve.
func Victim(total Resources, teams []Team, running []Running, urgent Job, usable func(Running) bool) (Running, string, bool) {
	over := overShare(total, teams)
	var best *Running
	for i, r := range running {
		sameTeam := r.Team == urgent.Team
		if r.Class == Urgent || !usable(r) || !sameTeam && (over[r.Team] <= 0 || over[urgent.Team] >= 0) {
			continue
		}
		if best == nil || better(r, *best, urgent.Team, over) {
			best = &running[i]
		}
	}
	if best == nil {
		return Running{}, "", false
	}
	reason := fmt.Sprintf("makes room for urgent job %s of team %s", urgent.ID, urgent.Team)
	return *best, reason, true
}

// better prefers the same team, then the team most above its share, then the
// lower class, then the youngest.
func better(a, b Running, team string, over map[string]float64) bool {
	return cmp.Or(
		cmp.Compare(rank(a.Team == team), rank(b.Team == team)),
		cmp.Compare(over[a.Team], over[b.Team]),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.StartedMS, b.StartedMS),
		cmp.Compare(b.ID, a.ID),
	) > 0
}

func rank(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// overShare returns how far each team's dominant share is above its part by
// weight among the teams that use the pool or are listed.
func overShare(total Resources, teams []Team) map[string]float64 {
	weights := 0.0
	for _, t := range teams {
		weights += float64(max(1, t.Weight))
	}
	over := make(map[string]float64, len(teams))
	for _, t := range teams {
		over[t.Name] = t.Used.DominantShare(total) - float64(max(1, t.Weight))/weights
	}
	return over
}
