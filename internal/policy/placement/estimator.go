package placement

import (
	"slices"

	"sapphirering/internal/policy/share"
)

const (
	// maxSamples is the number of samples kept for one team and class.
	maxSamples = 64
	// minSamples is the number of samples that a correction needs.
	minSamples = 4
	// correctionQuantile is the quantile of the samples used as the correction.
	correctionQuantile = 0.9
	// maxCorrection limits a sample to between 1/maxCorrection and maxCorrection.
	maxCorrection = 20.0
)

// ratioSamples is a ring buffer of the newest ratios of actual to declared value.
type ratioSamples struct {
	samples []float64
	next    int
}

func (r *ratioSamples) add(ratio float64) {
	ratio = min(max(ratio, 1/maxCorrection), maxCorrection)
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, ratio)
		return
	}
	r.samples[r.next] = ratio
	r.next = (r.next + 1) % maxSamples
}

// correction returns the correctionQuantile of the samples, or 1 while there are
// fewer than minSamples.
func (r *ratioSamples) correction() float64 {
	if r == nil || len(r.samples) < minSamples {
		return 1
	}
	ordered := slices.Sorted(slices.Values(r.samples))
	return ordered[int(correctionQuantile*float64(len(ordered)-1)+0.5)]
}

type estimateKey struct {
	team  string
	class share.Class
}

// Estimator corrects declared sizes and run times by what ended attempts used and
// took, per team and class.
type Estimator struct {
	runTimes map[estimateKey]*ratioSamples
	sizes    map[estimateKey]*ratioSamples
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{runTimes: make(map[estimateKey]*ratioSamples), sizes: make(map[estimateKey]*ratioSamples)}
}

func addSample(to map[estimateKey]*ratioSamples, key estimateKey, actual, declared float64) {
	if declared <= 0 || actual <= 0 {
		return
	}
	if to[key] == nil {
		to[key] = &ratioSamples{}
	}
	to[key].add(actual / declared)
}

// ObserveRunTime records the actual and the declared run time of one ended
// attempt, in milliseconds.
func (e *Estimator) ObserveRunTime(team string, class share.Class, tookMS, declaredMS int64) {
	addSample(e.runTimes, estimateKey{team, class}, float64(tookMS), float64(declaredMS))
}

// ObserveSize records how much one job used and declared of the resource that it
// declared most of.
func (e *Estimator) ObserveSize(team string, class share.Class, used, declared uint64) {
	addSample(e.sizes, estimateKey{team, class}, float64(used), float64(declared))
}

// RunTime returns the corrected run time in milliseconds.
func (e *Estimator) RunTime(team string, class share.Class, declaredMS int64) int64 {
	return int64(float64(declaredMS) * e.runTimes[estimateKey{team, class}].correction())
}

// Size returns the needs with corrected cores and memory. A need declared within
// the largest worker is corrected to at most that size, so that the job stays
// placeable.
func (e *Estimator) Size(team string, class share.Class, needs, largest share.Resources) share.Resources {
	ratio := e.sizes[estimateKey{team, class}].correction()
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
