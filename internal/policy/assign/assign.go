// Package assign decides which waiting task starts on which target. It is a pure
// function of its snapshot. It is made for bursts: each queue needs more than
// its pool holds for some seconds, one queue after the other, and almost nothing
// in between. Jobs that can still meet their objective come first, the most
// urgent of them first, as far as the pool has room for them (see shed); jobs
// that are already late use what is left, so that one burst does not make all
// later jobs late. Jobs beyond the rate of their workspace get what those within
// it leave, but come before late ones if they can still be in time themselves.
// The tasks of a step are placed in one availability zone if there is room, so
// that a zone that becomes unreachable delays only the jobs there and not a part
// of every job.
package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sapphirering/internal/policy/warmup"
	"sapphirering/internal/workflow"
)

// Target is one target of the pool.
type Target struct {
	ID     string
	Zone   string
	Rack   string
	Labels []string
	// Free is the room that no task occupies.
	Free workflow.Resources
	// Lasting is the number of lasting tasks there: those that serve until they are stopped.
	Lasting int
	// Slowness is the learned ratio of run times there to those of its peers; 1 is normal.
	Slowness float64
	// ColdFor is how much longer the target is slow because it was idle; 0 if it is not.
	ColdFor time.Duration
}

// Step holds the waiting tasks of one step in one occurrence of its job.
type Step struct {
	// Tasks are in the order in which they start.
	Tasks []workflow.TaskID
	// Room is what one task occupies on a target, Needs what it adds to the use of its
	// workspace.
	Room, Needs workflow.Resources
	Gang        bool
	SameRack    bool
	Label       string
	DataRack    string
	// MaxPerTarget limits the tasks of the step on one target; 0 means no limit.
	MaxPerTarget int
	// OnTarget and OnRack count tasks of the step by target and by rack.
	OnTarget, OnRack map[string]int
	// Avoid holds targets where tasks of the step failed; others are preferred.
	Avoid map[string]bool
	// Allowed holds the targets that may run the step; nil means all.
	Allowed map[string]bool
	// FirstRunTarget is the target of the task's first run if the step holds a copy: the
	// copy never goes there.
	FirstRunTarget string
	// Lasting tasks are placed near other lasting tasks, so that the other VMs stay free
	// to move between pools.
	Lasting bool
}

// Job is one job of the pool. Steps are those that may start; the work of a job without any
// still counts as work of the pool.
type Job struct {
	ID        string
	Workspace string
	// Priority 0 is the highest.
	Priority uint32
	// RemainingMS is the expected time of the longest chain of steps that are left, with
	// the lags between steps.
	RemainingMS int64
	// WorkMillisMS is the processor time of all work that is left, in thousandths of a core
	// times milliseconds; 0 if it is not known.
	WorkMillisMS int64
	// Worth is the value of the job relative to others of its pool.
	Worth float64
	// DeadlineMS is when the objective ends, in Unix milliseconds.
	DeadlineMS int64
	// LateDeadlineMS is the Unix time in milliseconds after which even a late end has no
	// value.
	LateDeadlineMS int64
	SubmittedMS    int64
	// BeyondRate means that the workspace had submitted more jobs than its rate when it
	// submitted this one.
	BeyondRate bool
	// Lasting jobs come first: they have value for as long as they run.
	Lasting bool
	// Copy means that the job holds second runs of tasks, which get the room that all
	// other jobs leave.
	Copy  bool
	Steps []Step
	// Shed is set by Plan: the pool has no room to end the job in time beside the others.
	Shed bool
}

// Workspace is the resource use of a workspace and its limit.
type Workspace struct {
	Used, Limit workflow.Resources
}

// Snapshot is the input of one planning round of one pool.
type Snapshot struct {
	NowMS   int64
	Targets []Target
	// CapacityMillis is the processor room for jobs that are not lasting, free or in use,
	// with that of VMs on their way; 0 if it is not known.
	CapacityMillis int64
	Jobs           []Job
	Workspaces     map[string]*Workspace
}

