package state

import (
	"fmt"

	"sapphirering/internal/state/statepb"
)

const (
	// MaxQueuesPerTeam is the maximum number of queues in one document.
	MaxQueuesPerTeam = 64
	// MaxBudgetsPerTeam is the maximum number of budgets in one document.
	MaxBudgetsPerTeam = 128
	// MaxAdmittedTeams is the maximum number of admitted teams of one queue.
	MaxAdmittedTeams = 512
	// MaxShareWeight keeps sums of weights far from overflow.
	MaxShareWeight = 1_000_000
	// MaxQueuedPerQueue limits the memory of one queue on one entry VM.
	MaxQueuedPerQueue = 100_000
)

// FieldViolation describes one field of a document that breaks a rule.
type FieldViolation struct {
	// Field is a path such as "queues[1].class".
	Field  string
	Reason string
}

// documentChecker collects the violations of one document.
type documentChecker struct{ violations []FieldViolation }

func (c *documentChecker) add(field, reason string, args ...any) {
	c.violations = append(c.violations, FieldViolation{Field: field, Reason: fmt.Sprintf(reason, args...)})
}

func (c *documentChecker) checkName(field, value string) {
	switch {
	case value == "":
		c.add(field, "is required")
	case !ValidName(value):
		c.add(field, "%q is not a name: 1 to %d of a-z, 0-9, '-', '_' and '.'", value, MaxNameBytes)
	}
}

func (c *documentChecker) checkRange(field string, value, minimum, maximum uint32) {
	if value < minimum || value > maximum {
		c.add(field, "%d is not within %d and %d", value, minimum, maximum)
	}
}

// CheckDocument returns every violation that can be found without the rest of
// the state. The state machine and the offline check share it.
func CheckDocument(doc *statepb.TeamDocument) []FieldViolation {
	c := new(documentChecker)
	c.checkName("team", doc.GetTeam())
	c.checkRange("share", doc.GetShareWeight(), 1, MaxShareWeight)
	if doc.GetUpperLimitUnits() == 0 {
		c.add("upper_limit", "must be at least 1")
	}
	c.checkBudgets(doc.GetBudgets())
	if len(doc.GetQueues()) > MaxQueuesPerTeam {
		c.add("queues", "%d given, at most %d are allowed", len(doc.Queues), MaxQueuesPerTeam)
		return c.violations
	}
	seen := make(map[string]bool)
	for i, queue := range doc.GetQueues() {
		path := fmt.Sprintf("queues[%d]", i)
		c.checkQueue(path, queue)
		if seen[queue.GetName()] {
			c.add(path+".name", "queue %q is given twice", queue.GetName())
		}
		seen[queue.GetName()] = true
	}
	return c.violations
}

func (c *documentChecker) checkBudgets(budgets []*statepb.AvailabilityBudget) {
	if len(budgets) > MaxBudgetsPerTeam {
		c.add("availability", "%d given, at most %d are allowed", len(budgets), MaxBudgetsPerTeam)
		return
	}
	seen := make(map[string]bool)
	for i, budget := range budgets {
		path := fmt.Sprintf("availability[%d].pool", i)
		c.checkName(path, budget.GetPool())
		if seen[budget.GetPool()] {
			c.add(path, "pool %q is given twice", budget.GetPool())
		}
		seen[budget.GetPool()] = true
	}
}

func (c *documentChecker) checkQueue(path string, queue *statepb.Queue) {
	c.checkName(path+".name", queue.GetName())
	c.checkName(path+".pool", queue.GetPool())
	switch queue.GetClass() {
	case statepb.Class_CLASS_URGENT, statepb.Class_CLASS_NORMAL, statepb.Class_CLASS_LONG:
	default:
		c.add(path+".class", "must be urgent, normal or long")
	}
	c.checkRange(path+".max_queued", queue.GetMaxQueued(), 1, MaxQueuedPerQueue)
	c.checkRange(path+".max_deadline_ms", queue.GetMaxDeadlineMs(), 1, MaxRequestDeadlineMS)
	if len(queue.GetAdmittedTeams()) > MaxAdmittedTeams {
		c.add(path+".admits", "%d given, at most %d are allowed", len(queue.AdmittedTeams), MaxAdmittedTeams)
		return
	}
	for i, team := range queue.GetAdmittedTeams() {
		c.checkName(fmt.Sprintf("%s.admits[%d]", path, i), team)
	}
}
