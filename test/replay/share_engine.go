package replay

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"sapphirering/internal/policy/placement"
	"sapphirering/internal/policy/share"
)

const (
	shareStep = 100 * time.Millisecond
	// reportLag is when the planner learns of an end.
	reportLag = 250 * time.Millisecond
	// startDelay is what a committed start takes until the task runs.
	startDelay = 60 * time.Millisecond
	// checkpointTime is what a task takes to checkpoint and stop.
	checkpointTime = 250 * time.Millisecond
	// failTime is what a black-hole worker takes to fail a task.
	failTime    = 100 * time.Millisecond
	maxAttempts = 3
	// The bounds of one planning round, as in the leader's loop.
	roundStarts  = 32
	roundWaits   = 256
	roundPerTeam = 64
)

// SharePlanner plans one round; the engine tells it how attempts ended.
type SharePlanner interface {
	Plan(view *ShareView) placement.Plan
	Ended(job *ShareJob, worker string, ok bool, now time.Duration)
}

// ShareJob is one job of the trace.
type ShareJob struct {
	ID           string
	Team         *shareTeamState
	Class        share.Class
	Declared     share.Resources
	Millicores   uint64
	DeclaredMS   int64
	Submitted    time.Duration
	FirstStart   time.Duration
	started      bool
	left         time.Duration
	worker       *shareWorker
	startedAt    time.Duration
	stopAt       time.Duration
	failAt       time.Duration
	failedOn     []string
	neverRuns    bool
	cancelled    bool
	visibleUntil time.Duration
}

type shareTeamState struct {
	ShareTeam
	name    string
	pending float64
	queued  []*ShareJob
	running int
}

type shareWorker struct {
	placement.Worker
	blackHole bool
	jobs      []*ShareJob
	// ended still counts for the planner until its report arrives.
	ended []*ShareJob
}

// ShareView is what a planner sees.
type ShareView struct {
	Now     time.Duration
	Teams   []*shareTeamState
	Workers []*shareWorker
}

// ShareResult is the outcome of one replay.
type ShareResult struct {
	// Distance is the sum of |got-owed| over the sum of owed, over windows.
	Distance    float64
	UrgentP99MS float64
	Done        int
	Lost        int
	Never       int
	Preempted   int
	// PlanMean is the mean time of one planning round on this machine.
	PlanMean time.Duration
}

type shareEngine struct {
	trace   *ShareTrace
	planner SharePlanner
	random  *rand.Rand
	now     time.Duration
	teams   []*shareTeamState
	workers []*shareWorker
	byName  map[string]*shareWorker
	jobs    map[string]*ShareJob
	serial  int
	cancels []ShareCancel

	result   ShareResult
	urgent   []float64
	got      []float64
	owed     []float64
	distance float64
	total    float64
	planTime time.Duration
	rounds   int
}

// ReplayShare replays a trace through a planner in virtual time.
func ReplayShare(trace *ShareTrace, planner SharePlanner) ShareResult {
	e := newShareEngine(trace, planner)
	window := time.Duration(trace.WindowS) * time.Second
	for e.now < time.Duration(trace.DurationS)*time.Second {
		e.now += shareStep
		e.arrive()
		e.cancel()
		e.progress()
		e.plan()
		e.account()
		if e.now%window == 0 {
			e.closeWindow()
		}
	}
	return e.finish()
}

func newShareEngine(trace *ShareTrace, planner SharePlanner) *shareEngine {
	e := &shareEngine{
		trace: trace, planner: planner, random: rand.New(rand.NewSource(trace.Seed)),
		byName: make(map[string]*shareWorker), jobs: make(map[string]*ShareJob), cancels: slices.Clone(trace.Cancels),
	}
	for _, group := range trace.Teams {
		for i := range max(1, group.Count) {
			team := &shareTeamState{ShareTeam: group, name: group.Name}
			if group.Count > 1 {
				team.name = fmt.Sprintf("%s-%03d", group.Name, i)
				team.OffsetS += group.PeriodS * float64(i) / float64(group.Count)
			}
			e.teams = append(e.teams, team)
		}
	}
	for i := range trace.Workers.Count {
		e.addWorker(i)
	}
	e.got, e.owed = make([]float64, len(e.teams)), make([]float64, len(e.teams))
	return e
}

