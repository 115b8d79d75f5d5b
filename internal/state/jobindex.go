package state

import (
	"slices"

	"sapphirering/internal/state/statepb"
)

// sortedIDs is a sorted set of ids. Job ids start with their time, so new ones
// are nearly always appended.
type sortedIDs []string

func (s *sortedIDs) add(id string) {
	at, found := slices.BinarySearch(*s, id)
	if !found {
		*s = slices.Insert(*s, at, id)
	}
}

func (s *sortedIDs) remove(id string) {
	at, found := slices.BinarySearch(*s, id)
	if found {
		*s = slices.Delete(*s, at, at+1)
	}
}

// putJob stores a job and updates the fields that are derived from jobs.
func (m *Machine) putJob(job *statepb.Job) {
	m.countJob(m.jobs[job.Id], -1)
	m.countJob(job, 1)
	if Ended(job.State) {
		m.openJobs.remove(job.Id)
	} else {
		m.openJobs.add(job.Id)
	}
	m.jobs[job.Id] = job
	m.jobChanges++
}

// countJob adds a job to the derived counts if delta is 1, and removes it if -1.
func (m *Machine) countJob(job *statepb.Job, delta int32) {
	m.allocationChanges++
	switch job.GetState() {
	case statepb.JobState_JOB_STATE_QUEUED:
		m.queuedJobs[job.Team] += uint32(delta)
	case statepb.JobState_JOB_STATE_RUNNING:
		m.runningJobs[job.Team] += uint32(delta)
		m.setDriven(CurrentAttempt(job).GetSession(), job.Id, delta > 0)
	}
}

func (m *Machine) setDriven(session, job string, driven bool) {
	if !driven {
		delete(m.drivenJobs[session], job)
		if len(m.drivenJobs[session]) == 0 {
			delete(m.drivenJobs, session)
		}
		return
	}
	if m.drivenJobs[session] == nil {
		m.drivenJobs[session] = make(map[string]struct{})
	}
	m.drivenJobs[session][job] = struct{}{}
}

// JobChanges returns a counter that increases with each change of a job.
func (m *Machine) JobChanges() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobChanges
}

// QueuedJobs returns the number of queued jobs of a team.
func (m *Machine) QueuedJobs(team string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.queuedJobs[team]
}

// JobsDrivenBy returns the running jobs whose attempt the session drives, sorted by id.
func (m *Machine) JobsDrivenBy(session string) []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	jobs := make(map[string]*statepb.Job, len(m.drivenJobs[session]))
	for id := range m.drivenJobs[session] {
		jobs[id] = m.jobs[id]
	}
	return sorted(jobs)
}

// OpenJobs returns the jobs that have not ended, sorted by id, which is the order of
// submission.
func (m *Machine) OpenJobs() []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	open := make([]*statepb.Job, 0, len(m.openJobs))
	for _, id := range m.openJobs {
		open = append(open, m.jobs[id])
	}
	return open
}

// Reservation returns the reservation of a live session for a team, or nil.
func (m *Machine) Reservation(session, team string) *statepb.Reservation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return reservation(m.liveSession(session), team)
}

// TeamJobs returns the team's jobs with an id after the given one, sorted by id.
func (m *Machine) TeamJobs(team, after string) []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	jobs := make(map[string]*statepb.Job)
	for id, job := range m.jobs {
		if job.Team == team && id > after {
			jobs[id] = job
		}
	}
	return sorted(jobs)
}
