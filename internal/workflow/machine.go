// Package workflow is the replicated state of jobs of steps: jobs and their
// tasks, the targets that run them, maintenance waves, and the catalogue of
// queues, pools and workspaces. Apply is deterministic and reads no clock. The
// rules that must hold whoever planned (order of steps, one run of a task at a
// time, attempts, limits of workspaces, spread, one maintenance too many) are
// checked when a command is applied.
package workflow

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// Code classifies the outcome of a command.
type Code int

// Outcomes of commands.
const (
	OK Code = iota
	// Invalid commands break a rule of form; nothing was changed.
	Invalid
	// NotFound names something that does not exist; nothing was changed.
	NotFound
	// Refused commands break a rule in the present state; nothing was changed.
	Refused
)

// Outcome is the result of one command.
type Outcome struct {
	Code   Code
	Reason string
	// Refused holds the starts that were not accepted, with the reason.
	Refused []RefusedStart
	Index   uint64
}

// RefusedStart is a start that broke a rule when it was applied.
type RefusedStart struct {
	Task    TaskID
	Attempt uint32
	Target  string
	// TargetBornUnixMS is the incarnation of the target that was meant.
	TargetBornUnixMS int64
	Copy             bool
	Reason           string
}

// Machine holds the committed state. Readers hold the lock through View.
type Machine struct {
	mu    sync.RWMutex
	index uint64
	nowMS int64

	catalogue *pb.Catalogue
	routes    *routes
	jobs      map[string]*Job
	targets   map[string]*pb.Target
	waves     map[uint64]*pb.Wave

	// Derived from the above.
	open map[string]*Job
	// Tasks that run or may run, by target and by workspace.
	placed map[string]map[TaskID]*Task
	used   map[string]Resources
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.nowMS = 0
	m.catalogue, m.routes = nil, newRoutes(nil)
	m.jobs = make(map[string]*Job)
	m.open = make(map[string]*Job)
	m.targets = make(map[string]*pb.Target)
	m.waves = make(map[uint64]*pb.Wave)
	m.placed = make(map[string]map[TaskID]*Task)
	m.used = make(map[string]Resources)
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
	case *pb.Command_Prune:
		return m.prune(body.Prune)
	}
	return m.outcome(Invalid, "command has no known body")
}

func (m *Machine) ok() *Outcome { return &Outcome{Index: m.index} }

func (m *Machine) outcome(code Code, format string, args ...any) *Outcome {
	return &Outcome{Code: code, Reason: fmt.Sprintf(format, args...), Index: m.index}
}

// View runs f while the state does not change. f must not keep what it reads
// of jobs and tasks, nor block.
func (m *Machine) View(f func(*View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f((*View)(m))
}

// View is read access to the state.
type View Machine

// Catalogue returns the catalogue in force, or nil before the first.
func (v *View) Catalogue() *pb.Catalogue { return v.catalogue }

// Route returns the queue that takes a path at a host, or nil.
func (v *View) Route(host, path string) *pb.Queue { return v.routes.match(host, path) }

// Queue returns the queue with the name, or nil.
func (v *View) Queue(name string) *pb.Queue { return v.routes.queues[name] }

// Pool returns the pool with the name, or nil.
func (v *View) Pool(name string) *pb.Pool { return v.routes.pools[name] }

// Workspace returns the workspace with the name, or nil.
func (v *View) Workspace(name string) *pb.Workspace { return v.routes.workspaces[name] }

// WorkspaceOfKey returns the workspace that the key belongs to, or nil.
func (v *View) WorkspaceOfKey(key string) *pb.Workspace { return v.routes.keys[key] }

// Job returns the job with the id, or nil.
func (v *View) Job(id string) *Job { return v.jobs[id] }

// OpenJobs returns the jobs that have not ended, and those ended whose tasks
// may still run.
func (v *View) OpenJobs() map[string]*Job { return v.open }

// JobsEndedBefore returns up to most jobs that ended before a time.
func (v *View) JobsEndedBefore(unixMS int64, most int) []string {
	var ids []string
	for id, job := range v.jobs {
		if Ended(job.State) && job.EndedMS < unixMS && len(ids) < most {
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

// PlacedOn returns the tasks that run or may run on a target.
func (v *View) PlacedOn(target string) map[TaskID]*Task { return v.placed[target] }

// WorkspaceUsage returns what a workspace has running or may have running.
func (v *View) WorkspaceUsage(workspace string) Resources { return v.used[workspace] }

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

// NowMS returns the newest time in any command, in Unix milliseconds.
func (v *View) NowMS() int64 { return v.nowMS }

// Index returns the log index of the last command.
func (v *View) Index() uint64 { return v.index }
