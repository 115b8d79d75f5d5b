package replay

import (
	"time"

	"sapphirering/internal/policy/placement"
	"sapphirering/internal/policy/share"
)

// PolicyPlanner plans with the policy packages of the system.
type PolicyPlanner struct {
	health    *placement.Health
	estimator *placement.Estimator
}

// NewPolicyPlanner returns a planner without any observations.
func NewPolicyPlanner() *PolicyPlanner {
	return &PolicyPlanner{health: placement.NewHealth(), estimator: placement.NewEstimator()}
}

func virtualTime(now time.Duration) time.Time { return time.UnixMilli(0).Add(now) }

// Ended records the outcome, run time and size of one attempt.
func (p *PolicyPlanner) Ended(job *ShareJob, worker string, ok bool, now time.Duration) {
	p.health.Observe(worker, "pool", job.ID, ok, virtualTime(now))
	if ok {
		p.estimator.ObserveRunTime(job.Team.name, job.Class, (now - job.startedAt).Milliseconds(), job.DeclaredMS)
		p.estimator.ObserveSize(job.Team.name, job.Class, job.Millicores, job.Declared.Millicores)
	}
}

func (p *PolicyPlanner) needs(job *ShareJob, largest share.Resources) share.Resources {
	return p.estimator.Size(job.Team.name, job.Class, job.Declared, largest)
}

// Plan plans one round as the leader's loop does.
func (p *PolicyPlanner) Plan(v *ShareView) placement.Plan {
	s := placement.Snapshot{MaxStarts: roundStarts, MaxWaits: roundWaits}
	largest := v.Workers[0].Capacity
	names := make([]string, len(v.Workers))
	for i, w := range v.Workers {
		names[i] = w.Name
	}
	p.health.Exclude("pool", names, virtualTime(v.Now))
	used := make(map[string]share.Resources)
	for _, w := range v.Workers {
		s.Workers = append(s.Workers, p.worker(w, v.Now, largest, used, &s))
	}
	placement.ReserveSlots(s.Workers)
	for _, t := range v.Teams {
		if len(t.queued) == 0 && used[t.name].Slots == 0 {
			continue
		}
		s.Teams = append(s.Teams, share.Team{
			Name: t.name, Weight: t.Weight, Used: used[t.name],
			FreeUnits: t.UpperLimit - min(t.UpperLimit, uint32(used[t.name].Slots)),
		})
		s.Jobs = append(s.Jobs, p.queued(t, largest)...)
	}
	plan := placement.MakePlan(s)
	for _, start := range plan.Starts {
		if excluded, _ := p.health.State(start.Worker, virtualTime(v.Now)); excluded {
			p.health.ProbeStarted(start.Worker, virtualTime(v.Now))
		}
	}
	return plan
}

func (p *PolicyPlanner) worker(w *shareWorker, now time.Duration, largest share.Resources, used map[string]share.Resources, s *placement.Snapshot) placement.Worker {
	view := w.Worker
	view.Excluded, view.Probe = p.health.State(w.Name, virtualTime(now))
	for _, job := range w.unreported {
		needs := p.needs(job, largest)
		view.Used = view.Used.Add(needs)
		used[job.Team.name] = used[job.Team.name].Add(needs)
	}
	for _, job := range w.jobs {
		needs := p.needs(job, largest)
		view.Used = view.Used.Add(needs)
		used[job.Team.name] = used[job.Team.name].Add(needs)
		view.FreeInMS = max(view.FreeInMS, p.estimator.RunTime(job.Team.name, job.Class, job.DeclaredMS)-(now-job.startedAt).Milliseconds())
		running := share.Running{
			ID: job.ID, Team: job.Team.name, Worker: w.Name, Class: job.Class, Needs: needs,
			StartedMS: job.startedAt.Milliseconds(),
		}
		if job.stopAt > 0 {
			s.Stopping = append(s.Stopping, running)
		} else {
			s.Running = append(s.Running, running)
		}
	}
	return view
}

// queued returns the first roundPerTeam jobs of each class.
func (p *PolicyPlanner) queued(t *shareTeamState, largest share.Resources) []placement.Job {
	var jobs []placement.Job
	counts := make(map[share.Class]int)
	for _, job := range t.queued {
		if counts[job.Class]++; counts[job.Class] > roundPerTeam {
			continue
		}
		jobs = append(jobs, placement.Job{
			Job:   share.Job{ID: job.ID, Team: t.name, Class: job.Class, Needs: p.needs(job, largest)},
			Queue: t.name, ExpectedMS: p.estimator.RunTime(t.name, job.Class, job.DeclaredMS), FailedOn: job.failedOn,
		})
	}
	return jobs
}

// NaivePlanner is the baseline: a static split of the pool by weight, first
// come, first served within a team, first fit by declared size, no learning.
type NaivePlanner struct{}

// Ended does nothing.
func (NaivePlanner) Ended(*ShareJob, string, bool, time.Duration) {}

// Plan starts the jobs that fit within each team's static part of the pool.
func (NaivePlanner) Plan(v *ShareView) placement.Plan {
	var plan placement.Plan
	weights, slots := uint64(0), uint64(0)
	free := make([]share.Resources, len(v.Workers))
	for _, t := range v.Teams {
		weights += uint64(t.Weight)
	}
	for i, w := range v.Workers {
		slots += w.Capacity.Slots
		free[i] = w.Capacity
		for _, job := range w.jobs {
			free[i] = free[i].Sub(job.Declared)
		}
		for _, job := range w.unreported {
			free[i] = free[i].Sub(job.Declared)
		}
	}
	for _, t := range v.Teams {
		limit := min(uint32(max(1, slots*uint64(t.Weight)/weights)), t.UpperLimit)
		freeSlots := int(limit) - t.running
		for _, job := range t.queued {
			if freeSlots <= 0 || len(plan.Starts) == roundStarts {
				break
			}
			at := firstFit(free, job.Declared)
			if at < 0 {
				// First come, first served: the jobs behind this one wait too.
				if job.neverRuns {
					plan.Unplaceable = append(plan.Unplaceable, placement.JobReason{Job: job.ID})
					continue
				}
				break
			}
			free[at] = free[at].Sub(job.Declared)
			plan.Starts = append(plan.Starts, placement.Start{Job: job.ID, Worker: v.Workers[at].Name})
			freeSlots--
		}
	}
	return plan
}

func firstFit(free []share.Resources, needs share.Resources) int {
	for i, f := range free {
		if needs.Fits(f) {
			return i
		}
	}
	return -1
}
