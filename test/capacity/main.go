// Command capacity measures the cost of the system per role as it grows: it starts
// daemons as processes on loopback, announces simulated workers, raises the number of
// workers, pools and teams one at a time, reads processor time, memory and bytes of each
// daemon from /proc, fits slopes, and prints Markdown tables with the budgets.
//
// Usage, from the root of the module: go run ./test/capacity [-short]
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// size is the number of workers, teams and pools at one measurement.
type size struct {
	targets, teams, pools int
}

// options are the settings of one run.
type options struct {
	daemons, zones int
	announce       time.Duration
	settle, window time.Duration
	sizes          []size
	// procs is GOMAXPROCS of the daemons; 0 means the default of the machine.
	procs int
	check bool
}

// fullSizes raise one number at a time, so that the fit gives each its own slope.
// The last size is the one for which the budgets are set.
var fullSizes = []size{{50, 5, 5}, {290, 5, 5}, {530, 5, 5}, {530, 5, 83}, {530, 170, 83}, {530, 340, 83}}

var shortSizes = []size{{50, 5, 5}, {150, 5, 5}, {150, 5, 20}, {150, 50, 20}}

func main() {
	log.SetHandler(discard.New())
	var o options
	short := flag.Bool("short", false, "measure small sizes in under a minute")
	sizes := flag.String("sizes", "", "`workers/teams/pools`, separated by commas, instead of the usual sizes")
	flag.IntVar(&o.daemons, "daemons", 7, "number of entry VMs")
	flag.IntVar(&o.zones, "zones", 7, "number of availability zones")
	flag.DurationVar(&o.announce, "announce", 0, "time between announcements of a worker; 0 for the protocol's own")
	flag.IntVar(&o.procs, "procs", 0, "cores that each daemon uses (GOMAXPROCS), as on a small VM; 0 for all of this machine")
	flag.BoolVar(&o.check, "check", false, "exit with 1 when a budget is missed at the last size")
	flag.Parse()
	o.settle, o.window, o.sizes = 3*time.Second, 10*time.Second, fullSizes
	if *short {
		o.settle, o.window, o.sizes = time.Second, 3*time.Second, shortSizes
	}
	err := parseSizes(*sizes, &o.sizes)
	missed := 0
	if err == nil {
		missed, err = run(o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	if o.check && missed > 0 {
		os.Exit(1)
	}
}

// parseSizes replaces the sizes by those in text. No number may be lower than in the size before.
func parseSizes(text string, into *[]size) error {
	if text == "" {
		return nil
	}
	*into = nil
	last := size{}
	for _, part := range strings.Split(text, ",") {
		var s size
		if _, err := fmt.Sscanf(part, "%d/%d/%d", &s.targets, &s.teams, &s.pools); err != nil {
			return fmt.Errorf("-sizes: %q is not workers/teams/pools: %w", part, err)
		}
		if s.targets < max(1, last.targets) || s.teams < max(1, last.teams) || s.pools < max(1, last.pools) {
			return fmt.Errorf("-sizes: %q is smaller than the size before it", part)
		}
		*into = append(*into, s)
		last = s
	}
	return nil
}

// run measures every size on one growing cluster and prints the report.
func run(o options) (missed int, err error) {
	folder, err := os.MkdirTemp("", "sapphirering-capacity")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	c, err := startCluster(folder, o.daemons, o.zones, o.procs)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	fleet := newFleet(c, o.announce)
	defer fleet.stop()
	var samples []sample
	for _, s := range o.sizes {
		if err := c.grow(s); err != nil {
			return 0, err
		}
		if err := fleet.grow(s.targets, s.pools); err != nil {
			return 0, err
		}
		sampled, err := measure(c, fleet, s, o)
		if err != nil {
			return 0, err
		}
		samples = append(samples, sampled)
	}
	changes, err := measureChanges(c)
	if err != nil {
		return 0, err
	}
	tool, err := measureTool(c)
	if err != nil {
		return 0, err
	}
	return report(os.Stdout, o, samples, changes, tool), nil
}
