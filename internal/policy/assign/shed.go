package assign

import (
	"cmp"
	"container/heap"
	"slices"
)

// shed returns the jobs that the pool has no room to end in time. It is made for bursts that
// need more than the pool holds: ordered by least slack alone, each job starts at the last
// moment and delays later ones until nearly all are late. The work that must start by a time
// has to fit into the processor time available until then; otherwise the jobs with the least
// worth per work left are shed, those beyond the rate of their workspace before all others. Shed
// jobs start on the room that the others leave, and every round decides anew.
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
	kept, work := new(worthHeap), int64(0)
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

// latestStartMS returns when the remaining work must start to end in time.
func (j *Job) latestStartMS() int64 { return j.DeadlineMS - j.RemainingMS }

// worthPerWork returns the worth of the job per unit of work that is left.
func (j *Job) worthPerWork() float64 { return j.Worth / float64(max(j.WorkMillisMS, 1)) }

// worthHeap is a heap with the job to shed first at its root: one beyond the rate of its
// workspace, if there is any, of the least worth per work.
type worthHeap []*Job

func (h worthHeap) Len() int      { return len(h) }
func (h worthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h worthHeap) Less(i, j int) bool {
	if h[i].BeyondRate != h[j].BeyondRate {
		return h[i].BeyondRate
	}
	if a, b := h[i].worthPerWork(), h[j].worthPerWork(); a != b {
		return a < b
	}
	return h[i].ID < h[j].ID
}

// Push adds a job.
func (h *worthHeap) Push(j any) { *h = append(*h, j.(*Job)) }

// Pop removes the last job.
func (h *worthHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
