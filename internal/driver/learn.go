package driver

import (
	"math"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/runtimes"
	"sapphirering/internal/policy/summary"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// slownessRate is the weight of the newest run in a target's slowness.
	slownessRate = 0.25
	// minRatio and maxRatio limit the ratio of one run's time to the expected one, so that a
	// single run has limited effect on its target's slowness.
	minRatio, maxRatio = 0.1, 10
	// meanWorkRate is the weight of the newest job in the mean work of its queue.
	meanWorkRate = 0.02
	// baseWorth is the part of a mean job's worth that every job has, maxRelativeWork the work
	// relative to a mean job beyond which worth stops growing. The users specify both.
	baseWorth, maxRelativeWork = 0.3, 4
	// reportRate is the weight of the newest run in the slowness that is reported: less than
	// slownessRate, so that a single long task causes no report.
	reportRate = 0.1
	// slowAt is the slowness from which on a target is reported as slow; below
	// normalBelow it is reported as normal again.
	slowAt, normalBelow = 2.0, 1.5
	// excludeAfter is the number of consecutive failed runs after which a target
	// gets no starts for excludeTime.
	excludeAfter = 3
	excludeTime  = 2 * time.Second
	// maxExcludeTime limits excludeTime, which doubles with each failed probe.
	maxExcludeTime = 8 * time.Second
)

// learner holds what was learned from jobs and runs, guarded by the driver's mutex.
type learner struct {
	// runTimes predicts run times, by queue.
	runTimes map[string]*runtimes.Model
	// steps holds the run times of the done tasks of open jobs, by the step's first task.
	steps map[workflow.TaskID]*runtimes.Step
	// startLag is the time from the plan of a start to the target's answer, endLag that
	// from the listing of an end to its commit.
	startLag, endLag runtimes.Lag
	// meanWork is the mean work of a queue's jobs, by their estimates.
	meanWork map[string]float64
	// lastFailedOn is the last target on which each task failed or stalled.
	lastFailedOn map[workflow.TaskID]string
	// finished holds what is known of the runs behind runTimes, by queue.
	finished map[string]*finishedRuns
	// change is how much was learned since the last summary.
	change float64
	// placeable holds open jobs that some target can run.
	placeable map[string]bool
}

func newLearner() *learner {
	return &learner{runTimes: make(map[string]*runtimes.Model), steps: make(map[workflow.TaskID]*runtimes.Step), meanWork: make(map[string]float64), lastFailedOn: make(map[workflow.TaskID]string), placeable: make(map[string]bool), finished: make(map[string]*finishedRuns)}
}

// finishedRuns counts the finished runs that were learned from in a queue.
type finishedRuns struct {
	count uint64
	// lastMS is the cluster time of the newest, weighedMS the time for which the model's weights hold.
	lastMS, weighedMS int64
}

// noteFinished counts a run that was learned from.
func (l *learner) noteFinished(queue string, nowMS int64) {
	runs := l.finished[queue]
	if runs == nil {
		runs = new(finishedRuns)
		l.finished[queue] = runs
	}
	runs.count++
	runs.lastMS, runs.weighedMS = nowMS, nowMS
	l.change += summary.Change(l.model(queue).Runs())
}

// estimatedWork returns the work of a job by its caller's estimates, in thousandths of a core
// times milliseconds.
func estimatedWork(job *pb.Job) float64 {
	work := 0.0
	for _, step := range job.Steps {
		work += float64(step.Tasks) * float64(workflow.RequiredCapacity(step).CPUMillis) * float64(step.EstimateMs)
	}
	return work
}

// queueKey identifies the queue of a job, whatever its name is now.
func queueKey(job *pb.Job) string {
	return workflow.QueueKey(job.Queue, job.QueueHost, job.QueuePath)
}

// noteJobWork adds an accepted job to the mean work of its queue's jobs.
func (l *learner) noteJobWork(job *pb.Job) {
	mean, known := l.meanWork[queueKey(job)]
	work := estimatedWork(job)
	if !known {
		mean = work
	}
	l.meanWork[queueKey(job)] = mean + meanWorkRate*(work-mean)
}

// worth returns the worth of a job relative to a mean job of its queue: a part that every job
// has, and the rest in proportion to its work.
func (l *learner) worth(job *workflow.Job) float64 {
	mean := l.meanWork[queueKey(job.Spec)]
	if mean <= 0 {
		return 1
	}
	return baseWorth + (1-baseWorth)*min(estimatedWork(job.Spec)/mean, maxRelativeWork)
}

// stepLag returns how long a step takes beyond its run time, in milliseconds.
func (l *learner) stepLag() int64 { return roundMS(l.startLag.Expected() + l.endLag.Expected()) }

