package driver

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/policy/pools"
	"sapphirering/internal/policy/runtimes"
	"sapphirering/internal/policy/summary"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Learning switches uses of what is learned from finished runs.
type Learning struct {
	// Keep stores a summary in the replicated state and takes over that of former leaders.
	Keep bool
	// Quantiles learns from runs that were cut off or slowed down as from bounds of their run time, and uses the
	// 0.9 quantile for copies and stalls.
	Quantiles bool
	// Placement avoids targets on which a task would be cut off or miss its objective.
	Placement bool
}

const (
	// keepCheckInterval is how often it is checked whether a summary is due.
	keepCheckInterval = 250 * time.Millisecond
	// runTimeHalfLifeMS is the time in which stored run times lose half of their weight, slownessHalfLifeMS
	// that of the slowness of a VM, which mostly comes from what else the machine does.
	runTimeHalfLifeMS  = 30 * 60 * 1000
	slownessHalfLifeMS = 60 * 1000
	// minStoredDeviation is the difference of a VM's slowness from 1 from which on it is stored.
	minStoredDeviation = 0.25
)

// keepLearned commits summaries of what was learned until ctx ends. It has commits of its own, so that no round
// waits for them.
func (d *Driver) keepLearned(ctx context.Context) {
	for {
		if clock.Sleep(ctx, keepCheckInterval); ctx.Err() != nil {
			return
		}
		if d.cfg.Log.HoldsLease() {
			d.keepLearnedOnce()
		}
	}
}

// keepLearnedOnce commits a summary if one is due.
func (d *Driver) keepLearnedOnce() {
	nowMS := d.cfg.NowMS()
	var keptMS int64
	d.cfg.Machine.View(func(v *workflow.View) { keptMS = v.Learned().GetAtUnixMs() })
	d.mu.Lock()
	change := d.learned.change
	if !summary.Due(nowMS, keptMS, len(d.learned.finished), change) {
		d.mu.Unlock()
		return
	}
	var known map[string]bool
	d.cfg.Machine.View(func(v *workflow.View) { known = v.QueueKeys() })
	learned := d.summarize(known, nowMS)
	d.mu.Unlock()
	dropped := summary.Fit(learned, workflow.MaxLearnedBytes)
	out, err := d.commit(&pb.Command{Body: &pb.Command_PutLearned{PutLearned: &pb.PutLearned{Learned: learned}}})
	if err != nil || out.Code != workflow.OK {
		event.LearnedUncommitted.Emit(event.F("reason", reasonOf(out)), event.Err(err))
		// A log that cannot commit is not tried again at once.
		clock.Sleep(d.ctx, summary.MinIntervalMS*time.Millisecond)
		return
	}
	d.mu.Lock()
	d.learned.change -= change
	d.mu.Unlock()
	event.LearnedKept.Emit(event.F("bytes", proto.Size(learned)), event.F("queues", len(learned.Queues)), event.F("pools", len(learned.Pools)),
		event.F("vms", len(learned.Vms)), event.F("dropped", dropped), event.F("index", out.Index))
}

// summarize returns what is known at nowMS of the queues with the known keys, of pools and of VMs.
func (d *Driver) summarize(known map[string]bool, nowMS int64) *pb.Learned {
	out := &pb.Learned{Version: summary.Version, AtUnixMs: nowMS}
	for _, key := range slices.Sorted(maps.Keys(d.learned.finished)) {
		if !known[key] {
			continue
		}
		runs := d.learned.finished[key]
		sums := d.learned.model(key).Sums(summary.Weight(nowMS-runs.weighedMS, runTimeHalfLifeMS))
		out.Queues = append(out.Queues, &pb.LearnedQueue{
			Queue: key, Runs: sums.Runs, X: sums.X, Y: sums.Y, Xx: sums.XX, Xy: sums.XY, Residual: sums.Residual, Predicted: sums.Predicted, Within: sums.Within,
			Finished: runs.count, LastUnixMs: runs.lastMS,
		})
	}
	for _, pool := range slices.Sorted(maps.Keys(d.pools.arrivals)) {
		starts, peak := d.pools.arrivals[pool].Rhythm()
		if len(starts) == 0 {
			continue
		}
		stored := &pb.LearnedPool{Pool: pool, PeakMillis: peak}
		for _, start := range starts {
			stored.StartsUnixMs = append(stored.StartsUnixMs, start-d.monotonicMS()+nowMS)
		}
		out.Pools = append(out.Pools, stored)
	}
	for _, id := range slices.Sorted(maps.Keys(d.links)) {
		l := d.links[id]
		if slowness := l.health.slowness(); l.target.Vm != "" && math.Abs(slowness-1) >= minStoredDeviation {
			out.Vms = append(out.Vms, &pb.LearnedVM{
				Vm: l.target.Vm, BornUnixMs: l.target.BornUnixMs, Slowness: slowness, Runs: uint32(l.health.runs), LastUnixMs: l.health.lastMS,
			})
		}
	}
	return out
}

// takeLearned starts from the summary of a former leader, if it can be used.
func (d *Driver) takeLearned(learned *pb.Learned) {
	if learned == nil {
		return
	}
	if err := summary.Check(learned); err != nil {
		event.LearnedIgnored.Emit(event.F("version", learned.Version), event.Err(err))
		return
	}
	nowMS := d.cfg.NowMS()
	weight := summary.Weight(nowMS-learned.AtUnixMs, runTimeHalfLifeMS)
	for _, q := range learned.Queues {
		sums := runtimes.Sums{Runs: q.Runs, X: q.X, Y: q.Y, XX: q.Xx, XY: q.Xy, Residual: q.Residual, Predicted: q.Predicted, Within: q.Within}
		d.learned.runTimes[q.Queue] = runtimes.FromSums(sums, weight)
		d.learned.finished[q.Queue] = &finishedRuns{count: q.Finished, lastMS: q.LastUnixMs, weighedMS: nowMS}
	}
	for _, pool := range learned.Pools {
		starts := make([]int64, len(pool.StartsUnixMs))
		for i, start := range pool.StartsUnixMs {
			starts[i] = start - nowMS + d.monotonicMS()
		}
		history := new(pools.ArrivalHistory)
		history.RestoreRhythm(starts, pool.PeakMillis, d.monotonicMS())
		d.pools.arrivals[pool.Pool] = history
	}
	d.takeSlowness(learned.Vms, nowMS)
	event.LearnedTaken.Emit(event.F("age_ms", nowMS-learned.AtUnixMs), event.F("queues", len(learned.Queues)), event.F("pools", len(learned.Pools)), event.F("vms", len(learned.Vms)))
}

// takeSlowness takes over the slowness of targets that have not been restarted since.
func (d *Driver) takeSlowness(vms []*pb.LearnedVM, nowMS int64) {
	stored := make(map[string]*pb.LearnedVM, len(vms))
	for _, vm := range vms {
		stored[vm.Vm] = vm
	}
	for _, l := range d.links {
		vm := stored[l.target.Vm]
		if vm == nil || vm.BornUnixMs != l.target.BornUnixMs {
			continue
		}
		slowness := 1 + (vm.Slowness-1)*summary.Weight(nowMS-vm.LastUnixMs, slownessHalfLifeMS)
		l.health.startSlowness, l.health.reportSlowness, l.health.reportedSlow = slowness, slowness, slowness >= slowAt
		l.health.runs, l.health.lastMS = int(max(vm.Runs, 1)), vm.LastUnixMs
	}
}

// reasonOf returns the reason of an outcome, "" without one.
func reasonOf(out *workflow.Outcome) string {
	if out == nil {
		return ""
	}
	return out.Reason
}
