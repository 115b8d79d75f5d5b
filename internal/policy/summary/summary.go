// Package summary decides when the leader keeps a summary of what it has learned in the replicated state, what
// the summary leaves out if it is too large, and whether a stored one can be used. It is pure. It is made for a
// cluster that loses its leader every few seconds while a few hundred queues finish hundreds of runs a second:
// the first runs are kept soon, later ones rarely, so that the log carries tasks and not summaries.
package summary

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// Version is the version of summaries that this package describes.
const Version = 1

const (
	// MinIntervalMS is the least time between two summaries, also of different leaders.
	MinIntervalMS = 5000
	// maxIntervalMS is the time after which any change is kept.
	maxIntervalMS = 60_000
	// minChange is the change from which on a summary is kept: four runs of a new queue reach it.
	minChange = 0.3
	// minChangePerQueue makes summaries of many well-known queues rarer: each of them is known again to within
	// a few percent without the newest runs.
	minChangePerQueue = 0.03
	// priorRuns makes the runs of a new queue count less than one each.
	priorRuns = 10
	// maxMeanLog bounds the mean logarithm of run times, in milliseconds: the exponential of more overflows int64.
	maxMeanLog = 43
	// maxRuns bounds decayed numbers of runs; the decay of run times keeps them below 350.
	maxRuns = 1000
	// maxSlowness bounds the slowness of a VM: the learner limits the ratios it averages to 10.
	maxSlowness = 10
)

// Change returns how much a run changes what is known of a queue with a decayed number of runs.
func Change(runs float64) float64 { return 1 / (runs + priorRuns) }

// Due reports whether a summary of a number of queues is to be kept at nowMS. KeptMS is the time of the stored one,
// 0 if there is none, and change the sum of Change since then.
func Due(nowMS, keptMS int64, queues int, change float64) bool {
	if change <= 0 {
		return false
	}
	age := nowMS - keptMS
	if keptMS == 0 || age < 0 {
		// A time in the future is that of a clock that was set back.
		return change >= minChange
	}
	return age >= MinIntervalMS && change >= max(minChange, minChangePerQueue*float64(queues)) || age >= maxIntervalMS
}

// Weight returns the weight of what was learned a time ago; it falls by half in each half-life.
func Weight(ageMS, halfLifeMS int64) float64 {
	return math.Exp2(-float64(max(ageMS, 0)) / float64(halfLifeMS))
}

// Fit drops entries until the summary has at most maxBytes: first the VMs whose slowness is closest to normal,
// which is learned again within a few runs, then the queues with the fewest runs, then pools. It returns the
// number of dropped entries.
func Fit(s *pb.Learned, maxBytes int) (dropped int) {
	excess := proto.Size(s) - maxBytes
	if excess <= 0 {
		return 0
	}
	slices.SortStableFunc(s.Vms, func(a, b *pb.LearnedVM) int {
		return cmp.Compare(math.Abs(math.Log(b.Slowness)), math.Abs(math.Log(a.Slowness)))
	})
	slices.SortStableFunc(s.Queues, func(a, b *pb.LearnedQueue) int { return cmp.Compare(b.Runs, a.Runs) })
	total := len(s.Vms) + len(s.Queues) + len(s.Pools)
	s.Vms, excess = trim(s.Vms, excess)
	s.Queues, excess = trim(s.Queues, excess)
	s.Pools, _ = trim(s.Pools, excess)
	return total - len(s.Vms) - len(s.Queues) - len(s.Pools)
}

// trim drops the last entries until they took the excess bytes, and returns what is left of both.
func trim[M proto.Message](entries []M, excess int) ([]M, int) {
	for excess > 0 && len(entries) > 0 {
		last := len(entries) - 1
		// The tag and the length add at least two bytes to each entry.
		excess -= proto.Size(entries[last]) + 2
		entries = entries[:last]
	}
	return entries, excess
}

// ErrUnusable is returned for a summary that must be ignored.
var ErrUnusable = errors.New("unusable summary")

// Check returns why a stored summary cannot be used, or nil.
func Check(s *pb.Learned) error {
	if s.Version != Version {
		return fmt.Errorf("%w: version %d, this daemon knows %d", ErrUnusable, s.Version, Version)
	}
	for _, queue := range s.Queues {
		if !usableQueue(queue) {
			return fmt.Errorf("%w: run times of queue %q are not finite or contradict each other", ErrUnusable, queue.Queue)
		}
	}
	for _, vm := range s.Vms {
		if !(vm.Slowness > 0 && vm.Slowness <= maxSlowness) {
			return fmt.Errorf("%w: slowness of VM %q is %g", ErrUnusable, vm.Vm, vm.Slowness)
		}
	}
	for _, pool := range s.Pools {
		if pool.PeakMillis < 0 || !slices.IsSorted(pool.StartsUnixMs) {
			return fmt.Errorf("%w: bursts of pool %q are not in order", ErrUnusable, pool.Pool)
		}
	}
	return nil
}

// usableQueue reports whether sums can be those of logarithms of times. Comparisons with NaN are false.
func usableQueue(q *pb.LearnedQueue) bool {
	if !(q.Runs >= 0 && q.Runs <= maxRuns && q.Residual >= 0 && q.Residual <= maxRuns*maxMeanLog*maxMeanLog) {
		return false
	}
	if !(q.Within >= 0 && q.Within <= q.Predicted && q.Predicted <= maxRuns) {
		return false
	}
	limit := q.Runs * maxMeanLog
	if !(math.Abs(q.X) <= limit && math.Abs(q.Y) <= limit && math.Abs(q.Xy) <= limit*maxMeanLog) {
		return false
	}
	// The variance of x is not negative, apart from rounding.
	return q.Xx >= 0 && q.Xx <= limit*maxMeanLog && q.Xx*q.Runs-q.X*q.X >= -1e-6*(1+q.X*q.X)
}