// Start places one task.
type Start struct {
	Task   workflow.TaskID
	Target string
	// Copy means that another run of the task continues.
	Copy bool
}

// Wait holds the reason why tasks of a job did not start.
type Wait struct {
	Job    string
	Step   workflow.TaskID
	Tasks  int
	Reason string
	// WaitingStep and WaitingJob point into the snapshot, to the step whose last tasks wait
	// and to its job.
	WaitingStep *Step
	WaitingJob  *Job
	cold        coldLimit
}

// MakesLate reports whether the job waits rather than start on a target with room, since the target is cold.
func (w *Wait) MakesLate(target *Target) bool { return w.cold.makesLate(target) }

// Plan returns the starts of one round, and why other tasks wait.
func Plan(s *Snapshot) ([]Start, []Wait) {
	p := newPlan(s)
	p.shed = shed(s, func(j *Job) bool { return p.classWithinRate(j) == classInTime })
	p.sortJobs()
	for i := range s.Jobs {
		s.Jobs[i].Shed = p.shed[s.Jobs[i].ID] && !s.Jobs[i].Copy
	}
	for i := range s.Jobs {
		p.placeJob(&s.Jobs[i])
	}
	return p.starts, p.waits
}

type plan struct {
	snapshot *Snapshot
	targets  []Target
	// withRoom and all are indexes of targets: those that had processor and memory room
	// before the step, and all. Full targets are left out since under load most are full
	// and every task tries each of its candidates.
	withRoom, all []int
	zones         map[string]string
	// anyCold is set if a target is cold.
	anyCold bool
	// cold is for the step that is being placed.
	cold coldLimit
	// shed holds jobs that the pool has no room to end in time beside the others.
	shed   map[string]bool
	starts []Start
	waits  []Wait
}

func newPlan(s *Snapshot) *plan {
	p := &plan{snapshot: s, targets: s.Targets, zones: make(map[string]string, len(s.Targets))}
	for i := range s.Targets {
		p.all = append(p.all, i)
		p.zones[s.Targets[i].ID] = s.Targets[i].Zone
		p.anyCold = p.anyCold || s.Targets[i].ColdFor > 0
	}
	p.withRoom = slices.Clone(p.all)
	return p
}

// dropFullTargets drops targets without processor or memory room from withRoom. It is called
// between steps only, since a gang that is not placed whole gives back its room.
func (p *plan) dropFullTargets() {
	p.withRoom = slices.DeleteFunc(p.withRoom, func(at int) bool {
		free := p.targets[at].Free
		return free.CPUMillis <= 0 || free.MemoryMB <= 0
	})
}

// candidates returns the indexes of the targets that a task of the step may fit on.
func (p *plan) candidates(step *Step) []int {
	if step.Room.CPUMillis > 0 {
		return p.withRoom
	}
	return p.all
}

// Reasons why tasks wait.
const (
	waitLimit = "its workspace is at its limit"
	WaitRoom  = "it fits on no target now"
	waitShed  = "the pool has no room to end it in time, others go first"
	// WaitRate is the reason for jobs beyond the rate; no run is stopped for them.
	WaitRate = "it is beyond the rate of its workspace, jobs within their rates go first"
)

// Classes of jobs by the value of an early start, in the order in which they are placed.
const (
	classLasting = iota
	classInTime
	classShed
	classBeyondRateInTime
	classBeyondRateShed
	classLate
	classWorthless
	classBeyondRateLate
	classBeyondRateWorthless
	classCopy
	classBeyondRateCopy
)

// beyondRate holds the class of jobs beyond the rate of their workspace, by the class that they
// have within it.
var beyondRate = map[int]int{
	classLasting: classLasting, classInTime: classBeyondRateInTime, classShed: classBeyondRateShed,
	classLate: classBeyondRateLate, classWorthless: classBeyondRateWorthless, classCopy: classBeyondRateCopy,
}

