package driver

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// outcomeInterval is how often the outcomes of a queue's jobs are logged.
const outcomeInterval = time.Second

// outcomes records by queue whether jobs end within their objective, and what was expected of
// them at their first start. It shows whether jobs are late because they wait, because their
// chains of steps take longer than expected, or because time passes between their steps. The
// driver's mutex guards it.
type outcomes struct {
	// firstStarts holds the open jobs that have started, by job.
	firstStarts map[string]firstStart
	tallies     map[string]*tally
	reportedAt  time.Time
}

// firstStart is what was known of a job at its first start.
type firstStart struct {
	at time.Time
	// waitedMS is the time since its acceptance, expectedMS the expected time to its end,
	// slackMS how much more than that its objective left.
	waitedMS, slackMS, expectedMS int64
}

// tally sums up the jobs of one queue that were done within an interval.
type tally struct {
	jobs, inTime, late, worthless int64
	// begunInTime counts jobs that had slack at their first start, missed those of them that
	// ended late all the same.
	begunInTime, missed int64
	// beyondRate counts jobs beyond the rate of their workspace.
	beyondRate int64
	// Sums over jobs: waits for the first start, slack and time to the end as expected then,
	// the longest chain as known at the end, and the time from the first start to the end.
	waitedMS, slackMS, expectedMS, chainMS, spentMS int64
	// CPU time of jobs in time and of all others.
	usefulCoreMS, lateCoreMS int64
}

func newOutcomes() *outcomes {
	return &outcomes{firstStarts: make(map[string]firstStart), tallies: make(map[string]*tally)}
}

// noteFirstStart records that the first task of a job has begun.
func (d *Driver) noteFirstStart(v *workflow.View, job *workflow.Job, now time.Time) {
	queue := v.QueueOf(job)
	if queue == nil || job.Spec.Occurrences > 0 || job.Spec.Steps[0].Lasting {
		return
	}
	times, nowMS := d.timesOf(job, queue), d.cfg.NowMS()
	d.outcomes.firstStarts[job.Spec.Id] = firstStart{
		at: now, waitedMS: nowMS - job.Spec.SubmittedUnixMs, slackMS: times.deadlineMS - times.remainingMS - nowMS, expectedMS: times.remainingMS,
	}
}

// noteOutcome adds an ended job to the outcomes of its queue if it is done.
func (d *Driver) noteOutcome(job *workflow.Job, queue *pb.Queue, now time.Time, nowMS int64) {
	first, known := d.outcomes.firstStarts[job.Spec.Id]
	delete(d.outcomes.firstStarts, job.Spec.Id)
	if !known || queue == nil || job.State != pb.JobState_JOB_STATE_DONE {
		return
	}
	t := d.outcomes.tallies[queue.Name]
	if t == nil {
		t = new(tally)
		d.outcomes.tallies[queue.Name] = t
	}
	chain, _, _ := d.chainTimes(job)
	took, allowed, work := nowMS-job.Spec.SubmittedUnixMs, objective(queue, chain), d.totalWork(job)
	t.jobs++
	outcome := "late"
	switch {
	case took <= allowed:
		outcome = "in time"
		t.inTime++
		t.usefulCoreMS += work
	case took <= worthlessFactor*allowed:
		t.late++
		t.lateCoreMS += work
	default:
		outcome = "worthless"
		t.worthless++
		t.lateCoreMS += work
	}
	if job.Spec.BeyondRate {
		t.beyondRate++
	}
	countDone(job.Spec.Workspace, job.Spec.BeyondRate, outcome)
	if first.slackMS >= 0 {
		t.begunInTime++
		if took > allowed {
			t.missed++
		}
	}
	t.waitedMS += first.waitedMS
	t.slackMS += first.slackMS
	t.expectedMS += first.expectedMS
	t.chainMS += chain
	t.spentMS += now.Sub(first.at).Milliseconds()
	gometrics.GetOrRegisterCounter("driver_work_core_ms;outcome="+outcome, gometrics.DefaultRegistry).Inc(work)
}

// totalWork returns the expected CPU time of a job's tasks, in core milliseconds.
func (d *Driver) totalWork(job *workflow.Job) int64 {
	work := int64(0)
	for k := range job.Tasks {
		for n, step := range job.Spec.Steps {
			work += d.workOf(job, k, n, float64(step.Tasks))
		}
	}
	return work / 1000
}

// reportOutcomes logs the outcomes of each queue once per interval.
func (d *Driver) reportOutcomes(now time.Time) {
	if now.Sub(d.outcomes.reportedAt) < outcomeInterval {
		return
	}
	d.outcomes.reportedAt = now
	for queue, t := range d.outcomes.tallies {
		event.QueueOutcomes.Emit(event.F("queue", queue), event.F("jobs", t.jobs), event.F("in_time", t.inTime), event.F("late", t.late), event.F("worthless", t.worthless),
			event.F("begun_in_time", t.begunInTime), event.F("missed", t.missed), event.F("beyond_rate", t.beyondRate),
			event.F("mean_waited_ms", t.waitedMS/t.jobs), event.F("mean_slack_ms", t.slackMS/t.jobs), event.F("mean_expected_ms", t.expectedMS/t.jobs),
			event.F("mean_chain_ms", t.chainMS/t.jobs), event.F("step_lag_ms", d.learned.stepLag()), event.F("mean_spent_ms", t.spentMS/t.jobs),
			event.F("in_time_core_ms", t.usefulCoreMS), event.F("late_core_ms", t.lateCoreMS))
	}
	clear(d.outcomes.tallies)
}

// pruneFirstStarts removes jobs that are no longer open.
func (d *Driver) pruneFirstStarts(open map[string]*workflow.Job) {
	for id := range d.outcomes.firstStarts {
		if open[id] == nil {
			delete(d.outcomes.firstStarts, id)
		}
	}
}
