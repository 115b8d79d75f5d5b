// Package assign decides which waiting task starts on which target. It is
// pure: the same snapshot gives the same plan. The load it answers: each queue
// in its turn asks for more than its pool holds for some seconds, then for
// almost nothing. Jobs that can still meet their objective come first, the
// most urgent of them first, as far as the pool has room for them (shed); jobs
// that are late already use what is left, so that one burst does not make all
// jobs behind it late. The tasks of a step go
// to one availability zone where there is room, so that a zone that is cut off
// holds up the jobs there and not a part of every job.
package assign

import (
	"cmp"
	"maps"
	"slices"

	"sapphirering/internal/workflow"
)

// Target is one target of the pool.
type Target struct {
	ID     string
	Zone   string
	Rack   string
	Labels []string
	// Free is the room that no task takes.
	Free workflow.Resources
	// Lasting counts lasting tasks there.
	Lasting int
	// Slowness is the learned run time there against that of its peers; 1 is normal.
	Slowness float64
}

// Step is the waiting part of one step of one occurrence.
type Step struct {
	// Tasks in the order in which they start.
	Tasks []workflow.TaskID
	// Room is what one task takes on a target, Needs what counts for the workspace.
	Room, Needs workflow.Resources
	Gang        bool
	SameRack    bool
	Label       string
	DataRack    string
	// MaxPerTarget bounds the tasks of the step on one target; 0 for no bound.
	MaxPerTarget int
	// OnTarget and OnRack count tasks of the step by target and by rack.
	OnTarget, OnRack map[string]int
	// Avoid holds targets where tasks of the step failed.
	Avoid map[string]bool
	// Allowed holds the targets that may run the step; nil for all.
	Allowed map[string]bool
	// FirstRunTarget is the target of the run that a copy runs beside: it never goes there too.
	FirstRunTarget string
	// Lasting tasks go where other lasting tasks are, so that the other VMs may move.
	Lasting bool
}

// Job is one job of the pool. Steps are those that may start; a job without any counts in
// what the pool has to do.
type Job struct {
	ID        string
	Workspace string
	// Priority 0 comes first.
	Priority uint32
	// RemainingMS is how long the longest chain of work left takes, as learned, with what
	// passes between its steps.
	RemainingMS int64
	// WorkMillisMS is the processor room times run time of all that is left; 0 if not known.
	WorkMillisMS int64
	// Worth weighs the job against others of its pool.
	Worth float64
	// DeadlineMS is when the objective ends, in Unix milliseconds.
	DeadlineMS int64
	// LateDeadlineMS is when even a late end has no worth.
	LateDeadlineMS int64
	SubmittedMS    int64
	// Lasting jobs go first: they earn for as long as they run.
	Lasting bool
	// Copy jobs hold second runs of tasks: they take what room is left by all others.
	Copy  bool
	Steps []Step
}

// Workspace is what a workspace may still start.
type Workspace struct {
	Used, Limit workflow.Resources
}

// Snapshot is what one round of one pool looks at.
type Snapshot struct {
	NowMS   int64
	Targets []Target
	// CapacityMillis is the processor room for jobs that end, now and soon, taken or not; 0
	// if it is not known.
	CapacityMillis int64
	Jobs           []Job
	Workspaces     map[string]*Workspace
}

// Start places one task.
type Start struct {
	Task   workflow.TaskID
	Target string
	// Copy tells that another run of the task goes on.
	Copy bool
}

// Wait tells why tasks of a job did not start.
type Wait struct {
	Job    string
	Step   workflow.TaskID
	Tasks  int
	Reason string
	// WaitingStep and On point into the snapshot: the step whose last tasks wait, and its job.
	WaitingStep *Step
	WaitingJob  *Job
}

// Plan returns the starts of one round, and why other tasks wait.
func Plan(s *Snapshot) ([]Start, []Wait) {
	p := newPlan(s)
	p.shed = shed(s, func(j *Job) bool { return p.class(j) == classInTime })
	slices.SortStableFunc(s.Jobs, p.compare)
	for i := range s.Jobs {
		p.placeJob(&s.Jobs[i])
	}
	return p.starts, p.waits
}

type plan struct {
	snapshot *Snapshot
	targets  []Target
	// open and all index targets: those that had processor room when the step began, and
	// every one. Most targets are full under load, and each task looks at all it may go to.
	open, all []int
	zones     map[string]string
	// shed holds jobs that do not fit beside the others that can be in time.
	shed   map[string]bool
	starts []Start
	waits  []Wait
}

func newPlan(s *Snapshot) *plan {
	p := &plan{snapshot: s, targets: s.Targets, zones: make(map[string]string, len(s.Targets))}
	for i := range s.Targets {
		p.all = append(p.all, i)
		p.zones[s.Targets[i].ID] = s.Targets[i].Zone
	}
	p.open = slices.Clone(p.all)
	return p
}

// closeFull drops targets without processor room; between steps only, since a gang may
// give back what it took.
func (p *plan) closeFull() {
	p.open = slices.DeleteFunc(p.open, func(at int) bool {
		free := p.targets[at].Free
		return free.CPUMillis <= 0 || free.MemoryMB <= 0
	})
}

// mayHold returns the targets that a task of the step may fit on.
func (p *plan) mayHold(step *Step) []int {
	if step.Room.CPUMillis > 0 {
		return p.open
	}
	return p.all
}

// Reasons of waits.
const (
	waitLimit = "its workspace is at its limit"
	WaitRoom  = "it fits on no target now"
	waitShed  = "the pool has no room to end it in time, others go first"
)

// Classes of jobs by what an early start still earns.
const (
	classLasting = iota
	classInTime
	classShed
	classLate
	classWorthless
	classCopy
)

