package driver

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxSubjects limits the VMs and jobs whose decisions are remembered: enough for the VMs of
	// the target size, and for those that come and go.
	maxSubjects = 1024
	// maxSubjectBytes limits the length of a name: callers choose the ids of refused jobs.
	maxSubjectBytes = 128
	// maxDecisions limits the decisions remembered of one VM or job.
	maxDecisions = 8
)

// history holds the latest decisions of this leadership by the VM or job (the subject) they
// are about, for explanations. It is lost with the leadership; the log has every decision.
type history struct {
	mu       sync.Mutex
	subjects map[string][]string
	// subjectOrder holds the subjects in the order of their first decision.
	subjectOrder []string
}

func newHistory() *history { return &history{subjects: make(map[string][]string)} }

// note adds a decision about a subject.
func (h *history) note(at time.Time, subject, format string, args ...any) {
	if len(subject) > maxSubjectBytes {
		return
	}
	line := at.UTC().Format(time.RFC3339Nano) + " " + fmt.Sprintf(format, args...)
	h.mu.Lock()
	defer h.mu.Unlock()
	lines, known := h.subjects[subject]
	if !known {
		if len(h.subjectOrder) == maxSubjects {
			delete(h.subjects, h.subjectOrder[0])
			h.subjectOrder = h.subjectOrder[1:]
		}
		h.subjectOrder = append(h.subjectOrder, subject)
	}
	if len(lines) == maxDecisions {
		lines = lines[1:]
	}
	h.subjects[subject] = append(lines, line)
}

// about returns the decisions about a subject, the oldest first.
func (h *history) about(subject string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.subjects[subject])
}
