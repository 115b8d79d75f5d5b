package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirering/internal/policy/placement"
	"sapphirering/internal/policy/share"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// poolViews holds the pools that one round considers, by name.
type poolViews struct{ byName map[string]*poolView }

// poolView is one pool with its jobs and the workers that can take them.
type poolView struct {
	name    string
	queued  []*statepb.Job
	running []*statepb.Job
	workers []*statepb.VM
	// drivers holds the session that drives tasks on each worker.
	drivers map[string]string
}

// withQueuedJobs returns the pools with queued jobs, sorted by name.
func (f *poolViews) withQueuedJobs() []*poolView {
	var pools []*poolView
	for _, name := range slices.Sorted(maps.Keys(f.byName)) {
		if pool := f.byName[name]; len(pool.queued) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools
}

func (f *poolViews) pool(name string) *poolView {
	pool := f.byName[name]
	if pool == nil {
		pool = &poolView{name: name, drivers: make(map[string]string)}
		f.byName[name] = pool
	}
	return pool
}

func (p *poolView) workerNames() []string {
	names := make([]string, len(p.workers))
	for i, vm := range p.workers {
		names[i] = vm.Name
	}
	return names
}

// buildPoolViews groups jobs and workers by pool. Of each pool, team and class
// only the first maxQueuedPerTeam queued jobs are considered.
func (m *Manager) buildPoolViews(open []*statepb.Job, reports []report) *poolViews {
	f := &poolViews{byName: make(map[string]*poolView)}
	type queueKey struct {
		pool, team string
		class      statepb.Class
	}
	counts := make(map[queueKey]int)
	for _, job := range open {
		switch job.State {
		case statepb.JobState_JOB_STATE_RUNNING:
			f.pool(job.Pool).running = append(f.pool(job.Pool).running, job)
		case statepb.JobState_JOB_STATE_QUEUED:
			key := queueKey{job.Pool, job.Team, job.Class}
			if counts[key]++; counts[key] <= maxQueuedPerTeam {
				f.pool(job.Pool).queued = append(f.pool(job.Pool).queued, job)
			}
		}
	}
	m.addWorkers(f, reports)
	return f
}

// addWorkers adds the VMs that may take a job: active, freshly reported by a
// live session of their zone that is not leaving, and neither leaving nor
// ejected themselves.
func (m *Manager) addWorkers(f *poolViews, reports []report) {
	loads := make(map[string]int)
	for _, r := range reports {
		if r.leaving {
			continue
		}
		for _, v := range r.vms {
			vm := m.cfg.Machine.VM(v.Vm)
			age := r.age + time.Duration(v.AgeMs)*time.Millisecond
			if vm == nil || v.Leaving || v.Ejected || age > maxReportAge || vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE {
				continue
			}
			pool := f.pool(vm.Pool)
			driver, known := pool.drivers[vm.Name]
			if !known {
				pool.workers = append(pool.workers, vm)
			}
			// Workers are spread over the sessions that report them.
			if !known || loads[r.session] < loads[driver]-1 {
				loads[driver]--
				loads[r.session]++
				pool.drivers[vm.Name] = r.session
			}
		}
	}
}

// placementSnapshot converts a pool to the snapshot that the placement policy
// plans from.
func (m *Manager) placementSnapshot(p *poolView) placement.Snapshot {
	s := placement.Snapshot{MaxStarts: maxStartsPerRound, MaxWaits: maxWaitsPerRound}
	used := make(map[string]share.Resources)
	freeIn := make(map[string]int64)
	teams := make(map[string]share.Resources)
	largest := largestWorker(p.workers)
	for _, job := range p.running {
		current := state.CurrentAttempt(job)
		needs := m.needs(job, largest)
		used[current.Vm] = used[current.Vm].Add(needs)
		teams[job.Team] = teams[job.Team].Add(needs)
		freeIn[current.Vm] = max(freeIn[current.Vm], m.expectedEnd(job, current)-m.cfg.Machine.NowMS())
		running := share.Running{
			ID: job.Id, Team: job.Team, Worker: current.Vm, Class: class(job.Class),
			Needs: needs, StartedMS: current.StartedUnixMs,
		}
		switch {
		case job.PreemptRequested || job.CancelRequested:
			s.Stopping = append(s.Stopping, running)
		case job.Repeatable:
			s.Running = append(s.Running, running)
		}
	}
	for _, vm := range p.workers {
		excluded, probe := m.jobs.health.State(vm.Name, m.cfg.Now())
		s.Workers = append(s.Workers, placement.Worker{
			Name: vm.Name, Rack: vm.Rack, Zone: vm.Zone, Capacity: capacityOf(vm), Used: used[vm.Name],
			FreeInMS: freeIn[vm.Name], Excluded: excluded, Probe: probe,
		})
	}
	slices.SortFunc(s.Workers, func(a, b placement.Worker) int { return cmp.Compare(a.Name, b.Name) })
	placement.ReserveSlots(s.Workers)
	for _, job := range p.queued {
		if _, ok := teams[job.Team]; !ok {
			teams[job.Team] = share.Resources{}
		}
		s.Jobs = append(s.Jobs, placement.Job{
			Job: share.Job{
				ID: job.Id, Team: job.Team, Class: class(job.Class), Needs: m.needs(job, largest),
			},
			Queue: job.Queue, ExpectedMS: m.expectedMS(job), FailedOn: failedOn(job),
		})
	}
	s.Teams = m.shareTeams(teams)
	s.Absent = m.absentWorkers(p)
	return s
}

// absentWorkers returns the VMs of the pool that cannot take a job now.
func (m *Manager) absentWorkers(p *poolView) []placement.Worker {
	var absent []placement.Worker
	for _, vm := range m.cfg.Machine.VMs() {
		if _, present := p.drivers[vm.Name]; vm.Pool == p.name && !present {
			absent = append(absent, placement.Worker{Name: vm.Name, Capacity: capacityOf(vm)})
		}
	}
	return absent
}

func (m *Manager) shareTeams(used map[string]share.Resources) []share.Team {
	allocations := m.cfg.Machine.Allocations()
	var views []share.Team
	for _, team := range slices.Sorted(maps.Keys(used)) {
		doc, allocation := m.cfg.Machine.Document(team), allocations[team]
		if doc == nil || allocation == nil {
			continue
		}
		views = append(views, share.Team{
			Name: team, Weight: doc.ShareWeight, Used: used[team],
			FreeUnits: doc.UpperLimitUnits - min(doc.UpperLimitUnits, allocation.Units),
		})
	}
	return views
}

func capacityOf(vm *statepb.VM) share.Resources {
	return share.Resources{
		Millicores: uint64(vm.Capacity.GetMillicores()), MemoryMB: uint64(vm.Capacity.GetMemoryMb()),
		Accelerators: uint64(vm.Capacity.GetAccelerators()), Slots: uint64(vm.Slots),
	}
}

func largestWorker(workers []*statepb.VM) share.Resources {
	var largest share.Resources
	for _, vm := range workers {
		c := capacityOf(vm)
		largest.Millicores = max(largest.Millicores, c.Millicores)
		largest.MemoryMB = max(largest.MemoryMB, c.MemoryMB)
	}
	return largest
}

// needs returns the needs of a job as corrected by the learner. A job always
// takes one slot.
func (m *Manager) needs(job *statepb.Job, largest share.Resources) share.Resources {
	declared := share.Resources{
		Millicores: uint64(job.Needs.GetMillicores()), MemoryMB: uint64(job.Needs.GetMemoryMb()),
		Accelerators: uint64(job.Needs.GetAccelerators()), Slots: 1,
	}
	return m.jobs.learner.Size(job.Team, class(job.Class), declared, largest)
}

func (m *Manager) expectedMS(job *statepb.Job) int64 {
	return m.jobs.learner.RunTime(job.Team, class(job.Class), int64(job.DeclaredMs))
}

func (m *Manager) expectedEnd(job *statepb.Job, attempt *statepb.Attempt) int64 {
	return attempt.StartedUnixMs + m.expectedMS(job)
}

func failedOn(job *statepb.Job) []string {
	var names []string
	for _, a := range job.Attempts {
		if a.Outcome == state.AttemptFailed {
			names = append(names, a.Vm)
		}
	}
	return names
}
