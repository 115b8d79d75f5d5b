// Package placement decides which worker runs which job. All functions are
// pure: the same snapshot gives the same plan on every daemon.
package placement

import (
	"cmp"
	"fmt"
	"slices"

	"sapphirering/internal/policy/share"
)

// maxTeamWaits bounds the jobs of one team that may find no room in a round, so
// that a long queue never uses up the round of the other teams.
const maxTeamWaits = 16

// Worker is one worker of the pool.
type Worker struct {
	Name string
	Rack string
	Zone string
	// Capacity is the whole worker; zero cores and memory are not declared and
	// do not bound.
	Capacity share.Resources
	// Used is what runs there, jobs handed out since the last report included.
	Used share.Resources
	// ReservedSlots are left to urgent work.
	ReservedSlots uint64
	// FreeInMS is when the jobs that run there are expected to have ended.
	FreeInMS int64
	// Excluded workers fail what they start; Probe admits one job to such a one.
	Excluded bool
	Probe    bool
}

// Job is one queued job.
type Job struct {
	share.Job
	// Queue spreads jobs of one queue over racks and zones.
	Queue string
	// ExpectedMS is the corrected run time.
	ExpectedMS int64
	// FailedOn are workers that failed the job; a later attempt avoids them.
	FailedOn []string
}

// Start places one job.
type Start struct {
	Job    string
	Worker string
	Reason string
}

// JobReason tells why a job is not placed.
type JobReason struct {
	Job    string
	Reason string
}

// Plan is the outcome of one planning round.
type Plan struct {
	Starts []Start
	// Unplaceable holds jobs that no worker of the pool could run even when empty.
	Unplaceable []JobReason
	// Waits holds the jobs that found no room, with the reason.
	Waits []JobReason
	// Preempt holds running jobs that are to checkpoint and stop.
	Preempt []JobReason
}

// Snapshot is what one planning round of one pool looks at.
type Snapshot struct {
	Workers []Worker
	Teams   []share.Team
	Jobs    []Job
	Running []share.Running
	// Stopping holds running jobs that were asked to stop already.
	Stopping []share.Running
	// Absent holds the capacity of workers of the pool that take no job now, so
	// that a job only they could run waits for them.
	Absent []Worker
	// MaxStarts bounds the starts of one round.
	MaxStarts int
	// MaxWaits bounds the waiting jobs that are looked at in one round.
	MaxWaits int
}

// planner holds the state of one round.
type planner struct {
	snapshot Snapshot
	workers  []*Worker
	jobs     map[string]Job
	// placed counts this round's and earlier jobs of a queue, by rack and zone.
	racks map[[2]string]int
	// held is the worker kept free for a large job that waits.
	held      *Worker
	heldUntil int64
	freed     map[string]bool
	// waits counts the jobs of each team that found no room.
	waits map[string]int
	// full holds the shapes of jobs that found no room: workers only fill up
	// during a round, so an equal job finds none either.
	full map[shape]bool
	plan Plan
}

