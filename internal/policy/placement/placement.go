// Package placement decides which worker runs which job. Planning is a pure
// function: equal snapshots give equal plans on every daemon.
package placement

import (
	"cmp"
	"fmt"
	"slices"

	"sapphirering/internal/policy/share"
)

// maxTeamWaits is the number of jobs of one team that may stay unplaced in a
// round before its other jobs are skipped, so that a long queue never uses up the
// round's limit for waiting jobs.
const maxTeamWaits = 16

// Worker is one worker of the pool.
type Worker struct {
	Name string
	Rack string
	Zone string
	// Capacity is the total of the worker. Zero cores or memory means not declared
	// and sets no limit.
	Capacity share.Resources
	// Used is what the running jobs take, including jobs handed out since the
	// worker's last report.
	Used share.Resources
	// ReservedSlots is the number of slots kept free for urgent jobs.
	ReservedSlots uint64
	// FreeInMS is the expected time until the running jobs have ended.
	FreeInMS int64
	// Excluded marks a worker on which jobs keep failing; Probe admits one job to
	// it all the same.
	Excluded bool
	Probe    bool
}

// Job is one queued job.
type Job struct {
	share.Job
	// Queue is the job's queue: accelerator jobs of one queue are spread over
	// racks and zones.
	Queue string
	// ExpectedMS is the corrected run time.
	ExpectedMS int64
	// FailedOn holds the workers on which the job failed; later attempts avoid them.
	FailedOn []string
}

// Start places one job on a worker.
type Start struct {
	Job    string
	Worker string
	Reason string
}

// JobReason gives the reason why a job is not placed or is preempted.
type JobReason struct {
	Job    string
	Reason string
}

// Plan is the result of one planning round.
type Plan struct {
	Starts []Start
	// Unplaceable holds the jobs that no worker of the pool could run even if idle.
	Unplaceable []JobReason
	// Waits holds the jobs that no worker has room for now.
	Waits []JobReason
	// Preempt holds the running jobs that must checkpoint and stop.
	Preempt []JobReason
}

// Snapshot is the input of one planning round of one pool.
type Snapshot struct {
	Workers []Worker
	Teams   []share.Team
	Jobs    []Job
	Running []share.Running
	// Stopping holds the running jobs that were already asked to stop.
	Stopping []share.Running
	// Absent holds the workers of the pool that take no jobs now. A job that only
	// they could run waits for them.
	Absent []Worker
	// MaxStarts limits the starts of one round.
	MaxStarts int
	// MaxWaits ends the round once this many jobs were found to wait.
	MaxWaits int
}

// planner holds the state of one round.
type planner struct {
	snapshot Snapshot
	workers  []*Worker
	jobs     map[string]Job
	// jobsInRack counts the jobs placed in this round, by queue and zone/rack.
	jobsInRack map[[2]string]int
	// heldWorker is the worker kept free for a waiting accelerator job. Until
	// heldUntilMS only jobs that are expected to end by then may start on it.
	heldWorker  *Worker
	heldUntilMS int64
	// victims holds the running jobs whose room is already meant for an urgent job.
	victims map[string]bool
	// waitCounts counts the waiting jobs by team.
	waitCounts map[string]int
	// fullShapes holds the shapes of jobs that no worker has room for. Free room
	// only shrinks during a round, so a job of the same shape has none either.
	fullShapes map[shape]bool
	plan       Plan
}

