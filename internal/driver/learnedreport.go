package driver

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/metrics"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// maxLearnedSeries limits the queues that have metrics of their own: those with the most runs.
const maxLearnedSeries = 100

// typicalEstimatesMS are the estimates for which run times are shown.
var typicalEstimatesMS = []float64{300, 1000, 5000}

// learnedOf answers what was learned of the queue with a name, or of all queues if the name is empty.
func (d *Driver) learnedOf(name string) *pb.Response {
	names := make(map[string]string)
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, q := range v.Catalogue().GetQueues() {
			if name == "" || q.Name == name {
				names[workflow.QueueKey(q.Name, q.Host, q.PathPrefix)] = q.Name
			}
		}
	})
	if name != "" && len(names) == 0 {
		return &pb.Response{Answer: pb.Answer_ANSWER_NO_QUEUE, Reason: fmt.Sprintf("queue %q does not exist", name)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK}
	for _, key := range slices.SortedFunc(maps.Keys(names), func(a, b string) int { return cmp.Compare(names[a], names[b]) }) {
		response.Lines = append(response.Lines, fmt.Sprintf("queue %s: %s", names[key], d.explainRunTimes(key)))
	}
	if name != "" {
		return response
	}
	for _, id := range slices.Sorted(maps.Keys(d.links)) {
		if l := d.links[id]; l.health.slowness() >= normalBelow {
			response.Lines = append(response.Lines, fmt.Sprintf("VM %s: runs take %.1f times as long as expected, by %d runs", l.target.Vm, l.health.slowness(), l.health.runs))
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(d.pools.arrivals)) {
		if at, millis := d.pools.arrivals[pool].NextBurst(d.monotonicMS()); millis > 0 {
			response.Lines = append(response.Lines, fmt.Sprintf("pool %s: next burst of %d thousandths of a core expected in %d ms", pool, millis, at-d.monotonicMS()))
		}
	}
	return response
}

// explainRunTimes describes the run times expected of a queue, from how many runs, how old they are, and how good the
// last predictions were.
func (d *Driver) explainRunTimes(key string) string {
	runs := d.learned.finished[key]
	if runs == nil {
		return "no finished runs, run times are expected to be as estimated"
	}
	model := d.learned.model(key)
	line := fmt.Sprintf("%d finished runs, the last %d ms ago, weight %.1f;", runs.count, d.cfg.NowMS()-runs.lastMS, model.Runs())
	for _, estimate := range typicalEstimatesMS {
		line += fmt.Sprintf(" estimate %.0f ms: mean %.0f, 0.5 quantile %.0f, 0.9 quantile %.0f;", estimate, model.Expected(estimate), model.Quantile(estimate, 0.5), model.Quantile(estimate, pessimisticQuantile))
	}
	if share, known := model.Within(); known {
		line += fmt.Sprintf(" %.0f%% of runs were within their 0.9 quantile", 100*share)
	}
	return line
}

// publishLearned sets the metrics of the queues with the most runs, and removes those of all others.
func (d *Driver) publishLearned() {
	keys := slices.SortedFunc(maps.Keys(d.learned.finished), func(a, b string) int {
		return cmp.Or(cmp.Compare(d.learned.finished[b].count, d.learned.finished[a].count), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), maxLearnedSeries)]
	published := make(map[string]bool, 3*len(keys))
	for _, key := range keys {
		runs := d.learned.finished[key]
		values := map[string]float64{"driver_learned_runs": float64(runs.count), "driver_learned_age_ms": float64(d.cfg.NowMS() - runs.lastMS)}
		if share, known := d.learned.model(key).Within(); known {
			values["driver_learned_within"] = share
		}
		for base, value := range values {
			name := metrics.Name(base, metrics.L("queue", key))
			published[name] = true
			gometrics.GetOrRegisterGaugeFloat64(name, gometrics.DefaultRegistry).Update(value)
		}
	}
	d.unpublishLearned(published)
}

// unpublishLearned removes the metrics that were published before, except those to keep.
func (d *Driver) unpublishLearned(keep map[string]bool) {
	for name := range d.learnedSeries {
		if !keep[name] {
			gometrics.Unregister(name)
		}
	}
	d.learnedSeries = keep
}