func (e *shareEngine) addWorker(i int) {
	spec := e.trace.Workers
	w := &shareWorker{blackHole: i < spec.BlackHoles, Worker: placement.Worker{
		Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/max(1, spec.PerRack)),
		Zone:     fmt.Sprintf("z%d", i%max(1, spec.Zones)),
		Capacity: share.Resources{Millicores: spec.Millicores, MemoryMB: spec.MemoryMB, Slots: spec.Slots},
	}}
	if i >= spec.Count-spec.AcceleratorWorkers {
		w.Capacity.Accelerators = spec.Accelerators
	}
	e.workers = append(e.workers, w)
	e.byName[w.Name] = w
}

// rate is the demand of a team now, in units.
func (t *shareTeamState) rate(now time.Duration) float64 {
	if t.BurstFactor <= 1 {
		return t.MeanUnits
	}
	at := now.Seconds() - t.OffsetS
	at -= t.PeriodS * float64(int(at/t.PeriodS))
	if at < 0 {
		at += t.PeriodS
	}
	if at < t.BurstS {
		return t.MeanUnits * t.BurstFactor
	}
	return t.MeanUnits / 20
}

func (e *shareEngine) arrive() {
	for _, t := range e.teams {
		meanMS := t.WorkMS*(1-t.UrgentPart) + t.UrgentMS*t.UrgentPart
		t.pending += t.rate(e.now) * float64(shareStep.Milliseconds()) / meanMS
		for ; t.pending >= 1; t.pending-- {
			e.submit(t)
		}
	}
}

func (e *shareEngine) submit(t *shareTeamState) {
	e.serial++
	work, class := t.WorkMS, share.Long
	if e.random.Float64() < t.UrgentPart {
		work, class = t.UrgentMS, share.Urgent
	}
	work *= 0.5 + e.random.Float64()
	job := &ShareJob{
		ID: fmt.Sprintf("j%07d", e.serial), Team: t, Class: class, Submitted: e.now,
		Millicores: uint64(t.Millicores), DeclaredMS: int64(work * t.DeclaredFactor),
		left:     time.Duration(work * float64(time.Millisecond)),
		Declared: share.Resources{Millicores: uint64(t.Millicores * t.DeclaredFactor), Slots: 1, Accelerators: t.Accelerators},
	}
	job.Declared.Millicores = min(job.Declared.Millicores, e.trace.Workers.Millicores)
	if e.random.Float64() < t.NeverPart {
		job.neverRuns = true
		job.Declared.Millicores = e.trace.Workers.Millicores * 2
	}
	e.jobs[job.ID] = job
	t.queued = append(t.queued, job)
}

func (e *shareEngine) cancel() {
	for len(e.cancels) > 0 && e.now.Seconds() >= e.cancels[0].AtS {
		wave := e.cancels[0]
		e.cancels = e.cancels[1:]
		for _, t := range e.teams {
			if t.name == wave.Team {
				e.cancelTeam(t, wave.Part)
			}
		}
	}
}

func (e *shareEngine) cancelTeam(t *shareTeamState, part float64) {
	t.queued = slices.DeleteFunc(t.queued, func(*ShareJob) bool { return e.random.Float64() < part })
	for _, w := range e.workers {
		for _, job := range w.jobs {
			if job.Team == t && e.random.Float64() < part {
				job.cancelled = true
				job.stopAt = e.now + checkpointTime
			}
		}
	}
}

// progress runs every job for one step. Workers that run more than they have
// slow all their jobs down.
func (e *shareEngine) progress() {
	for _, w := range e.workers {
		used := uint64(0)
		for _, job := range w.jobs {
			used += job.Millicores
		}
		speed := 1.0
		if used > w.Capacity.Millicores {
			speed = float64(w.Capacity.Millicores) / float64(used)
		}
		for _, job := range slices.Clone(w.jobs) {
			e.run(w, job, time.Duration(float64(shareStep)*speed))
		}
		w.ended = slices.DeleteFunc(w.ended, func(j *ShareJob) bool { return j.visibleUntil <= e.now })
	}
}

