// Package evacuation decides which long-running tasks leave an evacuated availability zone.
// It has no side effects. It is made for a zone that is ordered out of use while the others go on:
// dozens of long-running tasks run there, a few of each step, and each step may have only
// some of its tasks away. Short tasks run to their end; they need no decision.
package evacuation

import (
	"cmp"
	"slices"

	"sapphirering/internal/workflow"
)

// Task is a long-running task.
type Task struct {
	ID   workflow.TaskID
	Room workflow.Resources
	// Admits reports whether the task may run on the target with the index, besides its room.
	Admits func(target int) bool
}

// Step is what a long-running step bears.
type Step struct {
	// Budget is how many of its tasks may be away at once, Away how many are.
	Budget, Away int
	// MaxPerTarget limits its tasks on one target; 0 means no limit.
	MaxPerTarget int
	// OnTarget counts its tasks by target.
	OnTarget map[string]int
}

// Target is a target outside of the evacuated zones that accepts starts.
type Target struct {
	ID   string
	Free workflow.Resources
}

// Snapshot is the input of one round of one pool.
type Snapshot struct {
	Targets []Target
	// Steps holds the steps of all tasks, by their first task.
	Steps map[workflow.TaskID]*Step
	// Unplaced tasks wait for a start or are being stopped: they take room before others.
	Unplaced []Task
	// Leaving tasks run in an evacuated zone.
	Leaving []Task
}

// Plan returns the tasks to stop now, so that they start elsewhere: those for which there is room on
// other targets, and whose step has fewer tasks away than its budget. A step without a budget stays.
func Plan(s *Snapshot) []workflow.TaskID {
	free := slices.Clone(s.Targets)
	for i := range s.Unplaced {
		s.place(free, &s.Unplaced[i])
	}
	leaving := slices.Clone(s.Leaving)
	slices.SortFunc(leaving, func(a, b Task) int { return compareIDs(a.ID, b.ID) })
	var out []workflow.TaskID
	for i := range leaving {
		task := &leaving[i]
		step := s.Steps[task.ID.FirstOfStep()]
		if step.Away >= step.Budget || !s.place(free, task) {
			continue
		}
		step.Away++
		out = append(out, task.ID)
	}
	return out
}

// place takes the room of a task on the first target that has it, and reports whether there is one.
func (s *Snapshot) place(free []Target, task *Task) bool {
	step := s.Steps[task.ID.FirstOfStep()]
	for i := range free {
		target := &free[i]
		if !task.Room.FitsIn(target.Free) || !task.Admits(i) || step.MaxPerTarget > 0 && step.OnTarget[target.ID] >= step.MaxPerTarget {
			continue
		}
		target.Free = target.Free.Sub(task.Room)
		if step.OnTarget == nil {
			step.OnTarget = make(map[string]int)
		}
		step.OnTarget[target.ID]++
		return true
	}
	return false
}

func compareIDs(a, b workflow.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
