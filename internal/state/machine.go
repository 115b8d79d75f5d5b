// Package state is the replicated state machine: documents, keys, pools, VMs,
// waves, sessions, reservations, claims and jobs. Apply is deterministic and
// reads no clock; the leader puts its time into each command. Every safety
// rule (one pool per VM, upper limits, availability budgets, one claim per
// request) is checked when a command is applied, whichever process planned it.
//
// Objects in the machine are never changed in place: a command replaces an
// object with a changed copy, so readers may keep the objects they were given.
package state

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

// Machine holds the committed state.
type Machine struct {
	mu    sync.RWMutex
	index uint64
	// nowMS is the latest time of any command, in Unix milliseconds.
	nowMS int64
	// changed is closed at the next command; nil while no caller waits for it.
	changed chan struct{}

	documents  map[string]*statepb.TeamDocument
	keys       map[string]*statepb.Key
	pools      map[string]*statepb.Pool
	vms        map[string]*statepb.VM
	removedVMs map[string]*statepb.RemovedVM
	waves      map[string]*statepb.Wave
	sessions   map[string]*statepb.Session
	kept       map[keptID]*statepb.KeptReservation
	claims     map[string]*statepb.Claim
	jobs       map[string]*statepb.Job
	operations map[string]*statepb.Operation

	// Derived from the fields above.
	queues  map[string]queueRef
	poolVMs map[string]map[string]struct{}
	// budgets holds the largest availability budget that any document states, by pool.
	budgets     map[string]uint32
	keyByHash   map[[sha256.Size]byte]string
	openJobs    sortedIDs
	runningJobs map[string]uint32
	queuedJobs  map[string]uint32
	// drivenJobs holds the ids of running jobs by the session that drives their attempt.
	drivenJobs map[string]map[string]struct{}
	// jobChanges increases with each change of a job.
	jobChanges uint64
	// allocationChanges increases with each change of documents, sessions, units or
	// job counts.
	allocationChanges uint64
}

type keptID struct {
	memberName string
	team       string
}

// queueRef is a queue and the team whose document declares it.
type queueRef struct {
	team  string
	queue *statepb.Queue
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.documents = make(map[string]*statepb.TeamDocument)
	m.keys = make(map[string]*statepb.Key)
	m.pools = make(map[string]*statepb.Pool)
	m.vms = make(map[string]*statepb.VM)
	m.removedVMs = make(map[string]*statepb.RemovedVM)
	m.waves = make(map[string]*statepb.Wave)
	m.sessions = make(map[string]*statepb.Session)
	m.kept = make(map[keptID]*statepb.KeptReservation)
	m.claims = make(map[string]*statepb.Claim)
	m.jobs = make(map[string]*statepb.Job)
	m.operations = make(map[string]*statepb.Operation)
	m.queues = make(map[string]queueRef)
	m.poolVMs = make(map[string]map[string]struct{})
	m.budgets = make(map[string]uint32)
	m.keyByHash = make(map[[sha256.Size]byte]string)
	m.openJobs = nil
	m.runningJobs = make(map[string]uint32)
	m.queuedJobs = make(map[string]uint32)
	m.drivenJobs = make(map[string]map[string]struct{})
	m.jobChanges++
	m.allocationChanges++
}

// Apply applies one marshalled command and returns its *statepb.Outcome.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notifyChanged()
	m.index = index
	command := new(statepb.Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return &statepb.Outcome{Code: statepb.Code_CODE_INVALID, Message: "command does not decode", Index: index}
	}
	m.nowMS = max(m.nowMS, command.TimeUnixMs)
	if command.OperationId == "" {
		return m.applyBody(command)
	}
	return m.applyOnce(command)
}

// applyOnce applies an operation, or returns the first outcome if it was resent.
func (m *Machine) applyOnce(command *statepb.Command) *statepb.Outcome {
	hash := operationHash(command)
	if first, ok := m.operations[command.OperationId]; ok {
		if !bytes.Equal(first.CommandHash, hash) {
			return m.invalid("operation_id: %q was used for another command", command.OperationId)
		}
		return first.Outcome
	}
	if err := checkOperationAge(command.OperationId, m.nowMS); err != nil {
		return m.invalid("operation_id: %v", err)
	}
	outcome := m.applyBody(command)
	m.operations[command.OperationId] = &statepb.Operation{
		Id: command.OperationId, TimeUnixMs: m.nowMS, Outcome: outcome, CommandHash: hash,
	}
	return outcome
}

