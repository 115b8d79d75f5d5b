package driver

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/metrics"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// countStart counts the answer to a start call.
func countStart(r Refusal) {
	gometrics.GetOrRegisterCounter("driver_starts;answer="+r.String(), gometrics.DefaultRegistry).Inc(1)
}

// countAccepted counts an accepted job of a workspace.
func countAccepted(workspace string, beyondRate bool) {
	gometrics.GetOrRegisterCounter(metrics.Name("driver_jobs_accepted", metrics.L("workspace", workspace), rateLabel(beyondRate)), gometrics.DefaultRegistry).Inc(1)
}

// countDone counts a job of a workspace that is done, by its outcome.
func countDone(workspace string, beyondRate bool, outcome string) {
	gometrics.GetOrRegisterCounter(metrics.Name("driver_jobs_done", metrics.L("workspace", workspace), rateLabel(beyondRate), metrics.L("outcome", outcome)), gometrics.DefaultRegistry).Inc(1)
}

func rateLabel(beyondRate bool) metrics.Label {
	if beyondRate {
		return metrics.L("rate", "beyond")
	}
	return metrics.L("rate", "within")
}

// countRefusedLate counts a job of a workspace that was refused since it would end too late.
func countRefusedLate(workspace string) {
	gometrics.GetOrRegisterCounter(metrics.Name("driver_jobs_refused_late", metrics.L("workspace", workspace)), gometrics.DefaultRegistry).Inc(1)
}

// countMisdirected counts a listing call that another incarnation answered than the one it was meant for.
func countMisdirected(call RenewCall, listing Listing) {
	carried := "nothing"
	switch {
	case listing.SeenEnd > 0:
		carried = "confirmation"
	case call.LeaseUntilMS > 0:
		carried = "lease"
	}
	gometrics.GetOrRegisterCounter("driver_misdirected;carried="+carried, gometrics.DefaultRegistry).Inc(1)
}

// countEndMissing counts a run whose target has forgotten its end.
func countEndMissing() {
	gometrics.GetOrRegisterCounter("driver_ends_missing", gometrics.DefaultRegistry).Inc(1)
}

// countHeldEnd counts an end that is not confirmed yet, since a start of its task may still take effect.
func countHeldEnd() {
	gometrics.GetOrRegisterCounter("driver_ends_held", gometrics.DefaultRegistry).Inc(1)
}

// countLeftZone counts a long-running task that is stopped because its zone is evacuated.
func countLeftZone() {
	gometrics.GetOrRegisterCounter("driver_zone_moves", gometrics.DefaultRegistry).Inc(1)
}

// observeCall adds the time of a call to a target. Listings are not observed: the
// target delays them on purpose.
func observeCall(call string, began, now time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "silent"
	}
	metrics.Observe(metrics.Name("driver_target_call_us", metrics.L("call", call), metrics.L("outcome", outcome)), now.Sub(began))
}

// observeCommit adds the time of a commit.
func observeCommit(began, now time.Time, err error) {
	outcome := "committed"
	if err != nil {
		outcome = "failed"
	}
	metrics.Observe(metrics.Name("driver_commit_us", metrics.L("outcome", outcome)), now.Sub(began))
}

// observeEnds adds the times from acceptance to end of the jobs that ended with
// the ends just committed.
func (d *Driver) observeEnds(ends []pendingEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, nowMS := d.cfg.Now(), d.cfg.NowMS()
	seen := make(map[string]bool)
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, e := range ends {
			id := e.end.Task.GetJob()
			job := v.Job(id)
			if seen[id] || job == nil || !workflow.Ended(job.State) {
				continue
			}
			seen[id] = true
			d.noteOutcome(job, v.QueueOf(job), now, nowMS)
			outcome := "done"
			if job.State != pb.JobState_JOB_STATE_DONE {
				outcome = "not done"
			}
			metrics.Observe(metrics.Name("driver_job_us", metrics.L("outcome", outcome)),
				time.Duration(nowMS-job.Spec.SubmittedUnixMs)*time.Millisecond)
		}
	})
}
