package driver

import (
	"iter"
	"maps"

	"sapphirering/internal/workflow"
)

// runTable holds the runs that the leader tracks, by id and by target, so that the cost of
// work on one target does not depend on the runs of others.
type runTable struct {
	byID     map[runID]*run
	byTarget map[string]map[runID]*run
}

func newRunTable() runTable {
	return runTable{byID: make(map[runID]*run), byTarget: make(map[string]map[runID]*run)}
}

func (t *runTable) add(r *run) {
	t.remove(r.id())
	t.byID[r.id()] = r
	on := t.byTarget[r.target]
	if on == nil {
		on = make(map[runID]*run)
		t.byTarget[r.target] = on
	}
	on[r.id()] = r
}

// find returns the run of a task with the given attempt number, or nil.
func (t *runTable) find(task workflow.TaskID, attempt uint32) *run {
	return t.byID[runID{task, attempt}]
}

func (t *runTable) remove(id runID) {
	r := t.byID[id]
	if r == nil {
		return
	}
	delete(t.byID, id)
	on := t.byTarget[r.target]
	delete(on, id)
	if len(on) == 0 {
		delete(t.byTarget, r.target)
	}
}

// all returns every run.
func (t *runTable) all() iter.Seq[*run] { return maps.Values(t.byID) }

// on returns the runs of a target, of whichever incarnation.
func (t *runTable) on(target string) iter.Seq[*run] { return maps.Values(t.byTarget[target]) }

// targets returns the number of targets that have runs.
func (t *runTable) targets() int { return len(t.byTarget) }

// count returns the number of runs of a target, of whichever incarnation.
func (t *runTable) count(target string) int { return len(t.byTarget[target]) }