// MakePlan plans one round: jobs in the order of the teams' shares, each on the
// worker that leaves the least waste.
func MakePlan(s Snapshot) Plan {
	p := newPlanner(s)
	queue := share.NewQueue(total(s.Workers), s.Teams, p.runnable())
	for len(p.plan.Starts) < s.MaxStarts && len(p.plan.Waits) < s.MaxWaits {
		next, turn, ok := queue.Next()
		if !ok {
			break
		}
		job := p.jobs[next.ID]
		worker := p.choose(job)
		if worker == nil {
			p.wait(job)
			if p.waits[job.Team]++; p.waits[job.Team] >= maxTeamWaits {
				queue.Drop(job.Team)
			}
			continue
		}
		p.start(job, worker, turn)
		queue.Started(next)
	}
	return p.plan
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		snapshot: s, jobs: make(map[string]Job, len(s.Jobs)),
		racks: make(map[[2]string]int), freed: make(map[string]bool), waits: make(map[string]int),
		full: make(map[shape]bool),
	}
	for _, worker := range s.Workers {
		p.workers = append(p.workers, &worker)
	}
	slices.SortFunc(p.workers, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func total(workers []Worker) share.Resources {
	var sum share.Resources
	for _, w := range workers {
		if !w.Excluded {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// runnable sorts out the jobs that can never run.
func (p *planner) runnable() []share.Job {
	var jobs []share.Job
	all := slices.Concat(p.snapshot.Workers, p.snapshot.Absent)
	for _, job := range p.snapshot.Jobs {
		if reason := UnplaceableReason(job.Needs, all); reason != "" {
			p.plan.Unplaceable = append(p.plan.Unplaceable, JobReason{job.ID, reason})
			continue
		}
		p.jobs[job.ID] = job
		jobs = append(jobs, job.Job)
	}
	return jobs
}

// workersPerReserved is how many workers keep one slot for urgent work between
// them: few enough not to move the teams off their shares, while preemption
// makes the room that a burst of urgent work needs beyond.
const workersPerReserved = 4

// ReserveSlots leaves one slot of every fourth worker to urgent work. Workers with a
// single slot reserve none.
func ReserveSlots(workers []Worker) {
	for i := range workers {
		if i%workersPerReserved == 0 && workers[i].Capacity.Slots > 1 {
			workers[i].ReservedSlots = 1
		}
	}
}

// UnplaceableReason returns why no worker could run the needs even when empty, or "".
// Without any worker nothing is known.
func UnplaceableReason(needs share.Resources, workers []Worker) string {
	if len(workers) == 0 {
		return ""
	}
	var largest share.Resources
	for _, w := range workers {
		if bound(needs, w).Fits(w.Capacity) {
			return ""
		}
		largest.Millicores = max(largest.Millicores, w.Capacity.Millicores)
		largest.MemoryMB = max(largest.MemoryMB, w.Capacity.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, w.Capacity.Accelerators)
	}
	return fmt.Sprintf("needs %d millicores, %d MB and %d accelerators; no worker of the pool has them together (largest: %d, %d MB, %d)",
		needs.Millicores, needs.MemoryMB, needs.Accelerators,
		largest.Millicores, largest.MemoryMB, largest.Accelerators)
}

// bound drops the needs that the worker does not declare a capacity for.
func bound(needs share.Resources, w Worker) share.Resources {
	if w.Capacity.Millicores == 0 {
		needs.Millicores = 0
	}
	if w.Capacity.MemoryMB == 0 {
		needs.MemoryMB = 0
	}
	return needs
}

// free is what the worker has left for a job of the class.
func free(w *Worker, class share.Class) share.Resources {
	left := w.Capacity.Sub(w.Used)
	if class != share.Urgent {
		left.Slots -= min(left.Slots, w.ReservedSlots)
	}
	return left
}

// admits reports whether the job may start on the worker now.
func (p *planner) admits(w *Worker, job Job) bool {
	switch {
	case w.Excluded && !w.Probe:
		return false
	case p.avoids(job, w.Name):
		return false
	case w == p.held && job.ExpectedMS > p.heldUntil:
		return false
	}
	return bound(job.Needs, *w).Fits(free(w, job.Class))
}

// avoids reports whether the worker failed the job before and another is left.
func (p *planner) avoids(job Job, worker string) bool {
	if !slices.Contains(job.FailedOn, worker) {
		return false
	}
	return slices.ContainsFunc(p.workers, func(w *Worker) bool {
		return !w.Excluded && !slices.Contains(job.FailedOn, w.Name) && bound(job.Needs, *w).Fits(w.Capacity)
	})
}

// shape is what decides whether any worker has room for a job.
type shape struct {
	needs share.Resources
	class share.Class
}

// choose returns the worker with the best score, or nil.
func (p *planner) choose(job Job) *Worker {
	if p.full[shape{job.Needs, job.Class}] {
		return nil
	}
	best := p.best(job)
	if best == nil && len(job.FailedOn) == 0 && p.held == nil {
		p.full[shape{job.Needs, job.Class}] = true
	}
	return best
}

func (p *planner) best(job Job) *Worker {
	var best *Worker
	var bestScore score
	for _, w := range p.workers {
		if !p.admits(w, job) {
			continue
		}
		if s := p.score(w, job); best == nil || s.compare(bestScore) < 0 {
			best, bestScore = w, s
		}
	}
	return best
}

// score orders workers for a job; less is better.
type score struct {
	// strands counts accelerators that a job without need of them would cut off.
	strands uint64
	// crowding counts jobs of the same queue in the rack.
	crowding int
	// leftover is what stays free of the tightest resource, so that whole
	// workers stay free for large jobs.
	leftover float64
}

func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.strands, o.strands),
		cmp.Compare(s.crowding, o.crowding),
		cmp.Compare(s.leftover, o.leftover),
	)
}

func (p *planner) score(w *Worker, job Job) score {
	left := free(w, job.Class)
	s := score{leftover: left.Sub(job.Needs).DominantShare(w.Capacity)}
	if job.Needs.Accelerators == 0 {
		s.strands = left.Accelerators
		// Small jobs pack; spreading them would leave no worker whole.
		return s
	}
	s.crowding = p.racks[[2]string{job.Queue, w.Zone + "/" + w.Rack}]
	return s
}

func (p *planner) start(job Job, w *Worker, turn string) {
	w.Used = w.Used.Add(bound(job.Needs, *w))
	w.Probe = false
	p.racks[[2]string{job.Queue, w.Zone + "/" + w.Rack}]++
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: job.ID, Worker: w.Name,
		Reason: fmt.Sprintf("%s; worker %s in rack %s leaves the least waste", turn, w.Name, w.Rack),
	})
}