// expected returns the learned run time of a task of a step, in milliseconds.
func (l *learner) expected(queue string, step *pb.Step) int64 {
	return roundMS(l.model(queue).Expected(float64(step.EstimateMs)))
}

// expectedOf returns the expected run time of a task in milliseconds, also by the done tasks
// of its step.
func (l *learner) expectedOf(task *workflow.Task) int64 {
	return l.expectedIn(task.Job, int(task.ID.Occurrence), int(task.ID.Step))
}

func (l *learner) expectedIn(job *workflow.Job, occurrence, step int) int64 {
	spec := job.Spec.Steps[step]
	return roundMS(l.model(queueKey(job.Spec)).ExpectedIn(float64(spec.EstimateMs), l.steps[stepID(job, occurrence, step)]))
}

// pessimisticQuantile is the quantile of run times at which a long run is no surprise.
const pessimisticQuantile = 0.9

// pessimisticOf returns the run time that a task does not exceed with probability pessimisticQuantile, in
// milliseconds.
func (l *learner) pessimisticOf(task *workflow.Task) int64 {
	return l.pessimisticIn(task.Job, int(task.ID.Occurrence), int(task.ID.Step))
}

func (l *learner) pessimisticIn(job *workflow.Job, occurrence, step int) int64 {
	return roundMS(l.model(queueKey(job.Spec)).QuantileIn(float64(job.Spec.Steps[step].EstimateMs), l.steps[stepID(job, occurrence, step)], pessimisticQuantile))
}

// longestOf returns how long a step is expected to take, in milliseconds.
func (l *learner) longestOf(job *workflow.Job, occurrence, step int) int64 {
	spec := job.Spec.Steps[step]
	return roundMS(l.model(queueKey(job.Spec)).Longest(float64(spec.EstimateMs), int(spec.Tasks), l.steps[stepID(job, occurrence, step)]))
}

// longestNew returns how long a step of a job that has not begun is expected to take, in milliseconds.
func (l *learner) longestNew(queue string, step *pb.Step) int64 {
	return roundMS(l.model(queue).Longest(float64(step.EstimateMs), int(step.Tasks), nil))
}

func roundMS(ms float64) int64 { return int64(math.Round(ms)) }

// stepID identifies a step by its first task.
func stepID(job *workflow.Job, occurrence, step int) workflow.TaskID {
	return workflow.TaskID{Job: job.Spec.Id, Occurrence: uint32(occurrence), Step: uint32(step)}
}

// noteStep records the run time of a task for the other tasks of its step.
func (l *learner) noteStep(task *workflow.Task, tookMS float64) {
	id := task.ID.FirstOfStep()
	step := l.steps[id]
	if step == nil {
		step = new(runtimes.Step)
		l.steps[id] = step
	}
	step.Note(tookMS)
}

// pruneSteps removes the steps of jobs that are no longer open.
func (l *learner) pruneSteps(open map[string]*workflow.Job) {
	for id := range l.steps {
		if open[id.Job] == nil {
			delete(l.steps, id)
		}
	}
}

func (l *learner) model(queue string) *runtimes.Model {
	m := l.runTimes[queue]
	if m == nil {
		m = new(runtimes.Model)
		l.runTimes[queue] = m
	}
	return m
}

func (l *learner) failedOn(task workflow.TaskID) string { return l.lastFailedOn[task] }

// health is what was learned about a target from its runs.
type health struct {
	startSlowness float64
	runs          int
	failures      int
	excludedUntil time.Time
	excludedFor   time.Duration
	// reportSlowness is the slowness used for reports, reportedSlow whether the target was
	// last reported as slow.
	reportSlowness float64
	reportedSlow   bool
	// lastMS is the cluster time of the last run that was learned from.
	lastMS int64
}

// slowness returns the ratio of the target's run times to the expected ones; 1 is normal.
func (h *health) slowness() float64 {
	if h.runs == 0 {
		return 1
	}
	return h.startSlowness
}

// slownessChanged returns true once when the target has become slow, and once when it is
// normal again.
func (h *health) slownessChanged() bool {
	if h.reportSlowness >= slowAt && !h.reportedSlow || h.reportSlowness < normalBelow && h.reportedSlow {
		h.reportedSlow = !h.reportedSlow
		return true
	}
	return false
}

// allowsStarts reports whether the target may get starts.
func (h *health) allowsStarts(now time.Time) bool { return !now.Before(h.excludedUntil) }

func (h *health) noteSuccess() {
	h.failures, h.excludedFor = 0, 0
}

// noteFailure excludes the target from starts after several consecutive failures; the first
// run afterwards is a probe, and its failure excludes the target for longer.
func (h *health) noteFailure(now time.Time) bool {
	h.failures++
	if h.failures < excludeAfter {
		return false
	}
	h.excludedFor = min(max(2*h.excludedFor, excludeTime), maxExcludeTime)
	h.excludedUntil = now.Add(h.excludedFor)
	return true
}

