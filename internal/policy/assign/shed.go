package assign

import (
	"cmp"
	"container/heap"
	"slices"
)

// shed returns the jobs that the pool has no room to end in time. The load it answers: a queue
// in its turn asks for more than its pool holds. By least slack alone each job is begun at its
// last moment, and those that came later are delayed by it until nearly all are late. What has
// to start by a time must fit into the room that there is until then; where it does not, the
// jobs that are worth least for the work they still ask for make way. They start on what the
// others leave, and are looked at anew in each round.
func shed(s *Snapshot, inTime func(*Job) bool) map[string]bool {
	if s.CapacityMillis <= 0 {
		return nil
	}
	var jobs []*Job
	for i := range s.Jobs {
		if j := &s.Jobs[i]; !j.Copy && !j.Lasting && j.WorkMillisMS > 0 && inTime(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.latestStartMS(), b.latestStartMS()), cmp.Compare(a.ID, b.ID))
	})
	out := make(map[string]bool)
	kept, work := new(byWorth), int64(0)
	for _, j := range jobs {
		heap.Push(kept, j)
		work += j.WorkMillisMS
		for room := s.CapacityMillis * (j.latestStartMS() - s.NowMS); work > room && kept.Len() > 0; {
			least := heap.Pop(kept).(*Job)
			work -= least.WorkMillisMS
			out[least.ID] = true
		}
	}
	return out
}

// latestStartMS is when what is left must start to be in time.
func (j *Job) latestStartMS() int64 { return j.DeadlineMS - j.RemainingMS }

// worthOfWork is what the job is worth for the work that it still asks for.
func (j *Job) worthOfWork() float64 { return j.Worth / float64(max(j.WorkMillisMS, 1)) }

// byWorth is a heap with the job that is worth least for its work in front.
type byWorth []*Job

func (h byWorth) Len() int      { return len(h) }
func (h byWorth) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h byWorth) Less(i, j int) bool {
	if a, b := h[i].worthOfWork(), h[j].worthOfWork(); a != b {
		return a < b
	}
	return h[i].ID < h[j].ID
}

// Push adds a job.
func (h *byWorth) Push(j any) { *h = append(*h, j.(*Job)) }

// Pop takes the last job away.
func (h *byWorth) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
