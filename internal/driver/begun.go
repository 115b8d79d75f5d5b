package driver

import (
	"maps"
	"slices"
	"time"

	"sapphirering/internal/metrics"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// begunDelay is how long it may take until it is committed that a job has begun: most go with another command.
const begunDelay = 500 * time.Millisecond

// noteBegun records that the target of a run has begun it.
func (d *Driver) noteBegun(r *run) {
	if r.begun {
		return
	}
	r.begun = true
	d.cfg.Machine.View(func(v *workflow.View) {
		job := v.OpenJobs()[r.task.Job]
		if _, known := d.begun[r.task.Job]; known || job == nil || job.State != pb.JobState_JOB_STATE_QUEUED {
			return
		}
		now := d.cfg.Now()
		if len(d.begun) == 0 {
			d.begunSince = now
		}
		d.begun[r.task.Job] = struct{}{}
		metrics.Observe("driver_first_start_us", time.Duration(d.cfg.NowMS()-job.Spec.SubmittedUnixMs)*time.Millisecond)
		d.noteFirstStart(v, job, now)
	})
}

// begunJobs returns the jobs that have begun and whether that is to be committed now.
func (d *Driver) begunJobs() (jobs []string, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.begun)), len(d.begun) > 0 && d.cfg.Now().Sub(d.begunSince) >= begunDelay
}

// forgetBegun forgets jobs of which it is committed that they have begun.
func (d *Driver) forgetBegun(jobs []string) {
	if len(jobs) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range jobs {
		delete(d.begun, id)
	}
	d.begunSince = d.cfg.Now()
}

// hasBegun returns which jobs have begun although that is not committed yet.
func (d *Driver) hasBegun() map[string]struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.begun)
}

// stateOf returns the state of a job, of which a task may have begun though that is not committed yet.
func stateOf(job *workflow.Job, begun map[string]struct{}) pb.JobState {
	if _, ok := begun[job.Spec.Id]; ok && job.State == pb.JobState_JOB_STATE_QUEUED {
		return pb.JobState_JOB_STATE_RUNNING
	}
	return job.State
}
