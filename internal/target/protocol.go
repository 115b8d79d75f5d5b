// Package target keeps the registry of the targets of this availability zone,
// built from their announcements, decides which of them may get work, and sends
// requests and tasks to them.
package target

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sapphirering/internal/state"
)

const (
	// ProgressInterval is how often a target sends an informational response
	// (102) while it works on a request.
	ProgressInterval = 1 * time.Second
	// ProgressTimeout is how long a connection to a target may transfer no byte
	// before it counts as silent.
	ProgressTimeout = 3 * time.Second
)

// Headers between daemons and targets.
const (
	HeaderRequestID = "Sapphirering-Request-Id"
	HeaderTeam      = "Sapphirering-Team"
	HeaderClass     = "Sapphirering-Class"
	// HeaderDeadlineMS is the time that is left for the request, in milliseconds.
	HeaderDeadlineMS = "Sapphirering-Deadline-Ms"
	// HeaderAnnouncement names the announcement that the dispatch relies on,
	// as INCARNATION/SEQUENCE. A target refuses dispatches that rely on an
	// announcement more than MaxAnnouncementAge old by its own clock, so that
	// a daemon that was frozen cannot dispatch work that it admitted long ago.
	HeaderAnnouncement = "Sapphirering-Announcement"
	// HeaderNotRun is set by a target that refused a request without running it;
	// the value is the reason.
	HeaderNotRun = "Sapphirering-Not-Run"
)

// Announcement describes a target. The target sends it to every entry VM of its
// zone every AnnounceInterval.
type Announcement struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Sequence increases with every announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Pool is used only until the VM is registered.
	Pool         string `json:"pool"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Region       string `json:"region"`
	Address      string `json:"address"`
	Slots        uint32 `json:"slots"`
	Millicores   uint32 `json:"millicores"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
	// Leaving is true when the target takes no new work.
	Leaving bool `json:"leaving"`
	// DrainRevision repeats the revision of the newest drain that the target has received.
	DrainRevision uint64 `json:"drain_revision"`
	InFlight      uint32 `json:"in_flight"`
	// Usage as measured by the target, which lags behind the actual usage.
	UsedMillicores uint32 `json:"used_millicores"`
	UsedMemoryMB   uint32 `json:"used_memory_mb"`
}

// Token returns the value of HeaderAnnouncement for work that relies on a.
func (a Announcement) Token() string { return fmt.Sprintf("%s/%d", a.Incarnation, a.Sequence) }

const maxAnnouncedSlots = 1 << 16

// validate returns an error that names the first invalid field.
func (a Announcement) validate() error {
	if !state.ValidName(a.VM) {
		return fmt.Errorf("announcement: vm: %q is not a name", a.VM)
	}
	if a.Incarnation == "" || strings.Contains(a.Incarnation, "/") {
		return fmt.Errorf("announcement of %s: incarnation: %q is empty or contains a slash", a.VM, a.Incarnation)
	}
	if a.Slots > maxAnnouncedSlots {
		return fmt.Errorf("announcement of %s: slots: %d is above %d", a.VM, a.Slots, maxAnnouncedSlots)
	}
	address, err := url.Parse(a.Address)
	if err != nil || address.Scheme != "http" || address.Host == "" || address.Path != "" {
		return fmt.Errorf("announcement of %s: address: %q does not have the form http://host:port", a.VM, a.Address)
	}
	if port := address.Port(); port != "" {
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return fmt.Errorf("announcement of %s: address: port %q is not between 1 and 65535", a.VM, port)
		}
	}
	return nil
}

// AnnouncementAnswer is the daemon's answer to an announcement: the state of the target's VM.
type AnnouncementAnswer struct {
	Pool  string `json:"pool"`
	Phase string `json:"phase"`
	// Drain asks the target to take no new work and announce itself as leaving.
	Drain         bool   `json:"drain"`
	DrainRevision uint64 `json:"drain_revision"`
	// Revision of the VM on which the answer is based. A target ignores answers
	// with a lower revision than the newest it has seen: they come from a daemon
	// that lags behind.
	Revision uint64 `json:"revision"`
}

// TaskRequest starts an attempt of a job, or renews its lease.
type TaskRequest struct {
	Team       string `json:"team"`
	Queue      string `json:"queue"`
	Payload    []byte `json:"payload,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// LeaseMS is how long the task may run without a renewal, in milliseconds.
	LeaseMS uint32 `json:"lease_ms"`
	// Start is false for a renewal, which does not start a task.
	Start bool `json:"start"`
}

// Task states that a target reports.
const (
	TaskRunning = "running"
	TaskDone    = "done"
	TaskFailed  = "failed"
	TaskStopped = "stopped"
	// TaskAbsent is the answer to a renewal of a task that the target does not have.
	TaskAbsent = "absent"
)

// TaskStatus is the target's answer about one attempt.
type TaskStatus struct {
	State      string `json:"state"`
	Reason     string `json:"reason,omitempty"`
	Answer     []byte `json:"answer,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}
