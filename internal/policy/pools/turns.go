package pools

const (
	// binMS is the resolution of the arrival history.
	binMS = 250
	// historyBins covers several turns of a queue.
	historyBins = 480
	// recentBins is the span over which the present load is measured.
	recentBins = 6
	// onsetFactor times the mean load is where a turn begins.
	onsetFactor = 1.6
	// minQuietMS of low load separate two turns.
	minQuietMS = 4000
	// endShare of a turn's peak is where it ends.
	endShare = 0.3
	// minOnsets is the number of turns after which their pace counts as known.
	minOnsets = 3
	// minRising is the number of jobs from which on a rise is more than chance.
	minRising = 4
	// minTelling is the number of jobs whose rate is known to a third by chance.
	minTelling = 10
	// maxOnsets bounds what is remembered of turns.
	maxOnsets = 8
)

// ArrivalHistory learns when the turns of a queue come and what they ask for.
type ArrivalHistory struct {
	// bins holds the arrived work by binMS, in thousandths of a core times milliseconds.
	bins [historyBins]int64
	// needs holds the room that the work of each bin asked for when it came.
	needs [historyBins]int64
	// jobs counts what came.
	jobs  [historyBins]int64
	first int64
	last  int64
	total int64

	onsets []int64
	// peak is the largest load of the newest turn; inTurn tells that it goes on.
	peak   int64
	inTurn bool
	// quietSince is since when the load has been low; 0 while it is not.
	quietSince int64
}

// Note adds work that has arrived.
func (t *ArrivalHistory) Note(nowMS int64, work Work) {
	t.advance(nowMS)
	t.bins[t.last%historyBins] += work.MillisMS
	t.needs[t.last%historyBins] += work.need()
	t.jobs[t.last%historyBins]++
	t.total += work.MillisMS
	t.noteOnset(nowMS)
}

// Arriving returns the room that the work will ask for which comes within
// aheadMS: as much as came in the same time before, or at the rate of the newer
// half of it while a turn sets in. Where many jobs came in less than that, theirs is
// the rate: a turn of a large queue shows within a bin.
func (t *ArrivalHistory) Arriving(nowMS, aheadMS int64) int64 {
	t.advance(nowMS)
	half := max(aheadMS/binMS/2, 1)
	older, _ := t.arrived(t.last-2*half+1, t.last-half)
	newer, jobs := t.arrived(t.last-half+1, t.last)
	if jobs < minRising || newer <= older {
		return older + newer
	}
	most := 2 * newer
	for bins := half - 1; bins > 0; bins-- {
		if newest, jobs := t.arrived(t.last-bins+1, t.last); jobs >= minTelling {
			most = max(most, newest*2*half/bins)
		}
	}
	return most
}

// arrived returns what came in the bins from first to last.
func (t *ArrivalHistory) arrived(first, last int64) (needMillis, jobs int64) {
	for bin := max(first, t.first); bin <= last; bin++ {
		needMillis += t.needs[bin%historyBins]
		jobs += t.jobs[bin%historyBins]
	}
	return needMillis, jobs
}

// advance clears the bins between the last note and now.
func (t *ArrivalHistory) advance(nowMS int64) {
	bin := nowMS / binMS
	if t.first == 0 {
		t.first, t.last = bin, bin
	}
	for t.last < bin {
		t.last++
		at := t.last % historyBins
		t.total -= t.bins[at]
		t.bins[at], t.needs[at], t.jobs[at] = 0, 0, 0
		if bin-t.last > historyBins {
			t.last = bin - historyBins
		}
	}
}

// Load returns the load that arrives at present, in thousandths of a core.
func (t *ArrivalHistory) Load(nowMS int64) int64 {
	t.advance(nowMS)
	sum := int64(0)
	for bin := max(t.last-recentBins+1, t.first); bin <= t.last; bin++ {
		sum += t.bins[bin%historyBins]
	}
	return sum / (recentBins * binMS)
}

// mean returns the mean load over the history, in thousandths of a core.
func (t *ArrivalHistory) mean() int64 {
	span := min(t.last-t.first+1, historyBins)
	return t.total / (max(span, 4*recentBins) * binMS)
}

// noteOnset follows the turns: one begins when the load rises far above the
// mean after a quiet time, and ends when little is left of its peak.
func (t *ArrivalHistory) noteOnset(nowMS int64) {
	load, mean := t.Load(nowMS), t.mean()
	if t.inTurn {
		t.peak = max(t.peak, load)
		if float64(load) < endShare*float64(t.peak) {
			t.inTurn, t.quietSince = false, nowMS
		}
		return
	}
	if float64(load) <= onsetFactor*float64(mean) {
		if t.quietSince == 0 {
			t.quietSince = nowMS
		}
		return
	}
	quiet := t.quietSince == 0 || nowMS-t.quietSince >= minQuietMS
	t.quietSince = 0
	if !quiet {
		return
	}
	t.inTurn, t.peak = true, load
	t.onsets = append(t.onsets, nowMS)
	if len(t.onsets) > maxOnsets {
		t.onsets = t.onsets[1:]
	}
}

// NextBurst returns when the next turn is expected and what it will ask for. The
// load is 0 until turns have come at an even pace.
func (t *ArrivalHistory) NextBurst(nowMS int64) (atMS, cpuMillis int64) {
	n := len(t.onsets)
	if n < minOnsets || t.inTurn {
		return 0, 0
	}
	period := (t.onsets[n-1] - t.onsets[0]) / int64(n-1)
	for i := 1; i < n; i++ {
		if gap := t.onsets[i] - t.onsets[i-1]; gap < period*3/4 || gap > period*5/4 {
			return 0, 0
		}
	}
	at := t.onsets[n-1] + period
	if nowMS > at+period/2 {
		// The turns have stopped coming.
		return 0, 0
	}
	return at, t.peak
}
