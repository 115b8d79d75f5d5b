package control

import (
	"context"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/runner"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// maxReportAge is how old a VM report may be for a placement.
const maxReportAge = 3 * time.Second

// placeJobs ends attempts whose driver is gone and starts queued jobs.
func (m *Manager) placeJobs(ctx context.Context) error {
	open := m.cfg.Machine.OpenJobs()
	if err := m.endOrphans(ctx, open); err != nil {
		return err
	}
	free := m.freeVMs(open)
	for _, job := range open {
		if job.State != statepb.JobState_JOB_STATE_QUEUED {
			continue
		}
		if err := m.placeJob(ctx, job, free); err != nil {
			return err
		}
	}
	return nil
}

// endOrphans ends attempts whose session expired so long ago that the task
// lease has run out at the target.
func (m *Manager) endOrphans(ctx context.Context, open []*statepb.Job) error {
	for _, job := range open {
		current := state.CurrentAttempt(job)
		if current == nil || !m.surelyOver(current) {
			continue
		}
		end := &statepb.EndAttempt{
			Job: job.Id, Attempt: current.Number, State: statepb.JobState_JOB_STATE_QUEUED,
			Outcome: "lost", Reason: "the entry VM that drove the task is gone",
		}
		if !job.Repeatable {
			end.State = statepb.JobState_JOB_STATE_UNKNOWN
		}
		if err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: end}}); err != nil {
			return fmt.Errorf("end attempt of job %s: %w", job.Id, err)
		}
	}
	return nil
}

func (m *Manager) surelyOver(attempt *statepb.Attempt) bool {
	session := m.cfg.Machine.Session(attempt.Session)
	if session == nil {
		return true
	}
	if session.ExpiredUnixMs == 0 {
		return false
	}
	over := session.ExpiredUnixMs + 2*runner.TaskLease.Milliseconds()
	return m.cfg.Now().UnixMilli() > over
}

// freeVM is an active VM that a live session of its zone reports.
type freeVM struct {
	vm      *statepb.VM
	session string
	slots   uint32
}

// freeVMs lists the VMs that may take a job.
func (m *Manager) freeVMs(open []*statepb.Job) []*freeVM {
	running := make(map[string]uint32)
	for _, job := range open {
		if current := state.CurrentAttempt(job); current != nil {
			running[current.Vm]++
		}
	}
	seen := make(map[string]bool)
	var free []*freeVM
	for _, r := range m.sessions.reports(m.cfg.Machine.Sessions()) {
		for _, v := range r.vms {
			vm := m.cfg.Machine.VM(v.Vm)
			age := r.age + time.Duration(v.AgeMs)*time.Millisecond
			if vm == nil || seen[v.Vm] || v.Leaving || age > maxReportAge || vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE {
				continue
			}
			seen[v.Vm] = true
			if used := running[v.Vm]; used < vm.Slots {
				free = append(free, &freeVM{vm: vm, session: r.session, slots: vm.Slots - used})
			}
		}
	}
	return free
}

func (m *Manager) placeJob(ctx context.Context, job *statepb.Job, free []*freeVM) error {
	for _, f := range free {
		if f.vm.Pool != job.Pool || f.slots == 0 {
			continue
		}
		outcome, err := m.cfg.Log.ProposeLocal(ctx, &statepb.Command{Body: &statepb.Command_StartAttempt{
			StartAttempt: &statepb.StartAttempt{Job: job.Id, BaseRevision: job.Revision, Vm: f.vm.Name, Session: f.session},
		}})
		if err != nil {
			return fmt.Errorf("start job %s: %w", job.Id, err)
		}
		if outcome.Code != statepb.Code_CODE_OK {
			event.JobStartFailed.Emit(event.F("job", job.Id), event.F("reason", outcome.Message))
			return nil
		}
		f.slots--
		return nil
	}
	return nil
}
