package driver

import (
	"fmt"
	"slices"
	"time"

	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/turnaway"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// minLedTime is how long a leader refuses no jobs: it has not learned run times and targets yet, and
	// submissions that reached its predecessor may still be on their way.
	minLedTime = 5 * time.Second
	// maxBacklogAge is the age from which on a backlog says nothing of the next job. Rounds are far
	// shorter, but one that plans many starts leaves out pools.
	maxBacklogAge = time.Second
)

// admission is what the leader knows for the decision whether to refuse jobs, guarded by the driver's mutex.
type admission struct {
	// backlogs holds the work of pools with waiting tasks, by pool.
	backlogs map[string]poolBacklog
	// submitting counts the submissions of each job that are being committed or whose outcome is not
	// known: a refusal of a resent one would be false if the first is accepted.
	submitting map[string]int
}

// poolBacklog is the backlog of a pool and when it was worked out.
type poolBacklog struct {
	at      time.Time
	backlog *turnaway.Backlog
}

func newAdmission() *admission {
	return &admission{backlogs: make(map[string]poolBacklog), submitting: make(map[string]int)}
}

// noteBacklog keeps the jobs of a pool that was just planned for decisions on submissions.
func (d *Driver) noteBacklog(v *workflow.View, pool string, s *assign.Snapshot) {
	if !d.cfg.RefuseLate {
		return
	}
	var jobs []turnaway.OpenJob
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Copy || j.Lasting {
			continue
		}
		jobs = append(jobs, turnaway.OpenJob{
			Workspace: j.Workspace, BeyondRate: j.BeyondRate, Priority: j.Priority, Shed: j.Shed, WorkMillisMS: j.WorkMillisMS,
			RemainingMS: j.RemainingMS, Worth: j.Worth, DeadlineMS: j.DeadlineMS, LateDeadlineMS: j.LateDeadlineMS,
		})
	}
	d.admission.backlogs[pool] = poolBacklog{d.cfg.Now(), turnaway.NewBacklog(s.NowMS, d.largestCapacity(v, pool), jobs)}
}

// largestCapacity returns the CPU capacity for short work that a pool may have soon: that of all its
// targets, whether they take starts now or not, of VMs on their way, and of VMs that other pools may spare.
func (d *Driver) largestCapacity(v *workflow.View, pool string) int64 {
	capacity := int64(0)
	for id, target := range v.Targets() {
		if target.Pool == pool {
			used := v.UsedOn(id)
			capacity += max(target.GetCapacity().GetCpuMillis()-(used.Room.CPUMillis-used.ShortMillis), 0)
		}
	}
	for name, vm := range d.fleet.vms {
		_, idle := d.pools.idleSince[name]
		m := d.pools.moving[name]
		if m != nil && m.to == pool || m == nil && vm.Pool != pool && (idle || v.Pool(vm.Pool).GetResting()) {
			capacity += vm.Capacity.CPUMillis
		}
	}
	return capacity
}

// beginSubmit returns the refusal of a new job, or nil if it is to be committed; endSubmit is called once the
// outcome is known.
func (d *Driver) beginSubmit(job *pb.Job, queue *pb.Queue) *turnaway.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admission.submitting[job.Id] == 0 {
		if refusal := d.refuseBeyondLimit(job); refusal != nil {
			return refusal
		}
		if refusal := d.refuseLate(job, queue); refusal != nil {
			countRefusedLate(job.Workspace)
			return refusal
		}
	}
	d.admission.submitting[job.Id]++
	return nil
}

func (d *Driver) endSubmit(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admission.submitting[id]--; d.admission.submitting[id] == 0 {
		delete(d.admission.submitting, id)
	}
}

// limitRetryMS is the time after which a caller may try again whose job the limit of its workspace rules out: once a
// catalogue with a higher one is in force.
const limitRetryMS = 30_000

// refuseBeyondLimit returns the refusal of a job with a gang that the limit of its workspace keeps from ever starting, or
// nil.
func (d *Driver) refuseBeyondLimit(job *pb.Job) (refusal *turnaway.Refusal) {
	if workflow.CheckJob(job) != nil {
		return nil
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		workspace := v.Workspace(job.Workspace)
		at := slices.IndexFunc(job.Steps, func(step *pb.Step) bool { return workflow.NeverWithinLimit(step, workspace) })
		if at >= 0 && v.Job(job.Id) == nil {
			refusal = &turnaway.Refusal{RetryAfterMS: limitRetryMS, Reason: fmt.Sprintf("step %d: its gang of %d tasks needs more than the limit of workspace %q allows", at, job.Steps[at].Tasks, workspace.Name)}
		}
	})
	return refusal
}

// refuseLate returns the refusal of a job whose end would have no worth, or nil. Lasting jobs and jobs
// with due times are never refused for load.
func (d *Driver) refuseLate(job *pb.Job, queue *pb.Queue) *turnaway.Refusal {
	if !d.cfg.RefuseLate {
		return nil
	}
	now := d.cfg.Now()
	known, ok := d.admission.backlogs[queue.Pool]
	if !ok || now.Sub(known.at) > maxBacklogAge || now.Sub(d.startedAt) < minLedTime {
		return nil
	}
	if workflow.CheckJob(job) != nil || job.Occurrences > 0 || slices.ContainsFunc(job.Steps, func(s *pb.Step) bool { return s.Lasting }) {
		return nil
	}
	nowMS := d.cfg.NowMS()
	submitted := d.describeNew(job, queue, nowMS)
	accepted := false
	d.cfg.Machine.View(func(v *workflow.View) {
		accepted = v.Job(job.Id) != nil
		submitted.BeyondRate = v.BeyondRate(job, nowMS)
	})
	if accepted {
		return nil
	}
	return known.backlog.Decide(job.Id, &submitted, nowMS)
}

// describeNew describes a job that is submitted now, by what was learned of its queue.
func (d *Driver) describeNew(job *pb.Job, queue *pb.Queue, nowMS int64) turnaway.OpenJob {
	out := turnaway.OpenJob{Workspace: job.Workspace, Priority: queue.Priority, Worth: d.learned.worth(&workflow.Job{Spec: job})}
	full, lagged := make([]int64, len(job.Steps)), make([]int64, len(job.Steps))
	for i, step := range job.Steps {
		full[i] = d.learned.longestNew(queueKey(job), step)
		lagged[i] = full[i] + d.learned.stepLag()
		out.WorkMillisMS += int64(step.Tasks) * workflow.RequiredCapacity(step).CPUMillis * d.learned.expected(queueKey(job), step)
	}
	allowed := objective(queue, longestChain(job.Steps, full))
	out.RemainingMS = longestChain(job.Steps, lagged)
	out.DeadlineMS, out.LateDeadlineMS = nowMS+allowed, nowMS+worthlessFactor*allowed
	return out
}
