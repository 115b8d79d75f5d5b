// Package workflow is the replicated state machine for jobs that consist of steps:
// jobs and their tasks, the targets that run them, maintenance waves, and the
// catalogue of queues, pools and workspaces. Apply is deterministic and reads no
// clock. The safety rules (order of steps, one run of a task at a time unless its
// step allows copies, maximum attempts, workspace limits, maximum tasks per target,
// evacuated zones, limits on maintenance) are checked when a command is applied, whichever process
// planned it.
package workflow

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/shares"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Code classifies the outcome of a command.
type Code int

// Outcomes of commands.
const (
	OK Code = iota
	// Invalid means that the command is malformed; nothing was changed.
	Invalid
	// NotFound means that the command names something that does not exist; nothing
	// was changed.
	NotFound
	// Refused means that the command breaks a rule in the current state; nothing was
	// changed.
	Refused
)

// Outcome is the result of one command.
type Outcome struct {
	Code   Code
	Reason string
	// Refused holds the starts that were not accepted, each with the reason.
	Refused []RefusedStart
	Index   uint64
}

// RefusedStart is a start that broke a rule when it was applied.
type RefusedStart struct {
	Task    TaskID
	Attempt uint32
	Target  string
	// TargetBornUnixMS identifies the incarnation of the target that the start was for.
	TargetBornUnixMS int64
	Copy             bool
	Reason           string
}

// Machine holds the committed state. Readers use View, which holds the read lock.
type Machine struct {
	mu    sync.RWMutex
	index uint64
	nowMS int64

	catalogue *pb.Catalogue
	lookup    *catalogueLookup
	jobs      map[string]*Job
	targets   map[string]*pb.Target
	waves     map[uint64]*pb.Wave
	// leaseEpoch is the epoch of the last leader that kept lease records.
	leaseEpoch uint64
	// formerTargets holds the target that was last removed from each VM, for FormerTargetMemoryMS.
	formerTargets map[string]*pb.FormerTarget
	// leases holds what is known of the leases of targets, by target.
	leases map[string]Lease
	// rates holds the token buckets of workspaces whose catalogue entry states a rate, by name.
	rates map[string]shares.Bucket
	// formerQueues holds the queues of open jobs that have left the catalogue.
	formerQueues map[queueID]*pb.Queue
	// zones holds the availability zones that are known, by name.
	zones map[string]*pb.StoredZone
	// learned is the newest summary of what leaders have learned, or nil. No command depends on it.
	learned *pb.Learned

	// Derived from the fields above.
	openJobs map[string]*Job
	// Tasks of which a run runs or may run, by target, and the resources of these
	// runs, by workspace.
	tasksByTarget   map[string]map[TaskID]*Task
	usedByTarget    map[string]TargetUse
	usedByWorkspace map[string]Resources
}

// TargetUse is what the runs on a target that run or may run take of its capacity.
type TargetUse struct {
	// Room is the capacity of all of them.
	Room Resources
	// ShortMillis is the CPU, in thousandths of a core, of those that are not lasting.
	ShortMillis int64
	// Lasting is the number of those that are.
	Lasting int
	// Changes counts the runs that were added to and removed from the target.
	Changes uint64
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.nowMS, m.leaseEpoch, m.learned = 0, 0, nil
	m.catalogue, m.lookup = nil, newCatalogueLookup(nil)
	m.jobs = make(map[string]*Job)
	m.openJobs = make(map[string]*Job)
	m.targets = make(map[string]*pb.Target)
	m.waves = make(map[uint64]*pb.Wave)
	m.leases = make(map[string]Lease)
	m.formerTargets = make(map[string]*pb.FormerTarget)
	m.formerQueues = make(map[queueID]*pb.Queue)
	m.rates = make(map[string]shares.Bucket)
	m.zones = make(map[string]*pb.StoredZone)
	m.tasksByTarget = make(map[string]map[TaskID]*Task)
	m.usedByTarget = make(map[string]TargetUse)
	m.usedByWorkspace = make(map[string]Resources)
}

// Apply applies one marshalled command and returns its *Outcome.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	command := new(pb.Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return m.outcome(Invalid, "command does not decode: %v", err)
	}
	m.nowMS = max(m.nowMS, command.TimeUnixMs)
	return m.applyBody(command)
}