func (e *shareEngine) run(w *shareWorker, job *ShareJob, by time.Duration) {
	job.left -= by
	switch {
	case w.blackHole && e.now >= job.failAt:
		e.leave(w, job)
		e.planner.Ended(job, w.Name, false, e.now)
		job.failedOn = append(job.failedOn, w.Name)
		if len(job.failedOn) >= maxAttempts {
			e.result.Lost++
			return
		}
		job.Team.queued = append([]*ShareJob{job}, job.Team.queued...)
	case w.blackHole:
	case job.left <= 0:
		e.leave(w, job)
		e.planner.Ended(job, w.Name, true, e.now)
		e.result.Done++
	case job.stopAt > 0 && e.now >= job.stopAt:
		e.leave(w, job)
		job.stopAt = 0
		if !job.cancelled {
			job.Team.queued = append([]*ShareJob{job}, job.Team.queued...)
		}
	}
}

func (e *shareEngine) leave(w *shareWorker, job *ShareJob) {
	w.jobs = slices.DeleteFunc(w.jobs, func(j *ShareJob) bool { return j == job })
	ended := *job
	ended.visibleUntil = e.now + reportLag
	w.ended = append(w.ended, &ended)
	job.worker = nil
	job.Team.running--
}

func (e *shareEngine) plan() {
	began := time.Now()
	plan := e.planner.Plan(&ShareView{Now: e.now, Teams: e.teams, Workers: e.workers})
	e.planTime += time.Since(began)
	e.rounds++
	for _, never := range plan.Unplaceable {
		e.dequeue(e.jobs[never.Job])
		e.result.Never++
	}
	for _, start := range plan.Starts {
		e.start(e.jobs[start.Job], e.byName[start.Worker])
	}
	for _, victim := range plan.Preempt {
		if job := e.jobs[victim.Job]; job.worker != nil && job.stopAt == 0 {
			job.stopAt = e.now + checkpointTime
			e.result.Preempted++
		}
	}
}

func (e *shareEngine) dequeue(job *ShareJob) {
	job.Team.queued = slices.DeleteFunc(job.Team.queued, func(j *ShareJob) bool { return j == job })
}

func (e *shareEngine) start(job *ShareJob, w *shareWorker) {
	e.dequeue(job)
	job.worker, job.startedAt, job.failAt = w, e.now, e.now+failTime
	job.Team.running++
	w.jobs = append(w.jobs, job)
	if !job.started && !w.blackHole {
		job.started, job.FirstStart = true, e.now+startDelay
		if job.Class == share.Urgent {
			e.urgent = append(e.urgent, float64((job.FirstStart - job.Submitted).Milliseconds()))
		}
	}
}

// account adds what each team got and was owed in this step. What is owed is
// the weighted max-min of what the good workers really hold.
func (e *shareEngine) account() {
	claims := make([]share.Claim, len(e.teams))
	for i, t := range e.teams {
		claims[i] = share.Claim{Weight: t.Weight, Demand: uint32(t.running + t.runnableQueued()), Limit: t.UpperLimit}
		e.got[i] += float64(t.running)
	}
	for i, part := range share.MaxMin(e.capacity(), claims) {
		e.owed[i] += float64(part)
	}
}

func (t *shareTeamState) runnableQueued() int {
	n := 0
	for _, job := range t.queued {
		if !job.neverRuns {
			n++
		}
	}
	return n
}

// capacity is how many jobs the good workers really hold at full speed.
func (e *shareEngine) capacity() uint32 {
	good := uint32(0)
	for _, w := range e.workers {
		if !w.blackHole {
			good += uint32(w.Capacity.Slots)
		}
	}
	return good
}

func (e *shareEngine) closeWindow() {
	for i := range e.teams {
		e.distance += max(e.got[i]-e.owed[i], e.owed[i]-e.got[i])
		e.total += e.owed[i]
		e.got[i], e.owed[i] = 0, 0
	}
}

func (e *shareEngine) finish() ShareResult {
	r := e.result
	if e.total > 0 {
		r.Distance = e.distance / e.total
	}
	// Urgent work that never started counts with its age.
	for _, t := range e.teams {
		for _, job := range t.queued {
			if job.Class == share.Urgent && !job.started && !job.neverRuns {
				e.urgent = append(e.urgent, float64((e.now - job.Submitted).Milliseconds()))
			}
		}
	}
	slices.Sort(e.urgent)
	if n := len(e.urgent); n > 0 {
		r.UrgentP99MS = e.urgent[(n-1)*99/100]
	}
	r.PlanMean = e.planTime / time.Duration(max(1, e.rounds))
	return r
}