func (p *plan) class(j *Job) int {
	if j.BeyondRate {
		return beyondRate[p.classWithinRate(j)]
	}
	return p.classWithinRate(j)
}

// classWithinRate returns the class of a job if it were within the rate of its workspace.
func (p *plan) classWithinRate(j *Job) int {
	end := p.snapshot.NowMS + j.RemainingMS
	switch {
	case j.Copy:
		return classCopy
	case j.Lasting:
		return classLasting
	case end <= j.DeadlineMS && p.shed[j.ID]:
		return classShed
	case end <= j.DeadlineMS:
		return classInTime
	case end <= j.LateDeadlineMS:
		return classLate
	}
	return classWorthless
}

// rankedJob is a job with its class, which does not change while jobs are sorted.
type rankedJob struct {
	job   *Job
	class int
}

// sortJobs sorts the jobs of the snapshot. Pointers are sorted, since a backlog of a thousand jobs is sorted
// in each round and jobs are large.
func (p *plan) sortJobs() {
	ranked := make([]rankedJob, len(p.snapshot.Jobs))
	for i := range p.snapshot.Jobs {
		ranked[i] = rankedJob{&p.snapshot.Jobs[i], p.class(&p.snapshot.Jobs[i])}
	}
	slices.SortStableFunc(ranked, compareRanked)
	sorted := make([]Job, len(ranked))
	for i := range ranked {
		sorted[i] = *ranked[i].job
	}
	p.snapshot.Jobs = sorted
}

