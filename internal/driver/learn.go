package driver

import (
	"math"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/runtimes"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// slownessRate is the weight of the newest run time of a target.
	slownessRate = 0.25
	// minRatio and maxRatio bound one run's part in what is learned of a target.
	minRatio, maxRatio = 0.1, 10
	// sizeRate is the weight of the newest job in the mean work of its queue.
	sizeRate = 0.02
	// worthOfAny is the part of a mean job's worth that any job has, maxSize the size in mean
	// jobs from which on a job is worth no more. The users state both.
	worthOfAny, maxSize = 0.3, 4
	// reportRate is the weight of the newest run time in what is reported of a
	// target: less than for places, so that one long task does not show.
	reportRate = 0.1
	// slowAt is the reported run time, against that of its peers, from which on a
	// target counts as slow; below soundBelow it is sound again.
	slowAt, soundBelow = 2.0, 1.5
	// excludeAfter is the number of failed runs in a row after which a target
	// gets no starts for a while.
	excludeAfter = 3
	excludeTime  = 2 * time.Second
	// maxExcludeTime bounds the time, which doubles with each failed probe.
	maxExcludeTime = 8 * time.Second
)

// learner holds learned run times. The driver's mutex guards it.
type learner struct {
	// runTimes predicts run times, by queue.
	runTimes map[string]*runtimes.Model
	// steps holds what runs of open jobs have told, by the first task of the step.
	steps map[workflow.TaskID]*runtimes.Step
	// startLag is the time from the plan of a start to the target's answer, endLag that
	// from the listing of an end to its commit.
	startLag, endLag runtimes.Lag
	// size is the mean work of a queue's jobs, by their estimates.
	size map[string]float64
	// failed is the last target that failed a task.
	failed map[workflow.TaskID]string
	// checked holds open jobs that some target can run.
	checked map[string]bool
}

func newLearner() *learner {
	return &learner{runTimes: make(map[string]*runtimes.Model), steps: make(map[workflow.TaskID]*runtimes.Step), size: make(map[string]float64), failed: make(map[workflow.TaskID]string), checked: make(map[string]bool)}
}

// estimatedWork is the work of a job by its caller's estimates, in thousandths of a core times
// milliseconds.
func estimatedWork(job *pb.Job) float64 {
	work := 0.0
	for _, step := range job.Steps {
		work += float64(step.Tasks) * float64(workflow.RequiredCapacity(step).CPUMillis) * float64(step.EstimateMs)
	}
	return work
}

// noteSize adds an accepted job to what the jobs of its queue ask for.
func (l *learner) noteSize(job *pb.Job) {
	mean, known := l.size[job.Queue]
	work := estimatedWork(job)
	if !known {
		mean = work
	}
	l.size[job.Queue] = mean + sizeRate*(work-mean)
}

// worth weighs a job against others of its queue: part of it is what any job is worth to its
// caller, the rest goes by the work that it asks for.
func (l *learner) worth(job *workflow.Job) float64 {
	mean := l.size[job.Spec.Queue]
	if mean <= 0 {
		return 1
	}
	return worthOfAny + (1-worthOfAny)*min(estimatedWork(job.Spec)/mean, maxSize)
}

// stepLag is what a step takes beyond its run times, in milliseconds.
func (l *learner) stepLag() int64 { return wholeMS(l.startLag.Expected() + l.endLag.Expected()) }

// expected returns the learned run time of a task of a step, in milliseconds.
func (l *learner) expected(queue string, step *pb.Step) int64 {
	return wholeMS(l.model(queue).Expected(float64(step.EstimateMs)))
}

// expectedOf returns the run time to expect of a task, by those of its step that are done.
func (l *learner) expectedOf(task *workflow.Task) int64 {
	return l.expectedIn(task.Job, int(task.ID.Occurrence), int(task.ID.Step))
}

func (l *learner) expectedIn(job *workflow.Job, occurrence, step int) int64 {
	spec := job.Spec.Steps[step]
	return wholeMS(l.model(job.Spec.Queue).ExpectedIn(float64(spec.EstimateMs), l.steps[stepID(job, occurrence, step)]))
}

