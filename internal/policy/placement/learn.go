package placement

import (
	"slices"

	"sapphirering/internal/policy/share"
)

const (
	// samplesKept bounds what is remembered of one team and class.
	samplesKept = 64
	// minSamples is how many samples a correction needs.
	minSamples = 4
	// correctionQuantile is the part of the samples that a correction covers.
	correctionQuantile = 0.9
	// maxCorrection bounds a correction in either direction.
	maxCorrection = 20.0
)

// ratios holds the newest samples of actual over declared.
type ratios struct {
	samples []float64
	next    int
}

func (r *ratios) add(ratio float64) {
	ratio = min(max(ratio, 1/maxCorrection), maxCorrection)
	if len(r.samples) < samplesKept {
		r.samples = append(r.samples, ratio)
		return
	}
	r.samples[r.next] = ratio
	r.next = (r.next + 1) % samplesKept
}

// correction returns the quantile of the samples, or 1 while there are few.
func (r *ratios) correction() float64 {
	if r == nil || len(r.samples) < minSamples {
		return 1
	}
	ordered := slices.Sorted(slices.Values(r.samples))
	return ordered[int(correctionQuantile*float64(len(ordered)-1)+0.5)]
}

type learnKey struct {
	team  string
	class share.Class
}

// Estimator corrects declared sizes and run times from ended attempts, per team
// and class.
type Estimator struct {
	times map[learnKey]*ratios
	sizes map[learnKey]*ratios
}

// NewEstimator returns a learner without samples.
func NewEstimator() *Estimator {
	return &Estimator{times: make(map[learnKey]*ratios), sizes: make(map[learnKey]*ratios)}
}

func add(to map[learnKey]*ratios, key learnKey, actual, declared float64) {
	if declared <= 0 || actual <= 0 {
		return
	}
	if to[key] == nil {
		to[key] = &ratios{}
	}
	to[key].add(actual / declared)
}

// ObserveRunTime records the run time of one ended attempt, in milliseconds.
func (l *Estimator) ObserveRunTime(team string, class share.Class, tookMS, declaredMS int64) {
	add(l.times, learnKey{team, class}, float64(tookMS), float64(declaredMS))
}

// ObserveSize records what one job used of the resource that it declared most of.
func (l *Estimator) ObserveSize(team string, class share.Class, used, declared uint64) {
	add(l.sizes, learnKey{team, class}, float64(used), float64(declared))
}

// RunTime returns the corrected run time in milliseconds.
func (l *Estimator) RunTime(team string, class share.Class, declaredMS int64) int64 {
	return int64(float64(declaredMS) * l.times[learnKey{team, class}].correction())
}

// Size returns the corrected cores and memory, at most a whole worker of the
// given size: a job that was declared within a worker stays placeable.
func (l *Estimator) Size(team string, class share.Class, needs, largest share.Resources) share.Resources {
	ratio := l.sizes[learnKey{team, class}].correction()
	needs.Millicores = scale(needs.Millicores, ratio, largest.Millicores)
	needs.MemoryMB = scale(needs.MemoryMB, ratio, largest.MemoryMB)
	return needs
}

func scale(declared uint64, ratio float64, largest uint64) uint64 {
	if declared > largest {
		return declared
	}
	return min(uint64(float64(declared)*ratio+0.5), largest)
}