// wait notes why the job is not placed and makes room for it where that is due.
func (p *planner) wait(job Job) {
	reason := "every worker that fits is full"
	switch {
	case job.Class == share.Urgent && p.preempt(job):
		reason = "waits for a running job to checkpoint"
	case p.held == nil && job.Needs.Accelerators > 0:
		reason = p.hold(job)
	}
	p.plan.Waits = append(p.plan.Waits, JobReason{job.ID, reason})
}

// hold keeps the worker that is free first for a large accelerator job. Only
// jobs expected to end before are started there.
func (p *planner) hold(job Job) string {
	for _, w := range p.workers {
		if w.Excluded || !bound(job.Needs, *w).Fits(w.Capacity) {
			continue
		}
		if p.held == nil || w.FreeInMS < p.held.FreeInMS {
			p.held, p.heldUntil = w, w.FreeInMS
		}
	}
	if p.held == nil {
		return "every worker that fits is excluded"
	}
	return fmt.Sprintf("worker %s is kept free for its accelerators", p.held.Name)
}

// preempt asks one running job to stop when that makes room for the urgent
// one, unless one that was asked before does.
func (p *planner) preempt(job Job) bool {
	usable := func(r share.Running) bool { return !p.freed[r.ID] && p.serves(job, r) }
	if at := slices.IndexFunc(p.snapshot.Stopping, usable); at >= 0 {
		p.freed[p.snapshot.Stopping[at].ID] = true
		return true
	}
	victim, reason, ok := share.Victim(total(p.snapshot.Workers), p.snapshot.Teams, p.snapshot.Running, job.Job, usable)
	if !ok {
		return false
	}
	p.freed[victim.ID] = true
	p.plan.Preempt = append(p.plan.Preempt, JobReason{victim.ID, reason})
	return true
}

// serves reports whether the end of a running job makes room for another one.
func (p *planner) serves(job Job, r share.Running) bool {
	for _, w := range p.workers {
		if w.Name == r.Worker && !w.Excluded && !p.avoids(job, w.Name) {
			return bound(job.Needs, *w).Fits(free(w, job.Class).Add(r.Needs))
		}
	}
	return false
}
