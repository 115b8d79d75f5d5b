package main

import (
	"fmt"
	"io"
	"time"

	"sapphirering/internal/target"
)

// Budgets that users set for the target size.
const (
	budgetCorePercent = 1.2
	budgetMemoryMB    = 128.0
	budgetKBps        = 28.0
	budgetInForce     = 16 * time.Second
	changesPerDay     = 550
	secondsPerDay     = 86_400
)

// costMeasure is one quantity of a cost with its budget.
type costMeasure struct {
	name    string
	budget  float64
	valueOf func(cost) float64
}

var measures = []costMeasure{
	{"core, %", budgetCorePercent, func(c cost) float64 { return c.corePercent }},
	{"memory, MB", budgetMemoryMB, func(c cost) float64 { return c.memoryMB }},
	{"read, KB/s", budgetKBps, func(c cost) float64 { return c.readKBps }},
	{"written, KB/s", budgetKBps, func(c cost) float64 { return c.writtenKBps }},
	{"read and written, KB/s", budgetKBps, func(c cost) float64 { return c.readKBps + c.writtenKBps }},
}

// report prints the tables and returns how many budgets are exceeded at the last size.
func report(out io.Writer, o options, samples []sample, changes changeCost, tool toolCost) (missed int) {
	interval := o.announce
	if interval == 0 {
		interval = target.AnnounceInterval
	}
	procs := "all cores of this machine"
	if o.procs > 0 {
		procs = fmt.Sprintf("%d cores each", o.procs)
	}
	fmt.Fprintf(out, "%d daemons in %d zones on %s, announcements every %s, windows of %s\n\n",
		o.daemons, o.zones, procs, interval, o.window)
	printSamples(out, samples)
	printSlopes(out, samples)
	missed = printBudgets(out, samples)
	fmt.Fprintf(out, "\nOne change costs, in processor milliseconds:")
	for _, r := range roles {
		fmt.Fprintf(out, " %s %.2f (%.4f %% of a core at %d a day);", r, changes[r], changes[r]/1000*changesPerDay/secondsPerDay*100, changesPerDay)
	}
	fmt.Fprintf(out, "\n\nOperator tool, `vm list`: %s of processor time, %.0f MB\n", tool.cpu.Round(time.Millisecond), tool.memoryMB)
	return missed
}

func printSamples(out io.Writer, samples []sample) {
	fmt.Fprintln(out, "| workers | teams | pools | role | core, % | memory, MB | read, KB/s | written, KB/s | commits/s | in force, worst of 3 | worker, KB/s | failed announcements | yardstick, ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range samples {
		for _, r := range roles {
			c, ok := s.costs[r]
			if !ok {
				continue
			}
			fmt.Fprintf(out, "| %d | %d | %d | %s | %.2f | %.1f | %.1f | %.1f | %.2f | %s | %.2f | %d | %.1f |\n",
				s.size.targets, s.size.teams, s.size.pools, r, c.corePercent, c.memoryMB, c.readKBps, c.writtenKBps,
				s.commits, s.inForce.Round(time.Millisecond), s.workerKBps, s.failedAnnouncements,
				float64(s.yardstick.Microseconds())/1000)
		}
	}
}

func printSlopes(out io.Writer, samples []sample) {
	fmt.Fprintln(out, "\n| role | measure | fixed | per 100 workers | per 100 teams | per 10 pools |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, r := range roles {
		for _, m := range measures[:len(measures)-1] {
			sizes, values := series(samples, r, m)
			if s, ok := fit(sizes, values); ok {
				fmt.Fprintf(out, "| %s | %s | %.2f | %.3f | %.3f | %.3f |\n",
					r, m.name, s.fixed, s.perTarget*100, s.perTeam*100, s.perPool*10)
			}
		}
	}
}

func series(samples []sample, r role, m costMeasure) (sizes []size, values []float64) {
	for _, s := range samples {
		if c, ok := s.costs[r]; ok {
			sizes = append(sizes, s.size)
			values = append(values, m.valueOf(c))
		}
	}
	return sizes, values
}

func printBudgets(out io.Writer, samples []sample) (missed int) {
	last := samples[len(samples)-1]
	fmt.Fprintf(out, "\nAt %d workers, %d teams, %d pools:\n\n", last.size.targets, last.size.teams, last.size.pools)
	fmt.Fprintln(out, "| role | measure | measured | on the slope | budget | |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	verdict := func(ok bool) string {
		if ok {
			return "met"
		}
		missed++
		return "MISSED"
	}
	for _, r := range roles {
		c, ok := last.costs[r]
		if !ok {
			continue
		}
		for _, m := range measures {
			onSlope := "-"
			if s, ok := fit(series(samples, r, m)); ok {
				onSlope = fmt.Sprintf("%.2f", s.valueAt(last.size))
			}
			fmt.Fprintf(out, "| %s | %s | %.2f | %s | %.1f | %s |\n",
				r, m.name, m.valueOf(c), onSlope, m.budget, verdict(m.valueOf(c) <= m.budget))
		}
	}
	fmt.Fprintf(out, "| all | in force | %s | - | %s | %s |\n",
		last.inForce.Round(time.Millisecond), budgetInForce, verdict(last.inForce <= budgetInForce))
	fmt.Fprintf(out, "| worker | sent and received, KB/s | %.2f | - | %.1f | %s |\n",
		last.workerKBps, budgetKBps, verdict(last.workerKBps <= budgetKBps))
	return missed
}