func (m *Machine) applyBody(command *pb.Command) *Outcome {
	switch body := command.Body.(type) {
	case *pb.Command_PutCatalogue:
		return m.putCatalogue(body.PutCatalogue.GetCatalogue())
	case *pb.Command_SubmitJob:
		return m.submitJob(body.SubmitJob.GetJob())
	case *pb.Command_CancelJob:
		return m.cancelJob(body.CancelJob.Job)
	case *pb.Command_ChangeTasks:
		return m.changeTasks(body.ChangeTasks)
	case *pb.Command_PutTargets:
		return m.putTargets(body.PutTargets.Targets)
	case *pb.Command_RemoveTargets:
		return m.removeTargets(body.RemoveTargets.Targets)
	case *pb.Command_FailJob:
		return m.failJob(body.FailJob)
	case *pb.Command_DeclareWave:
		return m.declareWave(body.DeclareWave.GetWave())
	case *pb.Command_BeginMaintenance:
		return m.beginMaintenance(body.BeginMaintenance)
	case *pb.Command_EndMaintenance:
		return m.endMaintenance(body.EndMaintenance)
	case *pb.Command_NoteProgress:
		return m.noteProgress(body.NoteProgress)
	case *pb.Command_BeginEvacuation:
		return m.orderEvacuation(body.BeginEvacuation.GetOrder(), true)
	case *pb.Command_EndEvacuation:
		return m.orderEvacuation(body.EndEvacuation.GetOrder(), false)
	case *pb.Command_NoteZones:
		for _, zone := range body.NoteZones.Zones {
			m.noteNamedZone(zone)
		}
		return m.ok()
	case *pb.Command_Prune:
		return m.prune(body.Prune)
	case *pb.Command_PutLearned:
		return m.putLearned(body.PutLearned.GetLearned())
	}
	return m.outcome(Invalid, "command has no known body")
}

func (m *Machine) ok() *Outcome { return &Outcome{Index: m.index} }

func (m *Machine) outcome(code Code, format string, args ...any) *Outcome {
	return &Outcome{Code: code, Reason: fmt.Sprintf(format, args...), Index: m.index}
}

// View calls f under the read lock. f must not block, and must not keep references to
// jobs and tasks after it returns.
func (m *Machine) View(f func(*View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f((*View)(m))
}

// View gives read access to the state.
type View Machine

// Catalogue returns the current catalogue, or nil before the first one.
func (v *View) Catalogue() *pb.Catalogue { return v.catalogue }

// Queue returns the queue with the name, or nil.
func (v *View) Queue(name string) *pb.Queue { return v.lookup.queues[name] }

// Pool returns the pool with the name, or nil.
func (v *View) Pool(name string) *pb.Pool { return v.lookup.pools[name] }

// Workspace returns the workspace with the name, or nil.
func (v *View) Workspace(name string) *pb.Workspace { return v.lookup.workspaces[name] }

// WorkspaceOfKey returns the workspace that the key belongs to, or nil.
func (v *View) WorkspaceOfKey(key string) *pb.Workspace { return v.lookup.keys[key] }

// Job returns the job with the id, or nil.
func (v *View) Job(id string) *Job { return v.jobs[id] }

// OpenJobs returns the jobs that have not ended, and the ended ones whose tasks
// may still run.
func (v *View) OpenJobs() map[string]*Job { return v.openJobs }

// JobsEndedBefore returns the ids of up to limit jobs that ended before a time, sorted.
func (v *View) JobsEndedBefore(unixMS int64, limit int) []string {
	var ids []string
	for id, job := range v.jobs {
		if Ended(job.State) && job.EndedMS < unixMS && len(ids) < limit {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Targets returns the registered targets by id.
func (v *View) Targets() map[string]*pb.Target { return v.targets }

// Target returns the target with the id, or nil.
func (v *View) Target(id string) *pb.Target { return v.targets[id] }

// PlacedOn returns the tasks of which a run runs or may run on a target.
func (v *View) PlacedOn(target string) map[TaskID]*Task { return v.tasksByTarget[target] }

// UsedOn returns what the runs on a target that run or may run take of its capacity.
func (v *View) UsedOn(target string) TargetUse { return v.usedByTarget[target] }

// WorkspaceUsage returns the resources of the runs of a workspace that run or may run.
func (v *View) WorkspaceUsage(workspace string) Resources { return v.usedByWorkspace[workspace] }

// Wave returns the wave with the id, or nil.
func (v *View) Wave(id uint64) *pb.Wave { return v.waves[id] }

// Waves returns all waves by id.
func (v *View) Waves() []*pb.Wave {
	ids := slices.Sorted(maps.Keys(v.waves))
	waves := make([]*pb.Wave, len(ids))
	for i, id := range ids {
		waves[i] = v.waves[id]
	}
	return waves
}

// NowMS returns the latest time of any command, in Unix milliseconds.
func (v *View) NowMS() int64 { return v.nowMS }

// Index returns the log index of the last command.
func (v *View) Index() uint64 { return v.index }
