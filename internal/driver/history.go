package driver

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxSubjects bounds the subjects of which decisions are remembered: the VMs of the
	// target size, with room for those that come and go.
	maxSubjects = 1024
	// maxSubjectBytes bounds a name: callers choose the ids of refused jobs.
	maxSubjectBytes = 128
	// maxDecisions bounds the decisions remembered of one subject.
	maxDecisions = 8
)

// history holds the newest decisions of this leadership by the VM or job they are about, for
// explanations. It is lost with the leadership; the log has every line.
type history struct {
	mu       sync.Mutex
	subjects map[string][]string
	// order holds the subjects, the one noted first in front.
	order []string
}

func newHistory() *history { return &history{subjects: make(map[string][]string)} }

// note adds a decision.
func (h *history) note(at time.Time, subject, format string, args ...any) {
	if len(subject) > maxSubjectBytes {
		return
	}
	line := at.UTC().Format(time.RFC3339Nano) + " " + fmt.Sprintf(format, args...)
	h.mu.Lock()
	defer h.mu.Unlock()
	lines, known := h.subjects[subject]
	if !known {
		if len(h.order) == maxSubjects {
			delete(h.subjects, h.order[0])
			h.order = h.order[1:]
		}
		h.order = append(h.order, subject)
	}
	if len(lines) == maxDecisions {
		lines = lines[1:]
	}
	h.subjects[subject] = append(lines, line)
}

// of returns the decisions about a subject, the oldest first.
func (h *history) of(subject string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.subjects[subject])
}
