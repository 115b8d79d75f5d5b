package evacuation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
)

func cpu(millis int64) workflow.Resources { return workflow.Resources{CPUMillis: millis} }

func anyTarget(int) bool { return true }

// TestZoneIsEmptiedWithinBudgets replays the evacuation of one of three zones: 24 long-running steps of six tasks,
// two of them in each zone, and room elsewhere for all but a few. In no round may a step have more tasks away
// than its budget or a target more than its room, and the zone must be as empty as the room allows.
func TestZoneIsEmptiedWithinBudgets(t *testing.T) {
	const steps, targets, roundsAway = 24, 20, 3
	for _, test := range []struct {
		name         string
		budget, room int64
		stay         int
	}{
		{"room for all", 1, 3, 0},
		{"two at once", 2, 3, 0},
		{"room for 40", 1, 2, 8},
		{"no budget", 0, 3, 2 * steps},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			free := make([]Target, targets)
			for i := range free {
				free[i] = Target{ID: fmt.Sprint("t", i), Free: cpu(1000 * test.room)}
			}
			left := make(map[workflow.TaskID]bool)
			for n := range steps {
				for i := range 2 {
					left[workflow.TaskID{Job: fmt.Sprint("job", n), Index: uint32(i)}] = true
				}
			}
			// awayUntil holds the rounds in which stopped tasks are placed.
			awayUntil := make(map[workflow.TaskID]int)
			placed := 0
			for round := range 20 {
				s := &Snapshot{Targets: free, Steps: make(map[workflow.TaskID]*Step)}
				for n := range steps {
					s.Steps[workflow.TaskID{Job: fmt.Sprint("job", n)}] = &Step{Budget: int(test.budget)}
				}
				for id, until := range awayUntil {
					if until <= round {
						delete(awayUntil, id)
						free[placed%targets].Free = free[placed%targets].Free.Sub(cpu(1000))
						placed++
						continue
					}
					s.Steps[id.FirstOfStep()].Away++
					s.Unplaced = append(s.Unplaced, Task{ID: id, Room: cpu(1000), Admits: anyTarget})
				}
				for id := range left {
					s.Leaving = append(s.Leaving, Task{ID: id, Room: cpu(1000), Admits: anyTarget})
				}
				for _, id := range Plan(s) {
					delete(left, id)
					awayUntil[id] = round + roundsAway
				}
				for first, step := range s.Steps {
					is.True(step.Away <= int(test.budget)) // within the budget of the step
					_ = first
				}
				for i := range free {
					is.True(free[i].Free.CPUMillis >= 0) // no more tasks than there is room
				}
			}
			is.Equal(len(left), test.stay)
		})
	}
}

// TestRoomElsewhere checks that a task stays if no target outside may run it.
func TestRoomElsewhere(t *testing.T) {
	step := workflow.TaskID{Job: "j"}
	for _, test := range []struct {
		name   string
		change func(*Snapshot)
		moves  int
	}{
		{"room", func(*Snapshot) {}, 1},
		{"no target", func(s *Snapshot) { s.Targets = nil }, 0},
		{"too large", func(s *Snapshot) { s.Leaving[0].Room = cpu(2000) }, 0},
		{"not admitted", func(s *Snapshot) { s.Leaving[0].Admits = func(int) bool { return false } }, 0},
		{"one per target, one is there", func(s *Snapshot) {
			s.Steps[step].MaxPerTarget, s.Steps[step].OnTarget = 1, map[string]int{"t": 1}
		}, 0},
		{"another waits for the room", func(s *Snapshot) {
			s.Steps[workflow.TaskID{Job: "k"}] = &Step{}
			s.Unplaced = []Task{{ID: workflow.TaskID{Job: "k"}, Room: cpu(500), Admits: anyTarget}}
		}, 0},
		{"one is away", func(s *Snapshot) { s.Steps[step].Away = 1 }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Snapshot{
				Targets: []Target{{ID: "t", Free: cpu(1000)}}, Steps: map[workflow.TaskID]*Step{step: {Budget: 1}},
				Leaving: []Task{{ID: step, Room: cpu(1000), Admits: anyTarget}},
			}
			test.change(s)
			if moves := Plan(s); len(moves) != test.moves {
				t.Errorf("got %v, want %d", moves, test.moves)
			}
		})
	}
}
