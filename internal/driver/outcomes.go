package driver

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// outcomeInterval spaces the lines about what became of a queue's jobs.
const outcomeInterval = time.Second

// outcomes tells by queue whether jobs end within their objective, and what was expected of
// them when they began: whether jobs are late because they wait, because their chains take
// longer than expected, or because time passes between their steps. The driver's mutex
// guards it.
type outcomes struct {
	// begun holds open jobs by what was known at their first start.
	begun    map[string]begunJob
	tallies  map[string]*tally
	reported time.Time
}

// begunJob is what was known of a job at its first start.
type begunJob struct {
	at time.Time
	// waitedMS is the time since its acceptance, slackMS what its objective left beyond the
	// chain that was expected, in chainMS.
	waitedMS, slackMS, chainMS int64
}

// tally sums up the jobs of one queue that ended within an interval.
type tally struct {
	jobs, inTime, late, worthless int64
	// begunInTime jobs had slack at their first start, missed ones ended late all the same.
	begunInTime, missed int64
	// Sums over jobs: waits for the first start, slack and chain as expected then, the
	// chain as it was, and the time from the first start to the end.
	waitedMS, slackMS, expectedMS, chainMS, spentMS int64
	// Processor time of jobs in time and of all others.
	usefulCoreMS, lateCoreMS int64
}

func newOutcomes() *outcomes {
	return &outcomes{begun: make(map[string]begunJob), tallies: make(map[string]*tally)}
}

// noteBegun remembers the jobs that a committed command starts for the first time.
func (d *Driver) noteBegun(starts []*pb.Start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, nowMS := d.cfg.Now(), d.cfg.NowMS()
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, start := range starts {
			id := start.Task.GetJob()
			if _, known := d.outcomes.begun[id]; known {
				continue
			}
			job := v.OpenJobs()[id]
			if job == nil || job.Spec.Occurrences > 0 || job.Spec.Steps[0].Lasting {
				continue
			}
			queue := v.Queue(job.Spec.Queue)
			if queue == nil {
				continue
			}
			times := d.timesOf(job, queue)
			d.outcomes.begun[id] = begunJob{
				at: now, waitedMS: nowMS - job.Spec.SubmittedUnixMs, slackMS: times.deadlineMS - times.remainingMS - nowMS, chainMS: times.remainingMS,
			}
		}
	})
}

// noteOutcome adds a job that has ended as done.
func (d *Driver) noteOutcome(job *workflow.Job, queue *pb.Queue, now time.Time, nowMS int64) {
	begun, known := d.outcomes.begun[job.Spec.Id]
	delete(d.outcomes.begun, job.Spec.Id)
	if !known || queue == nil || job.State != pb.JobState_JOB_STATE_DONE {
		return
	}
	t := d.outcomes.tallies[queue.Name]
	if t == nil {
		t = new(tally)
		d.outcomes.tallies[queue.Name] = t
	}
	chain, _, _ := d.chain(job)
	took, within, work := nowMS-job.Spec.SubmittedUnixMs, objective(queue, chain), d.wholeWork(job)
	t.jobs++
	outcome := "late"
	switch {
	case took <= within:
		outcome = "in time"
		t.inTime++
		t.usefulCoreMS += work
	case took <= lateFactor*within:
		t.late++
		t.lateCoreMS += work
	default:
		outcome = "worthless"
		t.worthless++
		t.lateCoreMS += work
	}
	if begun.slackMS >= 0 {
		t.begunInTime++
		if took > within {
			t.missed++
		}
	}
	t.waitedMS += begun.waitedMS
	t.slackMS += begun.slackMS
	t.expectedMS += begun.chainMS
	t.chainMS += chain
	t.spentMS += now.Sub(begun.at).Milliseconds()
	gometrics.GetOrRegisterCounter("driver_work_core_ms;outcome="+outcome, gometrics.DefaultRegistry).Inc(work)
}

// wholeWork returns the processor time of a job's runs, in core milliseconds.
func (d *Driver) wholeWork(job *workflow.Job) int64 {
	work := int64(0)
	for k := range job.Tasks {
		for n, step := range job.Spec.Steps {
			work += d.workOf(job, k, n, float64(step.Tasks))
		}
	}
	return work / 1000
}

// reportOutcomes writes one line a queue and interval.
func (d *Driver) reportOutcomes(now time.Time) {
	if now.Sub(d.outcomes.reported) < outcomeInterval {
		return
	}
	d.outcomes.reported = now
	for queue, t := range d.outcomes.tallies {
		event.QueueOutcomes.Emit(event.F("queue", queue), event.F("jobs", t.jobs), event.F("in_time", t.inTime), event.F("late", t.late), event.F("worthless", t.worthless),
			event.F("begun_in_time", t.begunInTime), event.F("missed", t.missed),
			event.F("mean_waited_ms", t.waitedMS/t.jobs), event.F("mean_slack_ms", t.slackMS/t.jobs), event.F("mean_expected_ms", t.expectedMS/t.jobs),
			event.F("mean_chain_ms", t.chainMS/t.jobs), event.F("step_lag_ms", d.learned.stepLag()), event.F("mean_spent_ms", t.spentMS/t.jobs),
			event.F("in_time_core_ms", t.usefulCoreMS), event.F("late_core_ms", t.lateCoreMS))
	}
	clear(d.outcomes.tallies)
}

// pruneBegun forgets jobs that are not open any more.
func (d *Driver) pruneBegun(open map[string]*workflow.Job) {
	for id := range d.outcomes.begun {
		if open[id] == nil {
			delete(d.outcomes.begun, id)
		}
	}
}
