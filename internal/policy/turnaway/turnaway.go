// Package turnaway is the admission control for jobs: it decides which jobs are refused when they are
// submitted. It has no side effects and reads no clock. It is made for bursts of some seconds of which a
// pool holds only a part: a job that must wait for others until even a late end has no worth is refused
// at once, so that its caller can try again when the pool has room.
package turnaway

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// capacityMargin multiplies the capacity, since run times are estimates. In TestReplayRefusals
	// none of 50 refusals is false with 1.1; with 1.05 and 1, 3 of 202 and 15 of 397 were.
	capacityMargin = 1.1
	// minRetryMS and maxRetryMS limit the time after which a caller is told to try again. The shortest is
	// a second, the unit of the Retry-After header.
	minRetryMS, maxRetryMS = 1000, 30_000
)

// OpenJob is an accepted job with short work left.
type OpenJob struct {
	Workspace  string
	BeyondRate bool
	// Priority 0 is the highest.
	Priority uint32
	// Shed means that the pool has no room to end it in time.
	Shed bool
	// WorkMillisMS is the work left in thousandths of a core times milliseconds, RemainingMS the expected
	// time of the longest chain of steps left.
	WorkMillisMS, RemainingMS int64
	// Worth is relative to other jobs of the pool.
	Worth float64
	// DeadlineMS and LateDeadlineMS are the Unix times in milliseconds at which the objective ends and
	// after which even a late end has no worth.
	DeadlineMS, LateDeadlineMS int64
}

func (j *OpenJob) latestStartMS() int64 { return j.DeadlineMS - j.RemainingMS }

func (j *OpenJob) worthPerWork() float64 { return j.Worth / float64(max(j.WorkMillisMS, 1)) }

// keptInTime reports whether the job has room in its pool to end in time.
func (j *OpenJob) keptInTime(nowMS int64) bool { return !j.Shed && nowMS <= j.latestStartMS() }

// Backlog is the work of one pool.
type Backlog struct {
	atMS           int64
	capacityMillis int64
	// jobs are in the order in which a submitted job that is not kept in time waits for them.
	jobs []OpenJob
	// ranks holds the place of each workspace by its number of open jobs, the fewest first.
	ranks map[string]int
}

// NewBacklog returns the backlog of a pool at a Unix time in milliseconds. The capacity is the largest
// that the pool may have for short work; 0 if it is not known. Jobs that have no worth left go after a
// submitted one and don't count.
func NewBacklog(atMS, capacityMillis int64, jobs []OpenJob) *Backlog {
	b := &Backlog{atMS: atMS, capacityMillis: capacityMillis, ranks: make(map[string]int)}
	open := make(map[string]int)
	for _, j := range jobs {
		open[j.Workspace]++
		if atMS+j.RemainingMS <= j.LateDeadlineMS {
			b.jobs = append(b.jobs, j)
		}
	}
	slices.SortFunc(b.jobs, func(x, y OpenJob) int {
		kept := x.keptInTime(atMS)
		if c := cmp.Or(compareBool(x.BeyondRate, y.BeyondRate), compareBool(!kept, !y.keptInTime(atMS))); c != 0 {
			return c
		}
		if !kept {
			return compareLate(&x, &y)
		}
		return cmp.Compare(x.latestStartMS(), y.latestStartMS())
	})
	names := make([]string, 0, len(open))
	for name := range open {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(open[x], open[y]), cmp.Compare(x, y)) })
	for i, name := range names {
		b.ranks[name] = i
	}
	return b
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// compareLate orders jobs that are not kept in time and equal in rate.
func compareLate(a, b *OpenJob) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.latestStartMS(), b.latestStartMS()))
}

// Refusal says why a job is refused.
type Refusal struct {
	// EndMS is the Unix time in milliseconds before which the job would not end.
	EndMS int64
	// RetryAfterMS is the time in milliseconds after which a job like it has a chance to end in time.
	RetryAfterMS int64
	Reason       string
}

// Decide returns the refusal of a job that is submitted now, or nil if it is to be accepted. A job is
// refused only if it would certainly end after its end has lost all worth: the work it waits for is
// that of jobs that go before it as long as they have worth themselves, on the largest capacity that
// the pool may have.
func (b *Backlog) Decide(id string, j *OpenJob, nowMS int64) *Refusal {
	if b == nil || b.capacityMillis <= 0 || b.mayKeep(j, nowMS) {
		return nil
	}
	startMS := max(b.startMS(j), nowMS)
	endMS := startMS + j.RemainingMS
	if endMS <= j.LateDeadlineMS {
		return nil
	}
	cause := "jobs before it"
	if j.BeyondRate {
		cause = "it is beyond the rate of its workspace, and the jobs before it"
	}
	return &Refusal{
		EndMS: endMS, RetryAfterMS: b.retryAfterMS(id, j, startMS, nowMS),
		Reason: fmt.Sprintf("%s keep its pool busy for longer than its end would have worth: it would end in %d ms at the earliest, %d ms are allowed",
			cause, endMS-nowMS, j.LateDeadlineMS-nowMS),
	}
}

// mayKeep reports whether the job may be among those that the pool has room to end in time (see
// assign's shed): it is not if jobs that must start no later and are worth more for their work leave
// it too little room.
func (b *Backlog) mayKeep(j *OpenJob, nowMS int64) bool {
	work := j.WorkMillisMS
	for i := range b.jobs {
		o := &b.jobs[i]
		if o.keptInTime(b.atMS) && o.latestStartMS() <= j.latestStartMS() &&
			(j.BeyondRate && !o.BeyondRate || j.BeyondRate == o.BeyondRate && o.worthPerWork() > j.worthPerWork()) {
			work += o.WorkMillisMS
		}
	}
	return float64(work) <= capacityMargin*float64(b.capacityMillis)*float64(j.latestStartMS()-nowMS)
}

// startMS returns the Unix time in milliseconds before which a job that is not kept in time does not start.
func (b *Backlog) startMS(j *OpenJob) int64 {
	at := float64(b.atMS)
	for i := range b.jobs {
		o := &b.jobs[i]
		if o.BeyondRate && !j.BeyondRate {
			break
		}
		if o.BeyondRate == j.BeyondRate && !o.keptInTime(b.atMS) && compareLate(o, j) > 0 {
			break
		}
		if at+float64(o.RemainingMS) > float64(o.LateDeadlineMS) {
			// It has no worth left by then and goes last.
			continue
		}
		at = min(at+float64(o.WorkMillisMS)/(capacityMargin*float64(b.capacityMillis)), float64(o.LateDeadlineMS))
	}
	return int64(min(at, math.MaxInt64/2))
}

// retryAfterMS returns when the job could start in time if the backlog is worked off until then. Callers
// are spread over as long a time again: those of the workspaces with the fewest open jobs first, those of
// one workspace by their job ids.
func (b *Backlog) retryAfterMS(id string, j *OpenJob, startMS, nowMS int64) int64 {
	wait := max(startMS-j.latestStartMS(), minRetryMS)
	hash := fnv.New32a()
	hash.Write([]byte(id))
	place := (float64(b.ranks[j.Workspace]) + float64(hash.Sum32())/math.MaxUint32) / float64(max(len(b.ranks), 1))
	return min(wait+int64(place*float64(wait)), maxRetryMS)
}