// operationHash hashes the command without its time, which differs between resends.
func operationHash(command *statepb.Command) []byte {
	same := proto.CloneOf(command)
	same.TimeUnixMs = 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(same)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func (m *Machine) applyBody(command *statepb.Command) *statepb.Outcome {
	switch body := command.Body.(type) {
	case *statepb.Command_ApplyDocument:
		return m.applyDocument(body.ApplyDocument)
	case *statepb.Command_DeleteDocument:
		return m.deleteDocument(body.DeleteDocument)
	case *statepb.Command_GrantKey:
		return m.grantKey(body.GrantKey)
	case *statepb.Command_WithdrawKey:
		return m.withdrawKey(body.WithdrawKey)
	case *statepb.Command_PutPool:
		return m.putPool(body.PutPool)
	case *statepb.Command_DeletePool:
		return m.deletePool(body.DeletePool)
	case *statepb.Command_AnnounceVm:
		return m.announceVM(body.AnnounceVm)
	case *statepb.Command_StartDrain:
		return m.startDrain(body.StartDrain)
	case *statepb.Command_AdvanceVm:
		return m.advanceVM(body.AdvanceVm)
	case *statepb.Command_MoveVm:
		return m.moveVM(body.MoveVm)
	case *statepb.Command_RemoveVm:
		return m.removeVM(body.RemoveVm)
	case *statepb.Command_DeclareWave:
		return m.declareWave(body.DeclareWave)
	case *statepb.Command_EndWave:
		return m.endWave(body.EndWave)
	}
	return m.applyWorkBody(command)
}

// applyWorkBody applies the commands about sessions, reservations, claims and jobs.
func (m *Machine) applyWorkBody(command *statepb.Command) *statepb.Outcome {
	switch body := command.Body.(type) {
	case *statepb.Command_OpenSession:
		return m.openSession(body.OpenSession)
	case *statepb.Command_ExpireSession:
		return m.expireSession(body.ExpireSession)
	case *statepb.Command_ReclaimSession:
		return m.reclaimSession(body.ReclaimSession)
	case *statepb.Command_CloseSession:
		return m.closeSession(body.CloseSession)
	case *statepb.Command_ReclaimReservations:
		return m.reclaimReservations(body.ReclaimReservations)
	case *statepb.Command_SetReservations:
		return m.setReservations(body.SetReservations)
	case *statepb.Command_SetKeptReservations:
		return m.setKeptReservations(body.SetKeptReservations)
	case *statepb.Command_ClaimRequest:
		return m.claimRequest(body.ClaimRequest)
	case *statepb.Command_EndClaim:
		return m.endClaim(body.EndClaim)
	case *statepb.Command_SubmitJob:
		return m.submitJob(body.SubmitJob)
	case *statepb.Command_StartAttempt:
		return m.startAttempt(body.StartAttempt)
	case *statepb.Command_RenewAttempt:
		return m.renewAttempt(body.RenewAttempt)
	case *statepb.Command_EndAttempt:
		return m.endAttempt(body.EndAttempt)
	case *statepb.Command_CancelJobs:
		return m.cancelJobs(body.CancelJobs)
	case *statepb.Command_PreemptJob:
		return m.preemptJob(body.PreemptJob)
	case *statepb.Command_RetryJob:
		return m.retryJob(body.RetryJob)
	case *statepb.Command_ParkJob:
		return m.parkJob(body.ParkJob)
	case *statepb.Command_Prune:
		return m.prune(body.Prune)
	}
	return m.invalid("command has no known body")
}

func (m *Machine) ok(revision uint64) *statepb.Outcome {
	return &statepb.Outcome{Revision: revision, Index: m.index}
}

func (m *Machine) outcome(code statepb.Code, format string, args ...any) *statepb.Outcome {
	return &statepb.Outcome{Code: code, Message: fmt.Sprintf(format, args...), Index: m.index}
}

func (m *Machine) invalid(format string, args ...any) *statepb.Outcome {
	return m.outcome(statepb.Code_CODE_INVALID, format, args...)
}

func (m *Machine) refused(format string, args ...any) *statepb.Outcome {
	return m.outcome(statepb.Code_CODE_REFUSED, format, args...)
}

func (m *Machine) notFound(kind, name string) *statepb.Outcome {
	return m.outcome(statepb.Code_CODE_NOT_FOUND, "%s %q does not exist", kind, name)
}

// conflict returns the outcome that reports the current revision.
func (m *Machine) conflict(kind, name string, base, current uint64) *statepb.Outcome {
	o := m.outcome(statepb.Code_CODE_CONFLICT,
		"%s %q: change is based on revision %d, revision %d is in force", kind, name, base, current)
	o.Revision = current
	return o
}
