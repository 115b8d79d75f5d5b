package driver

import (
	"maps"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// retention is how long the state of an ended job can be requested; the platform
	// requires two minutes.
	retention = 10 * time.Minute
	// pruneInterval is the time between prunes, maxPruned limits the jobs of one command.
	pruneInterval = 10 * time.Second
	maxPruned     = 500
)

// prune removes jobs that ended long ago, and what was remembered for jobs and calls
// that are over.
func (d *Driver) prune() {
	now := d.cfg.Now()
	if now.Sub(d.prunedAt) < pruneInterval {
		return
	}
	d.prunedAt = now
	d.mu.Lock()
	d.pruneLateStarts(now)
	maps.DeleteFunc(d.formerLapse, func(_ string, lapse time.Time) bool { return now.After(lapse) })
	d.pruneWaits(now)
	d.publishLearned()
	d.cfg.Machine.View(func(v *workflow.View) {
		d.learned.pruneSteps(v.OpenJobs())
		d.pruneFirstStarts(v.OpenJobs())
	})
	d.mu.Unlock()
	var old []string
	d.cfg.Machine.View(func(v *workflow.View) { old = v.JobsEndedBefore(d.cfg.NowMS()-retention.Milliseconds(), maxPruned) })
	if len(old) == 0 {
		return
	}
	if _, err := d.commit(&pb.Command{Body: &pb.Command_Prune{Prune: &pb.Prune{Jobs: old}}}); err != nil {
		event.EndsUncommitted.Emit(event.F("step", "prune"), event.F("jobs", len(old)), event.Err(err))
		return
	}
	event.StatePruned.Emit(event.F("jobs", len(old)))
}