// MakePlan plans one round: it takes the jobs in the order of the teams' shares
// and places each on the worker with the lowest score.
func MakePlan(s Snapshot) Plan {
	p := newPlanner(s)
	queue := share.NewQueue(totalCapacity(s.Workers), s.Teams, p.placeable())
	for len(p.plan.Starts) < s.MaxStarts && len(p.plan.Waits) < s.MaxWaits {
		next, turnReason, ok := queue.Next()
		if !ok {
			break
		}
		job := p.jobs[next.ID]
		worker := p.choose(job)
		if worker == nil {
			p.wait(job)
			if p.waitCounts[job.Team]++; p.waitCounts[job.Team] >= maxTeamWaits {
				queue.Drop(job.Team)
			}
			continue
		}
		p.start(job, worker, turnReason)
		queue.Started(next)
	}
	return p.plan
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		snapshot: s, jobs: make(map[string]Job, len(s.Jobs)),
		jobsInRack: make(map[[2]string]int), victims: make(map[string]bool), waitCounts: make(map[string]int),
		fullShapes: make(map[shape]bool),
	}
	for _, worker := range s.Workers {
		p.workers = append(p.workers, &worker)
	}
	slices.SortFunc(p.workers, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func totalCapacity(workers []Worker) share.Resources {
	var sum share.Resources
	for _, w := range workers {
		if !w.Excluded {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// placeable returns the jobs that some worker could run and adds the others to the
// plan as unplaceable.
func (p *planner) placeable() []share.Job {
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

// workersPerReservedSlot is the number of workers per slot reserved for urgent
// jobs. More reserved slots would move the teams away from their shares; a burst of
// urgent jobs that needs more room gets it by preemption.
const workersPerReservedSlot = 4

// ReserveSlots reserves one slot of every fourth worker for urgent jobs. Workers
// with a single slot reserve none.
func ReserveSlots(workers []Worker) {
	for i := range workers {
		if i%workersPerReservedSlot == 0 && workers[i].Capacity.Slots > 1 {
			workers[i].ReservedSlots = 1
		}
	}
}

// UnplaceableReason returns why no worker could run a job with these needs even if
// idle, or "". Without workers it can't be known, and the result is "".
func UnplaceableReason(needs share.Resources, workers []Worker) string {
	if len(workers) == 0 {
		return ""
	}
	var largest share.Resources
	for _, w := range workers {
		if effectiveNeeds(needs, w).Fits(w.Capacity) {
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

// effectiveNeeds returns the needs without cores or memory where the worker
// declares no capacity for them.
func effectiveNeeds(needs share.Resources, w Worker) share.Resources {
	if w.Capacity.Millicores == 0 {
		needs.Millicores = 0
	}
	if w.Capacity.MemoryMB == 0 {
		needs.MemoryMB = 0
	}
	return needs
}

// freeResources returns what the worker has free for a job of the class.
func freeResources(w *Worker, class share.Class) share.Resources {
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
	case w == p.heldWorker && job.ExpectedMS > p.heldUntilMS:
		return false
	}
	return effectiveNeeds(job.Needs, *w).Fits(freeResources(w, job.Class))
}

// avoids reports whether the job failed on the worker before and another worker
// could run it.
func (p *planner) avoids(job Job, worker string) bool {
	if !slices.Contains(job.FailedOn, worker) {
		return false
	}
	return slices.ContainsFunc(p.workers, func(w *Worker) bool {
		return !w.Excluded && !slices.Contains(job.FailedOn, w.Name) && effectiveNeeds(job.Needs, *w).Fits(w.Capacity)
	})
}

// shape is the part of a job that decides whether any worker has room for it.
type shape struct {
	needs share.Resources
	class share.Class
}

// choose returns the best worker for the job, or nil. It skips the search for a
// shape that no worker has room for.
func (p *planner) choose(job Job) *Worker {
	if p.fullShapes[shape{job.Needs, job.Class}] {
		return nil
	}
	best := p.best(job)
	if best == nil && len(job.FailedOn) == 0 && p.heldWorker == nil {
		p.fullShapes[shape{job.Needs, job.Class}] = true
	}
	return best
}

// best returns the worker with the lowest score that admits the job, or nil.
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

// score ranks workers for a job; lower is better.
type score struct {
	// strandedAccelerators counts the free accelerators that a job which needs none
	// could make unusable by taking the worker's other resources.
	strandedAccelerators uint64
	// sameQueueInRack counts the jobs of the same queue placed in the rack.
	sameQueueInRack int
	// leftover is the largest fraction of a resource of the worker that would stay
	// free. A low one comes first, so that whole workers stay free for large jobs.
	leftover float64
}

func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.strandedAccelerators, o.strandedAccelerators),
		cmp.Compare(s.sameQueueInRack, o.sameQueueInRack),
		cmp.Compare(s.leftover, o.leftover),
	)
}

func (p *planner) score(w *Worker, job Job) score {
	left := freeResources(w, job.Class)
	s := score{leftover: left.Sub(job.Needs).DominantShare(w.Capacity)}
	if job.Needs.Accelerators == 0 {
		s.strandedAccelerators = left.Accelerators
		// Jobs without accelerators are packed: spreading them would leave no worker
		// entirely free.
		return s
	}
	s.sameQueueInRack = p.jobsInRack[[2]string{job.Queue, w.Zone + "/" + w.Rack}]
	return s
}

func (p *planner) start(job Job, w *Worker, turnReason string) {
	w.Used = w.Used.Add(effectiveNeeds(job.Needs, *w))
	w.Probe = false
	p.jobsInRack[[2]string{job.Queue, w.Zone + "/" + w.Rack}]++
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: job.ID, Worker: w.Name,
		Reason: fmt.Sprintf("%s; worker %s in rack %s leaves the least unused capacity", turnReason, w.Name, w.Rack),
	})
}

// wait records why the job is not placed. It makes room for an urgent job by
// preemption, and keeps a worker free for an accelerator job.
func (p *planner) wait(job Job) {
	reason := "every worker that could run it is full"
	switch {
	case job.Class == share.Urgent && p.preempt(job):
		reason = "waits for a running job to checkpoint"
	case p.heldWorker == nil && job.Needs.Accelerators > 0:
		reason = p.holdWorker(job)
	}
	p.plan.Waits = append(p.plan.Waits, JobReason{job.ID, reason})
}

// holdWorker keeps the worker that is expected to be free first for an accelerator
// job. Other jobs start there only if they are expected to end before that.
func (p *planner) holdWorker(job Job) string {
	for _, w := range p.workers {
		if w.Excluded || !effectiveNeeds(job.Needs, *w).Fits(w.Capacity) {
			continue
		}
		if p.heldWorker == nil || w.FreeInMS < p.heldWorker.FreeInMS {
			p.heldWorker, p.heldUntilMS = w, w.FreeInMS
		}
	}
	if p.heldWorker == nil {
		return "every worker that could run it is excluded"
	}
	return fmt.Sprintf("worker %s is kept free for its accelerators", p.heldWorker.Name)
}

// preempt reports whether room for the urgent job is on the way: from a job that
// was already asked to stop, or else from one that it asks now.
func (p *planner) preempt(job Job) bool {
	usable := func(r share.Running) bool { return !p.victims[r.ID] && p.makesRoom(job, r) }
	if at := slices.IndexFunc(p.snapshot.Stopping, usable); at >= 0 {
		p.victims[p.snapshot.Stopping[at].ID] = true
		return true
	}
	victim, reason, ok := share.Victim(totalCapacity(p.snapshot.Workers), p.snapshot.Teams, p.snapshot.Running, job.Job, usable)
	if !ok {
		return false
	}
	p.victims[victim.ID] = true
	p.plan.Preempt = append(p.plan.Preempt, JobReason{victim.ID, reason})
	return true
}

// makesRoom reports whether the job fits on the running job's worker once that one
// has ended.
func (p *planner) makesRoom(job Job, r share.Running) bool {
	for _, w := range p.workers {
		if w.Name == r.Worker && !w.Excluded && !p.avoids(job, w.Name) {
			return effectiveNeeds(job.Needs, *w).Fits(freeResources(w, job.Class).Add(r.Needs))
		}
	}
	return false
}
