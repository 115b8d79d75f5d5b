package workflow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/shares"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Snapshot returns the whole state in serialized form.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &pb.Snapshot{NowUnixMs: m.nowMS, Catalogue: m.catalogue, Waves: (*View)(m).Waves(), Leases: m.storeLeases(), LeaseEpoch: m.leaseEpoch, Rates: m.storeRates(), Learned: m.learned}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		s.Jobs = append(s.Jobs, storeJob(m.jobs[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(m.targets)) {
		s.Targets = append(s.Targets, m.targets[id])
	}
	for _, vm := range slices.Sorted(maps.Keys(m.formerTargets)) {
		s.FormerTargets = append(s.FormerTargets, m.formerTargets[vm])
	}
	for id, queue := range m.formerQueues {
		s.FormerQueues = append(s.FormerQueues, &pb.FormerQueue{JobQueue: id.name, JobQueueHost: id.host, JobQueuePath: id.path, Queue: queue})
	}
	slices.SortFunc(s.FormerQueues, func(a, b *pb.FormerQueue) int {
		return cmp.Or(cmp.Compare(a.JobQueueHost, b.JobQueueHost), cmp.Compare(a.JobQueuePath, b.JobQueuePath), cmp.Compare(a.JobQueue, b.JobQueue))
	})
	s.Zones = (*View)(m).Zones()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("marshal snapshot: %w", err)
	}
	return data, nil
}

func storeJob(j *Job) *pb.StoredJob {
	stored := &pb.StoredJob{Job: j.Spec, State: j.State, Reason: j.Reason, EndedUnixMs: j.EndedMS}
	j.EachTask(func(t *Task) {
		stored.Tasks = append(stored.Tasks, &pb.StoredTask{
			State: t.State, Attempt: t.Attempt, Failed: t.Failed, Target: t.Target, Checkpoint: t.Checkpoint, Superseded: t.Superseded,
			CopyAttempt: t.Copy.Attempt, CopyTarget: t.Copy.Target, PlacedIndex: t.PlacedIndex, CopyPlacedIndex: t.Copy.PlacedIndex,
			RepeatedStartIndex: t.RepeatedStart.Index, RepeatedStartSettlesMs: t.RepeatedStart.SettlesMS,
		})
	})
	return stored
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	s := new(pb.Snapshot)
	if err := proto.Unmarshal(data, s); err != nil {
		return fmt.Errorf("unmarshal snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.nowMS, m.leaseEpoch, m.learned = s.NowUnixMs, s.LeaseEpoch, s.Learned
	if s.Catalogue != nil {
		m.catalogue, m.lookup = s.Catalogue, newCatalogueLookup(s.Catalogue)
	}
	for _, target := range s.Targets {
		m.targets[target.Id] = target
	}
	for _, lease := range s.Leases {
		m.leases[lease.GetRecord().GetTarget()] = leaseOf(lease.Record, lease.Index)
	}
	for _, former := range s.FormerTargets {
		m.formerTargets[former.GetTarget().GetVm()] = former
	}
	for _, rate := range s.Rates {
		m.rates[rate.Workspace] = shares.Bucket{Tokens: rate.Tokens, AtMS: rate.AtUnixMs}
	}
	for _, zone := range s.Zones {
		m.zones[zone.Name] = zone
	}
	// Snapshots of older versions hold no zones.
	for _, target := range s.Targets {
		m.noteZone(target.Zone)
	}
	for _, former := range s.FormerTargets {
		m.noteZone(former.GetTarget().GetZone())
	}
	for _, wave := range s.Waves {
		m.waves[wave.Id] = wave
	}
	for _, f := range s.FormerQueues {
		m.formerQueues[queueID{f.JobQueue, f.JobQueueHost, f.JobQueuePath}] = f.Queue
	}
	for _, stored := range s.Jobs {
		if err := m.restoreJob(stored); err != nil {
			return err
		}
	}
	return nil
}

// firstIndex is that of runs whose snapshot does not hold the index: no record has settled it.
const firstIndex = 1

func (m *Machine) restoreJob(stored *pb.StoredJob) error {
	if err := CheckJob(stored.Job); err != nil {
		return fmt.Errorf("restore job %q: %w", stored.Job.GetId(), err)
	}
	job := newJob(stored.Job)
	if len(stored.Tasks) != job.taskCount() {
		return fmt.Errorf("restore job %q: %d tasks, %d are due", stored.Job.Id, len(stored.Tasks), job.taskCount())
	}
	job.State, job.Reason, job.EndedMS = stored.State, stored.Reason, stored.EndedUnixMs
	next := 0
	job.EachTask(func(t *Task) {
		from := stored.Tasks[next]
		next++
		t.State, t.Attempt, t.Failed = from.State, from.Attempt, from.Failed
		t.Target, t.Checkpoint, t.Superseded = from.Target, from.Checkpoint, from.Superseded
		t.Copy = Run{from.CopyAttempt, from.CopyTarget, 0}
		t.RepeatedStart = RepeatedStart{from.RepeatedStartIndex, from.RepeatedStartSettlesMs}
		if t.Target != "" {
			t.PlacedIndex = max(from.PlacedIndex, firstIndex)
		}
		if t.Copy.Target != "" {
			t.Copy.PlacedIndex = max(from.CopyPlacedIndex, firstIndex)
		}
		if t.Copy.Target != "" {
			m.addPlacedRun(t, t.Copy.Target)
		}
		switch t.State {
		case pb.TaskState_TASK_STATE_DONE:
			job.remaining[t.ID.Occurrence][t.ID.Step]--
			job.doneTasks++
		case pb.TaskState_TASK_STATE_PLACED:
			m.addPlacedRun(t, t.Target)
		}
	})
	m.jobs[job.Spec.Id] = job
	if !Ended(job.State) || job.placedRuns > 0 {
		m.openJobs[job.Spec.Id] = job
	}
	return nil
}
