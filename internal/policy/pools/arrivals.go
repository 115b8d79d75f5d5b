package pools

const (
	// binMS is the resolution of the arrival history.
	binMS = 250
	// historyBins covers several bursts of a queue.
	historyBins = 480
	// recentBins is the number of bins over which the present load is measured.
	recentBins = 6
	// burstStartFactor times the mean load is the load above which a burst starts.
	burstStartFactor = 1.6
	// minQuietMS is the least time of low load between two bursts.
	minQuietMS = 4000
	// burstEndShare times the peak load is the load below which a burst ends.
	burstEndShare = 0.3
	// minBursts is the number of bursts after which their period counts as known.
	minBursts = 3
	// minRisingJobs is the number of jobs from which on a rise of load is not taken
	// for chance.
	minRisingJobs = 4
	// minRateJobs is the number of jobs that give their rate to within a third.
	minRateJobs = 10
	// maxBursts is the number of bursts that are remembered.
	maxBursts = 8
)

// ArrivalHistory records the work that arrives at a pool and predicts its bursts: times in
// which far more work arrives than on average.
type ArrivalHistory struct {
	// bins holds the work that arrived in each bin, in thousandths of a core times
	// milliseconds.
	bins [historyBins]int64
	// needs holds the room that the work of each bin needed when it arrived.
	needs [historyBins]int64
	// jobs counts the jobs that arrived in each bin.
	jobs [historyBins]int64
	// first and last are the numbers of the first bin ever and of the newest one, total
	// is the sum of bins.
	first int64
	last  int64
	total int64

	// starts holds the times at which the newest bursts started.
	starts []int64
	// peak is the largest load of the newest burst; inBurst means that it continues.
	peak    int64
	inBurst bool
	// quietSince is the time since which the load has been low; 0 while it is not.
	quietSince int64
	// restored is the number of the oldest entries of starts that a former leader noted.
	restored int
}

// Rhythm returns when the newest bursts started and the largest load of the newest one.
func (t *ArrivalHistory) Rhythm() (starts []int64, peakMillis int64) { return t.starts, t.peak }

// RestoreRhythm takes over the bursts that a former leader noted, at most maxBursts, by the clock of this history.
// Bursts that have stopped by nowMS are left out: a gap in the rhythm would hide the next bursts for longer than
// a new history needs to find them.
func (t *ArrivalHistory) RestoreRhythm(starts []int64, peakMillis, nowMS int64) {
	n := len(starts)
	if n == 0 || n > maxBursts || starts[n-1] > nowMS {
		return
	}
	period := int64(historyBins * binMS)
	if n > 1 {
		period = (starts[n-1] - starts[0]) / int64(n-1)
	}
	if nowMS > starts[n-1]+period*3/2 {
		return
	}
	t.starts, t.peak, t.restored = append([]int64(nil), starts...), peakMillis, n
}

// noteStart adds the start of a burst, and reports whether it is one. While the newest start known is that of a
// former leader, the first load of a new history may look like a burst, and a burst may have been missed between
// the leaders.
func (t *ArrivalHistory) noteStart(nowMS, load int64) bool {
	if n := len(t.starts); t.restored > 0 && n == t.restored {
		regular := false
		if n > 1 {
			period, gap := (t.starts[n-1]-t.starts[0])/int64(n-1), nowMS-t.starts[n-1]
			regular = gap >= period*3/4 && gap <= period*5/4
		}
		if t.last-t.first < 4*recentBins && (!regular || float64(load) < burstEndShare*float64(t.peak)) {
			return false
		}
		if !regular && n > 1 {
			t.starts, t.restored = nil, 0
		}
	}
	t.starts = append(t.starts, nowMS)
	if len(t.starts) > maxBursts {
		t.starts = t.starts[1:]
		t.restored = max(t.restored-1, 0)
	}
	return true
}

// Note adds work that has arrived, and reports whether a burst has started with it.
func (t *ArrivalHistory) Note(nowMS int64, work Work) (burst bool) {
	t.advance(nowMS)
	t.bins[t.last%historyBins] += work.MillisMS
	t.needs[t.last%historyBins] += work.need()
	t.jobs[t.last%historyBins]++
	t.total += work.MillisMS
	return t.trackBurst(nowMS)
}

// Arriving returns the room that the work arriving within aheadMS will need: as
// much as arrived in the same time before or, while the load rises, at the rate of
// the newer half of that time. A shorter span with enough jobs counts if its rate is
// higher: a burst of a large queue is then seen within one bin.
func (t *ArrivalHistory) Arriving(nowMS, aheadMS int64) int64 {
	t.advance(nowMS)
	half := max(aheadMS/binMS/2, 1)
	older, _ := t.arrived(t.last-2*half+1, t.last-half)
	newer, jobs := t.arrived(t.last-half+1, t.last)
	if jobs < minRisingJobs || newer <= older {
		return older + newer
	}
	most := 2 * newer
	for bins := half - 1; bins > 0; bins-- {
		if newest, jobs := t.arrived(t.last-bins+1, t.last); jobs >= minRateJobs {
			most = max(most, newest*2*half/bins)
		}
	}
	return most
}

// arrived returns the need and the number of the jobs in the bins from first to last.
func (t *ArrivalHistory) arrived(first, last int64) (needMillis, jobs int64) {
	for bin := max(first, t.first); bin <= last; bin++ {
		needMillis += t.needs[bin%historyBins]
		jobs += t.jobs[bin%historyBins]
	}
	return needMillis, jobs
}

// advance clears the bins between the last one and now.
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

// Load returns the recent rate of arriving work, in thousandths of a core.
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

// trackBurst detects bursts: one starts when the load rises far above the mean
// after a quiet time, and ends when the load falls to a small part of its peak. It reports whether one has started.
func (t *ArrivalHistory) trackBurst(nowMS int64) (started bool) {
	load, mean := t.Load(nowMS), t.mean()
	if t.inBurst {
		t.peak = max(t.peak, load)
		if float64(load) < burstEndShare*float64(t.peak) {
			t.inBurst, t.quietSince = false, nowMS
		}
		return false
	}
	if float64(load) <= burstStartFactor*float64(mean) {
		if t.quietSince == 0 {
			t.quietSince = nowMS
		}
		return false
	}
	quiet := t.quietSince == 0 || nowMS-t.quietSince >= minQuietMS
	t.quietSince = 0
	if !quiet {
		return false
	}
	if started = t.noteStart(nowMS, load); started {
		t.inBurst, t.peak = true, load
	}
	return started
}

// NextBurst returns when the next burst is expected and the room it will need. The
// room is 0 until bursts have come at regular intervals.
func (t *ArrivalHistory) NextBurst(nowMS int64) (atMS, cpuMillis int64) {
	n := len(t.starts)
	if n < minBursts || t.inBurst {
		return 0, 0
	}
	period := (t.starts[n-1] - t.starts[0]) / int64(n-1)
	for i := 1; i < n; i++ {
		if gap := t.starts[i] - t.starts[i-1]; gap < period*3/4 || gap > period*5/4 {
			return 0, 0
		}
	}
	at := t.starts[n-1] + period
	if nowMS > at+period/2 {
		// The bursts have stopped.
		return 0, 0
	}
	return at, t.peak
}
