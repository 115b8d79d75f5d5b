package driver

import (
	"context"
	"errors"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Address is the address of a target and the id of the target that must answer there.
type Address struct {
	ID       string
	HostPort string
}

// Refusal is the reason why a target did not carry out a call.
type Refusal int

// Refusals of targets.
const (
	// Accepted means that the call was carried out.
	Accepted Refusal = iota
	// RefusedStaleFence means that a newer leader, with a higher fence, has called the target.
	RefusedStaleFence
	// RefusedOutdated means that the target knows a later run, or the end of this one.
	RefusedOutdated
	// RefusedLeaseOver means that the lease in the call is over.
	RefusedLeaseOver
	// RefusedNoRoom means that the task does not fit.
	RefusedNoRoom
	// RefusedTicket means that the advice ticket is missing or has expired.
	RefusedTicket
	// RefusedUnhealthy means that the target accepts no work now.
	RefusedUnhealthy
	// RefusedInvalid means that the target cannot read the call.
	RefusedInvalid
	// OtherIncarnation means that another target answers at the address and the called one
	// is gone.
	OtherIncarnation
)

var refusalNames = [...]string{"accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "invalid", "other incarnation"}

// String returns the name of the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// Answer is the answer of a target to a call.
type Answer struct {
	Refusal Refusal
	// ClockMS is the target's own clock; 0 if the answer has none.
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
	// LeaseUntilMS is the end of the lease on the target's clock, Lease its length.
	LeaseUntilMS int64
	Lease        time.Duration
}

// StopCall stops a run, or prevents it from ever starting if it has not started.
type StopCall struct {
	Task    workflow.TaskID
	Attempt uint32
	Fence   uint64
}

// RenewCall renews the lease of all runs on a target and lists them.
type RenewCall struct {
	Fence uint64
	// LeaseUntilMS is the end of the lease on the target's clock; 0 renews nothing.
	LeaseUntilMS int64
	// SeenEnd is the number of the last end that is committed: the target may forget it, and
	// those before it. It counts the ends of the incarnation that was started at BornUnixMS.
	SeenEnd    uint64
	BornUnixMS int64
	// Wait is how long the target may wait for a run to end before it answers.
	Wait time.Duration
}

// PaceCall sets the percentage of its full speed at which a run works.
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
	// Percent is the progress of the run; 100 for a lasting task at work.
	Percent float64
	// Gauge is the tail latency in milliseconds for a lasting task, and the CPU in use in
	// thousandths of a core for any other.
	Gauge float64
}

// Ended is the end of a run, which a target lists until it is confirmed.
type Ended struct {
	Number     uint64
	Task       workflow.TaskID
	Attempt    uint32
	Kind       pb.EndKind
	Checkpoint string
}

// Listing is a target's answer with all its runs.
type Listing struct {
	Answer
	BornUnixMS int64
	Running    []Running
	Ended      []Ended
	// SeenEnd is the number that the call has confirmed; see TargetClient.
	SeenEnd uint64
}

// ErrClosedByTarget is in the errors of calls whose connection the target's host closed or
// refused, as it does for a process that has ended.
var ErrClosedByTarget = errors.New("closed by the target's host")

// ErrNotSent is in the errors of calls that never left this daemon: they have not taken effect
// and never will.
var ErrNotSent = errors.New("call was not sent")

// TargetClient calls targets. An error means that the outcome is not known:
// the call may have taken effect or may still do so.
//
// A target that was restarted under its id numbers its ends anew and answers calls that were meant for
// its former incarnation. So Renew confirms ends only over a connection on which that incarnation has listed its
// runs before; over any other the call lists the runs and confirms nothing. A target that keeps no connection open is
// the exception: after several answers of the incarnation, a call follows that confirms.
type TargetClient interface {
	Start(ctx context.Context, to Address, call StartCall) (Answer, error)
	Stop(ctx context.Context, to Address, call StopCall) (Answer, error)
	Renew(ctx context.Context, to Address, call RenewCall) (Listing, error)
	Pace(ctx context.Context, to Address, call PaceCall) (Answer, error)
	// Close ends the calls in progress with errors; no call may follow.
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

var vmStateNames = [...]string{"up", "moving", "in maintenance", "down"}

// String returns the name of the state.
func (s VMState) String() string { return vmStateNames[s] }

// VM is a VM that the platform lists.
type VM struct {
	Name     string
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity workflow.Resources
	// Target is the id of the target that runs on the VM, if any.
	Target string
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VM
	// Unreadable is the number of entries that could not be read. A VM that is missing in the list
	// may be one of them.
	Unreadable int
}

// complete reports whether the list names all VMs, so that one that it lacks does not exist.
func (l VMList) complete() bool { return l.Unreadable == 0 && len(l.VMs) > 0 }

// VMRefusal is the reason why the platform did not carry out an order.
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

// String returns the name of the refusal.
func (r VMRefusal) String() string { return vmRefusalNames[r] }

// VMOrder holds the fields common to all orders for a VM.
type VMOrder struct {
	VM string
	// Holder and Fence let the platform refuse orders of a former leader.
	Holder string
	Fence  uint64
}

// VMClient calls the platform that owns the VMs. An error means that the
// outcome is not known; orders may be sent again.
type VMClient interface {
	List(ctx context.Context) (VMList, error)
	Move(ctx context.Context, order VMOrder, pool string) (VMRefusal, error)
	Maintain(ctx context.Context, order VMOrder, wave uint64) (VMRefusal, error)
}
