package state

import (
	"slices"

	"sapphirering/internal/state/statepb"
)

// sortedIDs is a set of ids in order. Job ids carry their time, so new ones
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

// putJob stores a job and keeps the derived counts right.
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

// countJob adds a job to the derived counts, or takes it out when by is negative.
func (m *Machine) countJob(job *statepb.Job, by int32) {
	m.unitChanges++
	switch job.GetState() {
	case statepb.JobState_JOB_STATE_QUEUED:
		m.queuedJobs[job.Team] += uint32(by)
	case statepb.JobState_JOB_STATE_RUNNING:
		m.runningJobs[job.Team] += uint32(by)
		m.countDriven(CurrentAttempt(job).GetSession(), job.Id, by > 0)
	}
}

func (m *Machine) countDriven(session, job string, driven bool) {
	if !driven {
		delete(m.driven[session], job)
		if len(m.driven[session]) == 0 {
			delete(m.driven, session)
		}
		return
	}
	if m.driven[session] == nil {
		m.driven[session] = make(map[string]struct{})
	}
	m.driven[session][job] = struct{}{}
}

// JobChanges returns a number that rises with each change of a job.
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

// JobsDrivenBy returns the running jobs whose attempt the session drives, by id.
func (m *Machine) JobsDrivenBy(session string) []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	jobs := make(map[string]*statepb.Job, len(m.driven[session]))
	for id := range m.driven[session] {
		jobs[id] = m.jobs[id]
	}
	return sorted(jobs)
}

// OpenJobs returns the jobs that have not ended, by id: the order of submission.
func (m *Machine) OpenJobs() []*statepb.Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	open := make([]*statepb.Job, 0, len(m.openJobs))
	for _, id := range m.openJobs {
		open = append(open, m.jobs[id])
	}
	return open
}

// Reservation returns what a live session holds of a team, or nil.
func (m *Machine) Reservation(session, team string) *statepb.Reservation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return reservation(m.liveSession(session), team)
}

// TeamJobs returns the team's jobs with an id after the given one, by id.
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
