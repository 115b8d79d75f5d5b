// Package preempt decides which running tasks stop so that a waiting one starts.
// It works on its arguments alone. It is made for the loss of a target in a pool full
// of long tasks: the target's lasting tasks, which serve users every second, and urgent
// tasks that can still be in time would otherwise wait for as long as the others run.
package preempt

import (
	"cmp"
	"slices"

	"sapphirering/internal/workflow"
)

const (
	// lastingWaitMS is how long a lasting task waits for room that becomes free by
	// itself. Including the stop and the start it then works well within the six
	// seconds after which callers rely on it.
	lastingWaitMS = 2000
	// endsSoonMS is the time to its end within which a run is not worth stopping: the stop
	// and what follows take about as long.
	endsSoonMS = 500
	// maxVictims is the largest number of runs stopped in one round.
	maxVictims = 16
	// MaxWaiting is the largest number of waiting tasks in one round, since each is compared
	// with every run of its pool; later rounds handle the others.
	MaxWaiting = 16
)

// Run is a task that runs on a target.
type Run struct {
	ID workflow.TaskID
	// Room is the room that becomes free when the run stops.
	Room workflow.Resources
	// Priority 0 is the highest.
	Priority uint32
	// NonPreemptible runs never stop for others: lasting ones, members of gangs, and those
	// that are not known to run.
	NonPreemptible bool
	// Stopping means that the run is being stopped and its room is about to become free.
	Stopping bool
	// EndsInMS is the expected time until the run ends, UnsavedMS the run time that is
	// lost if it is stopped.
	EndsInMS, UnsavedMS int64
}

// loss returns the processor time that is lost if the run is stopped, in thousandths of a
// core times milliseconds.
func (r *Run) loss() int64 { return r.UnsavedMS * r.Room.CPUMillis }

// Target is a target that may get starts.
type Target struct {
	ID   string
	Free workflow.Resources
	Runs []Run
}

// Waiting is a task that fits on no target now.
type Waiting struct {
	Task     workflow.TaskID
	Room     workflow.Resources
	Priority uint32
	Lasting  bool
	// WaitsMS is how long it has waited for room.
	WaitsMS int64
	// SlackMS is how much longer it may wait without making its job late, RunMS how long
	// its job still takes once the task starts.
	SlackMS, RunMS int64
	// Admits reports whether it may run on a target at all, by the target's index in the
	// round.
	Admits func(target int) bool
}

// Victim is a run to stop.
type Victim struct {
	Run    workflow.TaskID
	Target string
	// For is the task that needs the room.
	For workflow.TaskID
	// LossMillisMS is the processor time that is lost, in thousandths of a core times
	// milliseconds.
	LossMillisMS int64
}

// Plan returns the runs to stop. It changes targets: it subtracts the room that it assigns,
// sorts their runs and marks the victims as stopping.
func Plan(waiting []Waiting, targets []Target) []Victim {
	for i := range targets {
		slices.SortStableFunc(targets[i].Runs, func(a, b Run) int { return cmp.Compare(a.loss(), b.loss()) })
	}
	var out []Victim
	for i := range waiting[:min(len(waiting), MaxWaiting)] {
		w := &waiting[i]
		if !w.due() {
			continue
		}
		at, victims := w.cheapest(targets)
		if at < 0 || len(out)+len(victims) > maxVictims {
			continue
		}
		out = append(out, w.reserve(&targets[at], victims)...)
	}
	return out
}

// due reports whether runs may be stopped for the task now.
func (w *Waiting) due() bool {
	if w.Lasting {
		return w.WaitsMS >= lastingWaitMS
	}
	return w.SlackMS >= 0
}

// MayStop reports whether a run could be stopped for the task if lowest is the priority
// number of the least urgent runs. Callers use it to avoid describing all runs.
func (w *Waiting) MayStop(lowest uint32) bool {
	return w.due() && (w.Lasting || w.Priority < lowest)
}

// cheapest returns the index of the target with the least loss, and the indexes of the runs
// to stop there: none if enough room is free or about to become free there. The index is -1
// if nothing should stop.
func (w *Waiting) cheapest(targets []Target) (at int, victims []int) {
	at = -1
	least := int64(0)
	for i := range targets {
		t := &targets[i]
		if !w.Admits(i) {
			continue
		}
		found, loss, ok := w.victims(t)
		if ok && (at < 0 || loss < least) {
			at, victims, least = i, found, loss
		}
	}
	if !w.Lasting && least >= w.RunMS*w.Room.CPUMillis {
		// At least as much work is lost as the task has to do.
		return -1, nil
	}
	return at, victims
}

// victims returns the indexes of the runs to stop on a target, those with least loss first.
func (w *Waiting) victims(t *Target) (victims []int, loss int64, ok bool) {
	free := t.Free
	for i := range t.Runs {
		if w.freesSoon(&t.Runs[i]) {
			free = free.Add(t.Runs[i].Room)
		}
	}
	for i := range t.Runs {
		r := &t.Runs[i]
		if w.Room.FitsIn(free) {
			break
		}
		if !r.NonPreemptible && !w.freesSoon(r) && (w.Lasting || r.Priority > w.Priority) {
			free = free.Add(r.Room)
			loss += r.loss()
			victims = append(victims, i)
		}
	}
	return victims, loss, w.Room.FitsIn(free)
}

// freesSoon reports whether the room of a run becomes free soon enough without a stop.
func (w *Waiting) freesSoon(r *Run) bool {
	return r.Stopping || !r.NonPreemptible && r.EndsInMS <= w.maxWaitMS()
}

// maxWaitMS returns how long the task waits for runs that end by themselves.
func (w *Waiting) maxWaitMS() int64 {
	if w.Lasting {
		return endsSoonMS
	}
	return max(w.SlackMS, endsSoonMS)
}

// reserve assigns the room on a target to the task and returns the victims.
func (w *Waiting) reserve(t *Target, victims []int) []Victim {
	var out []Victim
	for _, i := range victims {
		r := &t.Runs[i]
		out = append(out, Victim{Run: r.ID, Target: t.ID, For: w.Task, LossMillisMS: r.loss()})
		r.Stopping = true
	}
	t.Free = t.Free.Sub(w.Room)
	return out
}
