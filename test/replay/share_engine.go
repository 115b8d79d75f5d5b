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
	// reportLag is the time after which the planner learns of an end.
	reportLag = 250 * time.Millisecond
	// startDelay is the time from a committed start until the task runs.
	startDelay = 60 * time.Millisecond
	// checkpointTime is the time that a task takes to write a checkpoint and stop.
	checkpointTime = 250 * time.Millisecond
	// failTime is the time after which a black-hole worker fails a task.
	failTime    = 100 * time.Millisecond
	maxAttempts = 3
	// The limits of one planning round, as in the leader's loop.
	roundStarts  = 32
	roundWaits   = 256
	roundPerTeam = 64
)

// SharePlanner plans one round. The engine reports the end of each attempt to it.
type SharePlanner interface {
	Plan(view *ShareView) placement.Plan
	Ended(job *ShareJob, worker string, ok bool, now time.Duration)
}

// ShareJob is one job of a replay.
type ShareJob struct {
	ID         string
	Team       *shareTeamState
	Class      share.Class
	Declared   share.Resources
	Millicores uint64
	DeclaredMS int64
	Submitted  time.Duration
	FirstStart time.Duration
	started    bool
	remaining  time.Duration
	worker     *shareWorker
	startedAt  time.Duration
	stopAt     time.Duration
	failAt     time.Duration
	failedOn   []string
	neverRuns  bool
	cancelled  bool
	reportedAt time.Duration
}

type shareTeamState struct {
	ShareTeam
	name        string
	pendingJobs float64
	queued      []*ShareJob
	running     int
}

type shareWorker struct {
	placement.Worker
	blackHole bool
	jobs      []*ShareJob
	// unreported holds copies of ended jobs. The planner counts them until their report arrives.
	unreported []*ShareJob
}

// ShareView is what a planner sees.
type ShareView struct {
	Now     time.Duration
	Teams   []*shareTeamState
	Workers []*shareWorker
}

// ShareResult is the outcome of one replay.
type ShareResult struct {
	// Distance is the sum of |received-fairShare| over the sum of fairShare, each summed over teams and windows.
	Distance    float64
	UrgentP99MS float64
	Done        int
	Lost        int
	Unplaceable int
	Preempted   int
	// PlanMean is the mean run time of one planning round on this machine.
	PlanMean time.Duration
}

type shareEngine struct {
	trace         *ShareTrace
	planner       SharePlanner
	random        *rand.Rand
	now           time.Duration
	teams         []*shareTeamState
	workers       []*shareWorker
	workersByName map[string]*shareWorker
	jobs          map[string]*ShareJob
	lastJobNumber int
	cancels       []ShareCancel

	result        ShareResult
	urgentWaitsMS []float64
	received      []float64
	fairShare     []float64
	distanceSum   float64
	fairShareSum  float64
	planTime      time.Duration
	rounds        int
}

// ReplayShare replays a trace through a planner in virtual time.
func ReplayShare(trace *ShareTrace, planner SharePlanner) ShareResult {
	e := newShareEngine(trace, planner)
	window := time.Duration(trace.WindowS) * time.Second
	for e.now < time.Duration(trace.DurationS)*time.Second {
		e.now += shareStep
		e.submitArrivals()
		e.cancelDue()
		e.runWorkers()
		e.planRound()
		e.addStepShares()
		if e.now%window == 0 {
			e.closeWindow()
		}
	}
	return e.finish()
}