// learnEnd learns from the end of a run about its target and its step.
func (d *Driver) learnEnd(l *link, r *run, kind pb.EndKind) {
	now := d.cfg.Now()
	switch kind {
	case pb.EndKind_END_KIND_FAILED:
		d.learned.lastFailedOn[r.task] = r.target
		if l.health.noteFailure(now) {
			event.TargetExcluded.Emit(event.F("target", r.target), event.F("failures", l.health.failures), event.F("for", l.health.excludedFor.String()))
		}
	case pb.EndKind_END_KIND_DONE:
		l.health.noteSuccess()
		delete(d.learned.lastFailedOn, r.task)
		d.learnRunTime(l, r, now)
	case pb.EndKind_END_KIND_STOPPED, pb.EndKind_END_KIND_LAPSED, pb.EndKind_END_KIND_LOST:
		d.learnCutOff(r)
	}
}

func (d *Driver) learnRunTime(l *link, r *run, now time.Time) {
	if r.runningSince.IsZero() || r.coldFor > 0 || (r.adopted || r.attempt > 1) && !d.cfg.Learning.Quantiles {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		if !learnsFrom(task) {
			return
		}
		took := float64(now.Sub(r.runningSince).Milliseconds())
		ratio := min(max(took/float64(max(d.learned.expectedOf(task), 1)), minRatio), maxRatio)
		if !d.noteTime(l, r, task, took) {
			return
		}
		// A long run on a slow target is due to the target, not to its step.
		d.learned.noteStep(task, took/max(l.health.slowness(), 1))
		d.noteSlowness(l, ratio)
	})
}

// learnsFrom reports whether run times are learned from the runs of a task.
func learnsFrom(task *workflow.Task) bool {
	return task != nil && task.Spec().EstimateMs > 0 && !task.Spec().Lasting && task.Checkpoint == ""
}

// noteTime learns the time of a finished run, and reports whether it was known exactly.
func (d *Driver) noteTime(l *link, r *run, task *workflow.Task, tookMS float64) (exact bool) {
	queue, estimate := queueKey(task.Job.Spec), float64(task.Spec().EstimateMs)
	if !d.cfg.Learning.Quantiles {
		d.noteExactTime(queue, estimate, tookMS)
		return true
	}
	spec := task.Spec()
	switch {
	case r.adopted:
		// It may have run for long before this leader heard of it.
		d.learned.model(queue).NoteAtLeast(estimate, tookMS)
		return false
	case spec.Fills, l.health.slowness() >= slowAt, spec.DataRack != "" && spec.DataRack != rackOf(l.target):
		d.learned.model(queue).NoteAtMost(estimate, tookMS)
	default:
		d.noteExactTime(queue, estimate, tookMS)
	}
	return true
}

func (d *Driver) noteExactTime(queue string, estimateMS, tookMS float64) {
	d.learned.noteFinished(queue, d.cfg.NowMS())
	d.learned.model(queue).Note(estimateMS, tookMS)
}

// learnCutOff learns from a run that ended before its work was done. It has worked at least until its last progress.
// Gangs wait for their members, so their runs tell nothing.
func (d *Driver) learnCutOff(r *run) {
	if !d.cfg.Learning.Quantiles || r.runningSince.IsZero() || !r.progressAt.After(r.runningSince) {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		if !learnsFrom(task) || task.Spec().Gang || task.Spec().Fills {
			return
		}
		ran := float64(r.progressAt.Sub(r.runningSince).Milliseconds())
		if l := d.links[r.target]; l != nil {
			// On a slow target less of the work was done in that time.
			ran /= max(l.health.slowness(), 1)
		}
		d.learned.model(queueKey(task.Job.Spec)).NoteAtLeast(float64(task.Spec().EstimateMs), ran)
	})
}

// noteSlowness adds the ratio of a run's time to the expected one to the slowness of its target.
func (d *Driver) noteSlowness(l *link, ratio float64) {
	if l.health.runs == 0 {
		l.health.startSlowness, l.health.reportSlowness = 1, 1
	}
	l.health.runs++
	l.health.lastMS = d.cfg.NowMS()
	l.health.startSlowness += slownessRate * (ratio - l.health.startSlowness)
	l.health.reportSlowness += reportRate * (ratio - l.health.reportSlowness)
	if l.health.slownessChanged() {
		d.learned.change += summary.Change(0)
		event.TargetSlowness.Emit(event.F("target", l.target.Id), event.F("vm", l.target.Vm), event.F("slow", l.health.reportedSlow),
			event.F("slowness", l.health.reportSlowness), event.F("runs", l.health.runs))
	}
}