// compareRanked orders jobs by class, then priority, then latest start in time, then
// submission.
func compareRanked(ra, rb rankedJob) int {
	a, b := ra.job, rb.job
	if c := cmp.Compare(ra.class, rb.class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if hasLatestStart(ra.class) {
		if c := cmp.Compare(a.latestStartMS(), b.latestStartMS()); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.SubmittedMS, b.SubmittedMS); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// hasLatestStart reports whether the jobs of a class are ordered by their latest start in time.
func hasLatestStart(class int) bool {
	switch class {
	case classInTime, classShed, classLate, classBeyondRateInTime, classBeyondRateShed, classBeyondRateLate:
		return true
	}
	return false
}

func (p *plan) placeJob(j *Job) {
	p.cold = coldLimit{slackMS: math.MaxInt64, remainingMS: j.RemainingMS}
	if class := p.class(j); class == classInTime || class == classShed {
		p.cold.slackMS = j.DeadlineMS - p.snapshot.NowMS - j.RemainingMS
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		p.dropFullTargets()
		p.cold.warm = p.anyCold && slices.ContainsFunc(p.targets, func(t Target) bool { return t.ColdFor == 0 && step.MayRunOn(&t) })
		if step.Gang {
			switch {
			case !p.withinLimit(j.Workspace, step.Needs, len(step.Tasks)):
				p.addWait(j, step, 0, waitLimit)
			case !p.placeGang(j, step):
				p.addWait(j, step, 0, WaitRoom)
			}
			continue
		}
		p.placeTasks(j, step)
	}
}

func (p *plan) placeTasks(j *Job, step *Step) {
	if len(p.withRoom) == 0 {
		p.addWait(j, step, 0, WaitRoom)
		return
	}
	home := p.homeZone(step)
	for n, task := range step.Tasks {
		if !p.withinLimit(j.Workspace, step.Needs, 1) {
			p.addWait(j, step, n, waitLimit)
			return
		}
		at := p.bestTarget(step, "", home)
		if at < 0 {
			p.addWait(j, step, n, WaitRoom)
			return
		}
		p.place(j, step, task, at)
	}
}

// addWait records that the tasks of a step wait from index from on. Waiting copies are not
// recorded: they are optional.
func (p *plan) addWait(j *Job, step *Step, from int, reason string) {
	if j.Copy {
		return
	}
	switch {
	case reason != WaitRoom:
	case j.BeyondRate && !j.Lasting:
		reason = WaitRate
	case p.shed[j.ID]:
		reason = waitShed
	}
	p.waits = append(p.waits, Wait{Job: j.ID, Step: step.Tasks[from], Tasks: len(step.Tasks) - from, Reason: reason, WaitingStep: step, WaitingJob: j, cold: p.cold})
}

// placeGang places all tasks of a gang or none. Single racks are tried first if
// the gang runs slower on several.
func (p *plan) placeGang(j *Job, step *Step) bool {
	if step.SameRack {
		for _, rack := range p.racks() {
			if p.tryGang(j, step, rack) {
				return true
			}
		}
	}
	return p.tryGang(j, step, "")
}

func (p *plan) tryGang(j *Job, step *Step, rack string) bool {
	var placed []int
	for _, task := range step.Tasks {
		at := p.bestTarget(step, rack, "")
		if at < 0 {
			for i := len(placed) - 1; i >= 0; i-- {
				p.undoPlace(j, step, placed[i])
			}
			return false
		}
		p.place(j, step, task, at)
		placed = append(placed, at)
	}
	return true
}

func (p *plan) racks() []string {
	var racks []string
	for i := range p.targets {
		if !slices.Contains(racks, p.targets[i].Rack) {
			racks = append(racks, p.targets[i].Rack)
		}
	}
	return racks
}

// withinLimit reports whether a workspace may start a number of tasks together.
func (p *plan) withinLimit(workspace string, needs workflow.Resources, count int) bool {
	w := p.snapshot.Workspaces[workspace]
	return w == nil || workflow.LimitAllows(w.Limit, w.Used, needs, count)
}

func (p *plan) place(j *Job, step *Step, task workflow.TaskID, at int) {
	target := &p.targets[at]
	target.Free = target.Free.Sub(step.Room)
	if step.Lasting {
		target.Lasting++
	}
	if step.OnTarget == nil {
		step.OnTarget = make(map[string]int)
	}
	step.OnTarget[target.ID]++
	if step.OnRack == nil {
		step.OnRack = make(map[string]int)
	}
	step.OnRack[target.Rack]++
	if w := p.snapshot.Workspaces[j.Workspace]; w != nil {
		w.Used = w.Used.Add(step.Needs)
	}
	p.starts = append(p.starts, Start{Task: task, Target: target.ID, Copy: j.Copy})
}

func (p *plan) undoPlace(j *Job, step *Step, at int) {
	target := &p.targets[at]
	target.Free = target.Free.Add(step.Room)
	step.OnTarget[target.ID]--
	step.OnRack[target.Rack]--
	if w := p.snapshot.Workspaces[j.Workspace]; w != nil {
		w.Used = w.Used.Sub(step.Needs)
	}
	p.starts = p.starts[:len(p.starts)-1]
}

// homeZone returns the availability zone that the step's tasks should share: the
// one where most of them run already, else the zone with least room that fits all
// of its tasks, else the one that fits most. Lasting tasks have no home zone.
func (p *plan) homeZone(step *Step) string {
	if step.Lasting {
		return ""
	}
	running, slots := make(map[string]int), make(map[string]int)
	for id, tasks := range step.OnTarget {
		if zone, known := p.zones[id]; known {
			running[zone] += tasks
			// A full zone can be the home zone too: the other tasks then go where they fit best.
			slots[zone] += 0
		}
	}
	for _, i := range p.candidates(step) {
		target := &p.targets[i]
		if step.MayRunOn(target) && target.ColdFor == 0 {
			slots[target.Zone] += target.Free.Slots(step.Room)
		}
	}
	best := ""
	better := func(zone string) bool {
		if a, b := running[zone], running[best]; a != b {
			return a > b
		}
		a, b := slots[zone], slots[best]
		if need := len(step.Tasks); a >= need && b >= need {
			return a < b
		}
		return a > b
	}
	for _, zone := range slices.Sorted(maps.Keys(slots)) {
		if best == "" || better(zone) {
			best = zone
		}
	}
	return best
}

// MayRunOn reports whether the step may run on a target at all.
func (s *Step) MayRunOn(target *Target) bool {
	if s.Allowed != nil && !s.Allowed[target.ID] || s.FirstRunTarget == target.ID {
		return false
	}
	return s.Label == "" || slices.Contains(target.Labels, s.Label)
}

// BelowTargetLimit reports whether MaxPerTarget lets one more task run on a target.
func (s *Step) BelowTargetLimit(target *Target) bool {
	return s.MaxPerTarget <= 0 || s.OnTarget[target.ID] < s.MaxPerTarget
}

// bestTarget returns the index of the target for a task of the step, or -1. Only
// targets of rack count if it is not empty; those in the home zone are preferred.
func (p *plan) bestTarget(step *Step, rack, home string) int {
	best, bestScore := -1, 0.0
	for _, i := range p.candidates(step) {
		target := &p.targets[i]
		if rack != "" && target.Rack != rack || !step.Room.FitsIn(target.Free) {
			continue
		}
		if !step.MayRunOn(target) || !step.BelowTargetLimit(target) || p.cold.makesLate(target) {
			continue
		}
		if score := score(step, target, step.OnTarget[target.ID], home); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// coldLimit decides which cold targets a step may start on.
type coldLimit struct {
	// slackMS is what the job may lose without being late, if it can still be in time.
	slackMS int64
	// remainingMS is the expected time of what is left of the job.
	remainingMS int64
	// warm is set if a target that is not cold may run the step.
	warm bool
}

// makesLate reports whether the job would be late because the target is cold. It waits
// for a warm one, if there is any: once it is late anyway, cold ones count too.
func (c coldLimit) makesLate(target *Target) bool {
	return target.ColdFor > 0 && c.warm && warmup.Delay(time.Duration(c.remainingMS)*time.Millisecond, target.ColdFor).Milliseconds() > c.slackMS
}

// slowness returns the ratio of the run times on the target to those of its peers.
func (t *Target) slowness() float64 {
	if t.ColdFor > 0 {
		return max(t.Slowness, warmup.Slowness)
	}
	return t.Slowness
}

// Weights of the score, in units of a normal run time.
const (
	weightSlowness = 4.0
	// normalSlowness is the variation of run times on healthy targets: up to it
	// slowness does not count and tasks are packed, so that other VMs become empty.
	normalSlowness     = 1.3
	weightAvoid        = 8.0
	weightRemoteData   = 4.0
	weightTargetSpread = 2.0
	// weightRackSpread spreads the lasting tasks of a step, so that a rack failure
	// takes few of them.
	weightRackSpread      = 0.5
	weightLastingTogether = 0.2
	// maxLastingTogether is the number of lasting tasks on a target from which on
	// more of them do not make it better.
	maxLastingTogether = 4
	// weightOtherZone keeps a step in its home zone: it exceeds weightFit.
	weightOtherZone = 0.5
	// weightFit prefers fuller targets, so that large tasks find room on the others.
	weightFit = 0.3
)

// score returns the cost of placing a task on a target; the lowest is best.
func score(step *Step, target *Target, onTarget int, home string) float64 {
	s := weightSlowness * max(0, target.slowness()-normalSlowness)
	if step.Avoid[target.ID] {
		s += weightAvoid
	}
	if step.DataRack != "" && step.DataRack != target.Rack {
		s += weightRemoteData
	}
	if home != "" && target.Zone != home {
		s += weightOtherZone
	}
	if step.Lasting {
		return s + weightTargetSpread*float64(onTarget) + weightRackSpread*float64(step.OnRack[target.Rack]) - weightLastingTogether*float64(min(target.Lasting, maxLastingTogether))
	}
	left := target.Free.CPUMillis - step.Room.CPUMillis
	return s + weightFit*float64(left)/float64(max(target.Free.CPUMillis, 1))
}