func (p *plan) class(j *Job) int {
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

// compare orders jobs: by class, then by the latest time at which the rest
// must start to be in time.
func (p *plan) compare(a, b Job) int {
	ca, cb := p.class(&a), p.class(&b)
	if c := cmp.Compare(ca, cb); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if ca == classInTime || ca == classShed || ca == classLate {
		if c := cmp.Compare(a.latestStartMS(), b.latestStartMS()); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.SubmittedMS, b.SubmittedMS); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (p *plan) placeJob(j *Job) {
	for i := range j.Steps {
		step := &j.Steps[i]
		p.closeFull()
		if step.Gang {
			if !p.placeGang(j, step) {
				p.wait(j, step, 0, WaitRoom)
			}
			continue
		}
		p.placeTasks(j, step)
	}
}

func (p *plan) placeTasks(j *Job, step *Step) {
	if len(p.open) == 0 {
		p.wait(j, step, 0, WaitRoom)
		return
	}
	home := p.homeZone(step)
	for n, task := range step.Tasks {
		if !p.withinLimit(j.Workspace, step.Needs) {
			p.wait(j, step, n, waitLimit)
			return
		}
		at := p.bestTarget(step, "", home)
		if at < 0 {
			p.wait(j, step, n, WaitRoom)
			return
		}
		p.take(j, step, task, at)
	}
}

// wait notes that the tasks of a step from a place on wait. Copies do not: they are
// no work that is owed.
func (p *plan) wait(j *Job, step *Step, from int, reason string) {
	if j.Copy {
		return
	}
	if p.shed[j.ID] && reason == WaitRoom {
		reason = waitShed
	}
	p.waits = append(p.waits, Wait{Job: j.ID, Step: step.Tasks[from], Tasks: len(step.Tasks) - from, Reason: reason, WaitingStep: step, WaitingJob: j})
}

// placeGang places all tasks of a gang or none. Racks are tried first when the
// gang runs slower on more than one.
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
		at := -1
		if p.withinLimit(j.Workspace, step.Needs) {
			at = p.bestTarget(step, rack, "")
		}
		if at < 0 {
			for i := len(placed) - 1; i >= 0; i-- {
				p.undo(j, step, placed[i])
			}
			return false
		}
		p.take(j, step, task, at)
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

func (p *plan) withinLimit(workspace string, needs workflow.Resources) bool {
	w := p.snapshot.Workspaces[workspace]
	return w == nil || w.Used.Add(needs).WithinLimit(w.Limit)
}

func (p *plan) take(j *Job, step *Step, task workflow.TaskID, at int) {
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

func (p *plan) undo(j *Job, step *Step, at int) {
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
// one where most of it runs already, else the fullest one that takes all of its
// tasks, else the one that takes most. Lasting tasks have none.
func (p *plan) homeZone(step *Step) string {
	if step.Lasting {
		return ""
	}
	running, slots := make(map[string]int), make(map[string]int)
	for id, tasks := range step.OnTarget {
		if zone, known := p.zones[id]; known {
			running[zone] += tasks
			// A full zone may be the home all the same: the rest then goes where it fits best.
			slots[zone] += 0
		}
	}
	for _, i := range p.mayHold(step) {
		target := &p.targets[i]
		if step.MayRunOn(target) {
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

// BelowTargetLimit reports whether its spread lets one more task run on a target.
func (s *Step) BelowTargetLimit(target *Target) bool {
	return s.MaxPerTarget <= 0 || s.OnTarget[target.ID] < s.MaxPerTarget
}

// bestTarget returns the target that a task of the step goes to, or -1: on a
// rack alone when one is named, rather in the home zone than elsewhere.
func (p *plan) bestTarget(step *Step, rack, home string) int {
	best, bestScore := -1, 0.0
	for _, i := range p.mayHold(step) {
		target := &p.targets[i]
		if rack != "" && target.Rack != rack || !step.Room.FitsIn(target.Free) {
			continue
		}
		if !step.MayRunOn(target) || !step.BelowTargetLimit(target) {
			continue
		}
		if score := score(step, target, step.OnTarget[target.ID], home); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Weights of the score, in parts of a normal run time.
const (
	weightSlowness = 4.0
	// normalSlowness is what run times differ by on sound targets; below it
	// tasks are packed, so that other VMs become empty.
	normalSlowness = 1.3
	weightAvoid    = 8.0
	weightFarData  = 4.0
	weightSpread   = 2.0
	// weightRackSpread keeps lasting tasks of a step from being lost together.
	weightRackSpread = 0.5
	weightTogether   = 0.2
	// maxTogether bounds the pull of lasting tasks on each other.
	maxTogether = 4
	// weightOtherZone keeps a step in its home zone: more than any fit there.
	weightOtherZone = 0.5
	// weightFit prefers the fuller target, so that large tasks find room.
	weightFit = 0.3
)

// score tells how bad a target is for a task; the lowest wins.
func score(step *Step, target *Target, onTarget int, home string) float64 {
	s := weightSlowness * max(0, target.Slowness-normalSlowness)
	if step.Avoid[target.ID] {
		s += weightAvoid
	}
	if step.DataRack != "" && step.DataRack != target.Rack {
		s += weightFarData
	}
	if home != "" && target.Zone != home {
		s += weightOtherZone
	}
	if step.Lasting {
		return s + weightSpread*float64(onTarget) + weightRackSpread*float64(step.OnRack[target.Rack]) - weightTogether*float64(min(target.Lasting, maxTogether))
	}
	left := target.Free.CPUMillis - step.Room.CPUMillis
	return s + weightFit*float64(left)/float64(max(target.Free.CPUMillis, 1))
}
