package preempt

import "time"

// saveTime is the time from a stop until the task's work is saved and listed: two
// listings and the longest time that targets take to stop a task.
const saveTime = 1500 * time.Millisecond

// MustSave reports whether a run that saves its work when it is stopped has to stop now,
// since its target goes away before the run would end. It is made for VMs with long tasks
// that leave or go into maintenance.
func MustSave(endsIn, targetGoesIn time.Duration) bool {
	return targetGoesIn <= saveTime && endsIn > targetGoesIn
}
