package share

import (
	"cmp"
	"fmt"
	"slices"
)

// Resources is an amount of each resource: a need, or what a worker or pool has.
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

// Fits reports whether r is at most o in every resource. The caller removes the
// needs of resources that a worker does not declare.
func (r Resources) Fits(o Resources) bool {
	if r.Slots > o.Slots || r.Accelerators > o.Accelerators {
		return false
	}
	return r.Millicores <= o.Millicores && r.MemoryMB <= o.MemoryMB
}

// DominantShare returns the largest fraction that r takes of any resource of total.
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

// Class orders jobs within a team's share.
type Class int

// Classes in the order in which they start.
const (
	Urgent Class = iota
	Normal
	Long
)

// Team is what one team uses and may use of a pool.
type Team struct {
	Name   string
	Weight uint32
	// Used is what the team's jobs take of the pool, including jobs started since
	// the last usage report.
	Used Resources
	// FreeUnits is the number of further jobs that the team's upper limit allows.
	FreeUnits uint32
}

// Job is one queued job.
type Job struct {
	ID    string
	Team  string
	Class Class
	Needs Resources
}

// Queue returns queued jobs by dominant resource fairness: the next job is from the
// team with the least dominant share per weight, by class within the team.
type Queue struct {
	total Resources
	teams []*queueTeam
}

type queueTeam struct {
	Team
	jobs []Job
}

// NewQueue returns a queue of the jobs of one pool with the given total resources.
// Jobs of teams that are not listed are left out.
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

// weightedShare returns the team's dominant share divided by its weight.
func (t *queueTeam) weightedShare(total Resources) float64 {
	return t.Used.DominantShare(total) / float64(max(1, t.Weight))
}

// Next removes the next job and returns it with the reason why it is next; false
// when no job may start.
func (q *Queue) Next() (Job, string, bool) {
	var best *queueTeam
	for _, t := range q.teams {
		if len(t.jobs) == 0 || t.FreeUnits == 0 {
			continue
		}
		if best == nil || t.weightedShare(q.total) < best.weightedShare(q.total) {
			best = t
		}
	}
	if best == nil {
		return Job{}, "", false
	}
	job := best.jobs[0]
	best.jobs = best.jobs[1:]
	reason := fmt.Sprintf("team %s has the least dominant share per weight (%.3f)", best.Name, best.weightedShare(q.total))
	return job, reason, true
}

// Started counts a placed job as used by its team.
func (q *Queue) Started(job Job) {
	for _, t := range q.teams {
		if t.Name == job.Team {
			t.Used = t.Used.Add(job.Needs)
			t.FreeUnits--
		}
	}
}

// Drop removes the team's other jobs from the queue.
func (q *Queue) Drop(team string) {
	for _, t := range q.teams {
		if t.Name == team {
			t.jobs = nil
		}
	}
}

// AtLimit returns the teams that have queued jobs and are at their upper limit.
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
	// StartedMS is the start time. The job that started last is preempted first,
	// because it loses the least work.
	StartedMS int64
}

// Victim chooses the running job to preempt for an urgent one: a job of a lower
// class of the same team, else a job of a team above its share if the urgent job's
// team is below its own. usable reports whether the urgent job could use the room.
func Victim(total Resources, teams []Team, running []Running, urgent Job, usable func(Running) bool) (Running, string, bool) {
	over := overShare(total, teams)
	var best *Running
	for i, r := range running {
		sameTeam := r.Team == urgent.Team
		if r.Class == Urgent || !usable(r) || !sameTeam && (over[r.Team] <= 0 || over[urgent.Team] >= 0) {
			continue
		}
		if best == nil || betterVictim(r, *best, urgent.Team, over) {
			best = &running[i]
		}
	}
	if best == nil {
		return Running{}, "", false
	}
	reason := fmt.Sprintf("preempted for urgent job %s of team %s", urgent.ID, urgent.Team)
	return *best, reason, true
}

// betterVictim reports whether a is to be preempted rather than b: the same team's
// job first, then that of the team furthest above its share, then the lower class,
// then the job that started last.
func betterVictim(a, b Running, team string, over map[string]float64) bool {
	return cmp.Or(
		cmp.Compare(boolToInt(a.Team == team), boolToInt(b.Team == team)),
		cmp.Compare(over[a.Team], over[b.Team]),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.StartedMS, b.StartedMS),
		cmp.Compare(b.ID, a.ID),
	) > 0
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// overShare returns how far each team's dominant share exceeds its fraction by
// weight among the given teams.
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
