// Package preempt decides which running tasks stop so that a waiting one starts.
// It is pure. The load it answers: a pool is full of long tasks when a target is
// lost. Its lasting tasks, which serve users every second, and urgent ones that can
// still be in time would wait for as long as the others run.
package preempt

import (
	"cmp"
	"slices"

	"sapphirering/internal/workflow"
)

const (
	// patienceMS is how long a lasting task waits for room that becomes free by
	// itself. With the stop and the start it is at work well within six seconds,
	// after which callers count on it.
	patienceMS = 2000
	// soonMS is when a run that ends by itself is not worth stopping: a stop and what
	// follows take about as long.
	soonMS = 500
	// maxVictims bounds the runs stopped in one round.
	maxVictims = 16
	// MaxWaiting bounds the tasks that one round looks at, each against every run of its
	// pool; the others have their turn once these have room.
	MaxWaiting = 16
)

// Run is a task that runs on a target.
type Run struct {
	ID workflow.TaskID
	// Room is what becomes free when it stops.
	Room workflow.Resources
	// Priority 0 comes first.
	Priority uint32
	// NonPreemptible runs never stop for others: lasting ones, members of gangs, and those
	// whose fate is not known.
	NonPreemptible bool
	// Stopping runs are about to make room.
	Stopping bool
	// EndsInMS is when it is expected to end, UnsavedMS the run time that a stop
	// throws away.
	EndsInMS, UnsavedMS int64
}

// loss is the processor time that a stop throws away.
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
	// SlackMS is how much longer it may wait without making its job late, RunMS what its
	// job still takes from its start on.
	SlackMS, RunMS int64
	// Admits reports whether it may run on a target at all, by the target's place among
	// those of the round.
	Admits func(target int) bool
}

// Victim is a run to stop.
type Victim struct {
	Run    workflow.TaskID
	Target string
	// For is the task that needs the room.
	For workflow.TaskID
	// LossMillisMS is the processor time thrown away, in thousandths of a core times
	// milliseconds.
	LossMillisMS int64
}

// Plan returns the runs to stop. It takes the room it gives away out of the targets and
// sorts their runs.
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
		out = append(out, w.take(&targets[at], victims)...)
	}
	return out
}

// due reports whether anything should stop for the task by now.
func (w *Waiting) due() bool {
	if w.Lasting {
		return w.WaitsMS >= patienceMS
	}
	return w.SlackMS >= 0
}

// MayStop reports whether the task could make a run stop, where the runs of lowest
// priority have the given one. It spares a look at all runs.
func (w *Waiting) MayStop(lowest uint32) bool {
	return w.due() && (w.Lasting || w.Priority < lowest)
}

// cheapest returns the target where least is thrown away, and the indexes of the runs to
// stop there; none if room is about to become free there. The index is -1 if nothing
// should stop.
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
		// More is thrown away than the task has to do.
		return -1, nil
	}
	return at, victims
}

// victims returns the runs to stop on a target, those first that lose least.
func (w *Waiting) victims(t *Target) (victims []int, loss int64, ok bool) {
	free := t.Free
	for i := range t.Runs {
		if w.comesFree(&t.Runs[i]) {
			free = free.Add(t.Runs[i].Room)
		}
	}
	for i := range t.Runs {
		r := &t.Runs[i]
		if w.Room.FitsIn(free) {
			break
		}
		if !r.NonPreemptible && !w.comesFree(r) && (w.Lasting || r.Priority > w.Priority) {
			free = free.Add(r.Room)
			loss += r.loss()
			victims = append(victims, i)
		}
	}
	return victims, loss, w.Room.FitsIn(free)
}

// comesFree reports whether the room of a run is about to become free by itself.
func (w *Waiting) comesFree(r *Run) bool {
	return r.Stopping || !r.NonPreemptible && r.EndsInMS <= w.bears()
}

// bears returns how long the task goes on waiting for runs that end by themselves.
func (w *Waiting) bears() int64 {
	if w.Lasting {
		return soonMS
	}
	return max(w.SlackMS, soonMS)
}

// take gives the room on a target to the task.
func (w *Waiting) take(t *Target, victims []int) []Victim {
	var out []Victim
	for _, i := range victims {
		r := &t.Runs[i]
		out = append(out, Victim{Run: r.ID, Target: t.ID, For: w.Task, LossMillisMS: r.loss()})
		r.Stopping = true
	}
	t.Free = t.Free.Sub(w.Room)
	return out
}
