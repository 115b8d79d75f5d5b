package driver

import (
	"context"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Address is where a target takes calls, and which one must answer there.
type Address struct {
	ID       string
	HostPort string
}

// Refusal is why a target did nothing on a call.
type Refusal int

// Refusals of targets.
const (
	// Accepted means that the call was carried out.
	Accepted Refusal = iota
	// RefusedStaleFence means that a newer leader has called the target.
	RefusedStaleFence
	// RefusedOutdated means that a later run, or the end of this one, is known there.
	RefusedOutdated
	// RefusedLeaseOver means that the lease in the call is over.
	RefusedLeaseOver
	// RefusedNoRoom means that the task does not fit.
	RefusedNoRoom
	// RefusedTicket means that the advice ticket is missing or too old.
	RefusedTicket
	// RefusedUnhealthy means that the target takes no work now.
	RefusedUnhealthy
	// RefusedInvalid means that the target cannot read the call.
	RefusedInvalid
	// OtherIncarnation means that another target answers at the address: the one
	// that was called is gone.
	OtherIncarnation
)

var refusalNames = [...]string{"accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "invalid", "other incarnation"}

// String names the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// Answer is what a target said to a call.
type Answer struct {
	Refusal Refusal
	// ClockMS is the target's own clock; 0 when it did not say.
	ClockMS int64
}

// StartCall starts a run.
type StartCall struct {
	Task       workflow.TaskID
	Attempt    uint32
	Payload    string
	Checkpoint string
	Ticket     string
	Fence      uint64
	// LeaseUntilMS is on the target's clock.
	LeaseUntilMS int64
}

// StopCall stops a run, or keeps one that is not there from ever starting.
type StopCall struct {
	Task    workflow.TaskID
	Attempt uint32
	Fence   uint64
}

// RenewCall renews the lease of all that runs on a target and lists it.
type RenewCall struct {
	Fence uint64
	// LeaseUntilMS is on the target's clock; 0 renews nothing.
	LeaseUntilMS int64
	// SeenEnd is the number of the last end that is committed.
	SeenEnd uint64
	// Wait is how long the target may wait for an end before it answers.
	Wait time.Duration
}

// PaceCall sets the share of its speed at which a run works.
type PaceCall struct {
	Task    workflow.TaskID
	Attempt uint32
	Fence   uint64
	Percent int
}

// Running is a run that a target lists.
type Running struct {
	Task       workflow.TaskID
	Attempt    uint32
	Checkpoint string
	// Percent is 100 for a lasting task at work.
	Percent float64
	// Gauge is the tail latency of a lasting task in milliseconds, or the
	// thousandths of a core that any other uses.
	Gauge float64
}

// Ended is an end that a target lists until it is seen.
type Ended struct {
	Number     uint64
	Task       workflow.TaskID
	Attempt    uint32
	Kind       pb.EndKind
	Checkpoint string
}

// Listing is what a target says about all its runs.
type Listing struct {
	Answer
	BornUnixMS int64
	Running    []Running
	Ended      []Ended
}

// TargetClient calls targets. An error means that the outcome is not known:
// the call may be carried out, also later.
type TargetClient interface {
	Start(ctx context.Context, to Address, call StartCall) (Answer, error)
	Stop(ctx context.Context, to Address, call StopCall) (Answer, error)
	Renew(ctx context.Context, to Address, call RenewCall) (Listing, error)
	Pace(ctx context.Context, to Address, call PaceCall) (Answer, error)
	// Close ends the calls under way, with errors; none is made after it.
	Close() error
}

// VMState is the state of a VM at the platform.
type VMState int

// States of VMs.
const (
	VMUp VMState = iota
	VMMoving
	VMInMaintenance
	VMDown
)

// VM is a VM that the platform lists.
type VM struct {
	Name     string
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity workflow.Resources
	// Target is the id of the target that runs on it, if any.
	Target string
}

// VMRefusal is why the platform did nothing on an order.
type VMRefusal int

// Refusals of the platform.
const (
	VMAccepted VMRefusal = iota
	VMStaleFence
	VMBusy
	VMNotInWave
	VMUnknown
	VMThrottled
)

var vmRefusalNames = [...]string{"accepted", "fence", "busy", "not in wave", "unknown VM or pool", "throttled"}

// String names the refusal.
func (r VMRefusal) String() string { return vmRefusalNames[r] }

// VMOrder is what every order for a VM carries.
type VMOrder struct {
	VM string
	// Holder and Fence keep orders of a former leader out.
	Holder string
	Fence  uint64
}

// VMClient calls the platform that owns the VMs. An error means that the
// outcome is not known; orders may be sent again.
type VMClient interface {
	List(ctx context.Context) ([]VM, error)
	Move(ctx context.Context, order VMOrder, pool string) (VMRefusal, error)
	Maintain(ctx context.Context, order VMOrder, wave uint64) (VMRefusal, error)
}