// longestOf returns how long a step is expected to take from its start.
func (l *learner) longestOf(job *workflow.Job, occurrence, step int) int64 {
	spec := job.Spec.Steps[step]
	return wholeMS(l.model(job.Spec.Queue).Longest(float64(spec.EstimateMs), int(spec.Tasks), l.steps[stepID(job, occurrence, step)]))
}

func wholeMS(ms float64) int64 { return int64(math.Round(ms)) }

// stepID names a step by its first task.
func stepID(job *workflow.Job, occurrence, step int) workflow.TaskID {
	return workflow.TaskID{Job: job.Spec.Id, Occurrence: uint32(occurrence), Step: uint32(step)}
}

// noteStep remembers a run for the other tasks of its step.
func (l *learner) noteStep(task *workflow.Task, tookMS float64) {
	id := task.ID.FirstOfStep()
	step := l.steps[id]
	if step == nil {
		step = new(runtimes.Step)
		l.steps[id] = step
	}
	step.Note(tookMS)
}

// pruneSteps forgets the steps of jobs that are not open any more.
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

func (l *learner) failedOn(task workflow.TaskID) string { return l.failed[task] }

// health is what a target's runs tell about it.
type health struct {
	slow      float64
	runs      int
	failures  int
	until     time.Time
	excludeBy time.Duration
	// steady is the reported run time; reported tells that it was told as slow.
	steady   float64
	reported bool
}

// slowness returns the learned run time against the expected one; 1 is normal.
func (h *health) slowness() float64 {
	if h.runs == 0 {
		return 1
	}
	return h.slow
}

// crossed reports once when the target has become slow, and once when it is
// sound again.
func (h *health) crossed() bool {
	if h.steady >= slowAt && !h.reported || h.steady < soundBelow && h.reported {
		h.reported = !h.reported
		return true
	}
	return false
}

// admits reports whether the target may get starts.
func (h *health) admits(now time.Time) bool { return !now.Before(h.until) }

func (h *health) noteGood() {
	h.failures, h.excludeBy = 0, 0
}

// noteFailure excludes the target after several failures in a row; the first
// start afterwards is a probe, and its failure excludes the target for longer.
func (h *health) noteFailure(now time.Time) bool {
	h.failures++
	if h.failures < excludeAfter {
		return false
	}
	h.excludeBy = min(max(2*h.excludeBy, excludeTime), maxExcludeTime)
	h.until = now.Add(h.excludeBy)
	return true
}

// learnEnd learns from the end of a run.
func (d *Driver) learnEnd(l *link, r *run, kind pb.EndKind) {
	now := d.cfg.Now()
	switch kind {
	case pb.EndKind_END_KIND_FAILED:
		d.learned.failed[r.task] = r.target
		if l.health.noteFailure(now) {
			event.TargetExcluded.Emit(event.F("target", r.target), event.F("failures", l.health.failures), event.F("for", l.health.excludeBy.String()))
		}
	case pb.EndKind_END_KIND_DONE:
		l.health.noteGood()
		delete(d.learned.failed, r.task)
		d.learnTime(l, r, now)
	}
}

func (d *Driver) learnTime(l *link, r *run, now time.Time) {
	if r.working.IsZero() || r.adopted || r.attempt > 1 {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		if task == nil || task.Spec().EstimateMs <= 0 || task.Spec().Lasting || task.Checkpoint != "" {
			return
		}
		model, estimate, took := d.learned.model(task.Job.Spec.Queue), float64(task.Spec().EstimateMs), float64(now.Sub(r.working).Milliseconds())
		against := min(max(took/float64(max(d.learned.expectedOf(task), 1)), minRatio), maxRatio)
		model.Note(estimate, took)
		// On a slow target a task tells of the target, not of its step.
		d.learned.noteStep(task, took/max(l.health.slowness(), 1))
		if l.health.runs == 0 {
			l.health.slow, l.health.steady = 1, 1
		}
		l.health.runs++
		l.health.slow += slownessRate * (against - l.health.slow)
		l.health.steady += reportRate * (against - l.health.steady)
		if l.health.crossed() {
			event.TargetSlowness.Emit(event.F("target", l.target.Id), event.F("vm", l.target.Vm), event.F("slow", l.health.reported),
				event.F("slowness", l.health.steady), event.F("runs", l.health.runs))
		}
	})
}
