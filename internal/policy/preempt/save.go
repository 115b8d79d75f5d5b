package preempt

import "time"

// saveAhead is what a stop takes until the task's work is saved and listed: two
// listings and the longest time that targets take to stop a task.
const saveAhead = 1500 * time.Millisecond

// MustSave reports whether a run that saves its work when it stops has to stop now,
// since its target goes before the run would end. The load it answers: VMs with long
// tasks that leave or go into maintenance.
func MustSave(endsIn, targetGoesIn time.Duration) bool {
	return targetGoesIn <= saveAhead && endsIn > targetGoesIn
}