func newShareEngine(trace *ShareTrace, planner SharePlanner) *shareEngine {
	e := &shareEngine{
		trace: trace, planner: planner, random: rand.New(rand.NewSource(trace.Seed)),
		workersByName: make(map[string]*shareWorker), jobs: make(map[string]*ShareJob), cancels: slices.Clone(trace.Cancels),
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
	e.received, e.fairShare = make([]float64, len(e.teams)), make([]float64, len(e.teams))
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
	e.workersByName[w.Name] = w
}

// rate returns the demand of a team now, in units.
func (t *shareTeamState) rate(now time.Duration) float64 {
	if t.BurstFactor <= 1 {
		return t.MeanUnits
	}
	inCycle := now.Seconds() - t.OffsetS
	inCycle -= t.PeriodS * float64(int(inCycle/t.PeriodS))
	if inCycle < 0 {
		inCycle += t.PeriodS
	}
	if inCycle < t.BurstS {
		return t.MeanUnits * t.BurstFactor
	}
	return t.MeanUnits / 20
}

func (e *shareEngine) submitArrivals() {
	for _, t := range e.teams {
		meanMS := t.WorkMS*(1-t.UrgentPart) + t.UrgentMS*t.UrgentPart
		t.pendingJobs += t.rate(e.now) * float64(shareStep.Milliseconds()) / meanMS
		for ; t.pendingJobs >= 1; t.pendingJobs-- {
			e.submit(t)
		}
	}
}

func (e *shareEngine) submit(t *shareTeamState) {
	e.lastJobNumber++
	work, class := t.WorkMS, share.Long
	if e.random.Float64() < t.UrgentPart {
		work, class = t.UrgentMS, share.Urgent
	}
	work *= 0.5 + e.random.Float64()
	job := &ShareJob{
		ID: fmt.Sprintf("j%07d", e.lastJobNumber), Team: t, Class: class, Submitted: e.now,
		Millicores: uint64(t.Millicores), DeclaredMS: int64(work * t.DeclaredFactor),
		remaining: time.Duration(work * float64(time.Millisecond)),
		Declared:  share.Resources{Millicores: uint64(t.Millicores * t.DeclaredFactor), Slots: 1, Accelerators: t.Accelerators},
	}
	job.Declared.Millicores = min(job.Declared.Millicores, e.trace.Workers.Millicores)
	if e.random.Float64() < t.NeverPart {
		job.neverRuns = true
		job.Declared.Millicores = e.trace.Workers.Millicores * 2
	}
	e.jobs[job.ID] = job
	t.queued = append(t.queued, job)
}

func (e *shareEngine) cancelDue() {
	for len(e.cancels) > 0 && e.now.Seconds() >= e.cancels[0].AtS {
		due := e.cancels[0]
		e.cancels = e.cancels[1:]
		for _, t := range e.teams {
			if t.name == due.Team {
				e.cancelTeam(t, due.Part)
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

// runWorkers runs every job for one step. A worker whose jobs use more millicores
// than it has runs all of them more slowly.
func (e *shareEngine) runWorkers() {
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
			e.runJob(w, job, time.Duration(float64(shareStep)*speed))
		}
		w.unreported = slices.DeleteFunc(w.unreported, func(j *ShareJob) bool { return j.reportedAt <= e.now })
	}
}

func (e *shareEngine) runJob(w *shareWorker, job *ShareJob, by time.Duration) {
	job.remaining -= by
	switch {
	case w.blackHole && e.now >= job.failAt:
		e.endAttempt(w, job)
		e.planner.Ended(job, w.Name, false, e.now)
		job.failedOn = append(job.failedOn, w.Name)
		if len(job.failedOn) >= maxAttempts {
			e.result.Lost++
			return
		}
		job.Team.queued = append([]*ShareJob{job}, job.Team.queued...)
	case w.blackHole:
	case job.remaining <= 0:
		e.endAttempt(w, job)
		e.planner.Ended(job, w.Name, true, e.now)
		e.result.Done++
	case job.stopAt > 0 && e.now >= job.stopAt:
		e.endAttempt(w, job)
		job.stopAt = 0
		if !job.cancelled {
			job.Team.queued = append([]*ShareJob{job}, job.Team.queued...)
		}
	}
}

func (e *shareEngine) endAttempt(w *shareWorker, job *ShareJob) {
	w.jobs = slices.DeleteFunc(w.jobs, func(j *ShareJob) bool { return j == job })
	ended := *job
	ended.reportedAt = e.now + reportLag
	w.unreported = append(w.unreported, &ended)
	job.worker = nil
	job.Team.running--
}

func (e *shareEngine) planRound() {
	began := time.Now()
	plan := e.planner.Plan(&ShareView{Now: e.now, Teams: e.teams, Workers: e.workers})
	e.planTime += time.Since(began)
	e.rounds++
	for _, unplaceable := range plan.Unplaceable {
		e.dequeue(e.jobs[unplaceable.Job])
		e.result.Unplaceable++
	}
	for _, start := range plan.Starts {
		e.start(e.jobs[start.Job], e.workersByName[start.Worker])
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
			e.urgentWaitsMS = append(e.urgentWaitsMS, float64((job.FirstStart - job.Submitted).Milliseconds()))
		}
	}
}

// addStepShares adds the units that each team received in this step, and its fair
// share: the weighted max-min share of the slots of workers that are not black holes.
func (e *shareEngine) addStepShares() {
	claims := make([]share.Claim, len(e.teams))
	for i, t := range e.teams {
		claims[i] = share.Claim{Weight: t.Weight, Demand: uint32(t.running + t.runnableQueued()), Limit: t.UpperLimit}
		e.received[i] += float64(t.running)
	}
	for i, part := range share.MaxMin(e.capacity(), claims) {
		e.fairShare[i] += float64(part)
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

// capacity returns how many jobs the workers that are not black holes have slots for.
func (e *shareEngine) capacity() uint32 {
	slots := uint32(0)
	for _, w := range e.workers {
		if !w.blackHole {
			slots += uint32(w.Capacity.Slots)
		}
	}
	return slots
}

func (e *shareEngine) closeWindow() {
	for i := range e.teams {
		e.distanceSum += max(e.received[i]-e.fairShare[i], e.fairShare[i]-e.received[i])
		e.fairShareSum += e.fairShare[i]
		e.received[i], e.fairShare[i] = 0, 0
	}
}

func (e *shareEngine) finish() ShareResult {
	r := e.result
	if e.fairShareSum > 0 {
		r.Distance = e.distanceSum / e.fairShareSum
	}
	// Urgent jobs that never started count with their age.
	for _, t := range e.teams {
		for _, job := range t.queued {
			if job.Class == share.Urgent && !job.started && !job.neverRuns {
				e.urgentWaitsMS = append(e.urgentWaitsMS, float64((e.now - job.Submitted).Milliseconds()))
			}
		}
	}
	slices.Sort(e.urgentWaitsMS)
	if n := len(e.urgentWaitsMS); n > 0 {
		r.UrgentP99MS = e.urgentWaitsMS[(n-1)*99/100]
	}
	r.PlanMean = e.planTime / time.Duration(max(1, e.rounds))
	return r
}
