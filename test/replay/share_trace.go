// Package replay replays traces in virtual time through the policy packages and
// through a naive baseline, and compares the results. Replays of capacity and
// maintenance also use the state machine of the daemons.
package replay

import (
	"bytes"
	"fmt"
	"os"

	"gopkg.in/yaml.v3"
)

// ShareTrace is a recorded demand of teams on one pool, with the bounds of the outcome.
type ShareTrace struct {
	Name      string `yaml:"name"`
	Seed      int64  `yaml:"seed"`
	DurationS int    `yaml:"duration_s"`
	// WindowS is the length in seconds of the windows over which the distance from share is summed.
	WindowS int              `yaml:"window_s"`
	Workers ShareWorkers     `yaml:"workers"`
	Teams   []ShareTeam      `yaml:"teams"`
	Cancels []ShareCancel    `yaml:"cancels"`
	Expect  ShareExpectation `yaml:"expect"`
}

// ShareWorkers describes the pool.
type ShareWorkers struct {
	Count        int    `yaml:"count"`
	PerRack      int    `yaml:"per_rack"`
	Zones        int    `yaml:"zones"`
	Slots        uint64 `yaml:"slots"`
	Millicores   uint64 `yaml:"millicores"`
	MemoryMB     uint64 `yaml:"memory_mb"`
	Accelerators uint64 `yaml:"accelerators"`
	// AcceleratorWorkers is how many workers have accelerators.
	AcceleratorWorkers int `yaml:"accelerator_workers"`
	// BlackHoles is how many workers fail everything that they start.
	BlackHoles int `yaml:"black_holes"`
}

// ShareTeam is a group of equal teams.
type ShareTeam struct {
	Name       string `yaml:"name"`
	Count      int    `yaml:"count"`
	Weight     uint32 `yaml:"weight"`
	UpperLimit uint32 `yaml:"upper_limit"`
	// MeanUnits is the mean demand of one team, in units running at once.
	MeanUnits float64 `yaml:"mean_units"`
	// The demand is BurstFactor times the mean for BurstS of every PeriodS
	// seconds, and a twentieth of the mean otherwise. A factor of 1 or less means a
	// steady demand.
	BurstFactor float64 `yaml:"burst_factor"`
	BurstS      float64 `yaml:"burst_s"`
	PeriodS     float64 `yaml:"period_s"`
	OffsetS     float64 `yaml:"offset_s"`
	// WorkMS is the mean run time of long jobs, UrgentMS of urgent ones.
	WorkMS   float64 `yaml:"work_ms"`
	UrgentMS float64 `yaml:"urgent_ms"`
	// UrgentPart is the fraction of the jobs that are urgent.
	UrgentPart float64 `yaml:"urgent_part"`
	// Millicores is the CPU that a job uses. It declares DeclaredFactor times that.
	Millicores     float64 `yaml:"millicores"`
	DeclaredFactor float64 `yaml:"declared_factor"`
	Accelerators   uint64  `yaml:"accelerators"`
	// NeverPart is the fraction of the jobs that no worker can run.
	NeverPart float64 `yaml:"never_part"`
}

// ShareCancel cancels a fraction of a team's queued and running jobs at one time.
type ShareCancel struct {
	AtS  float64 `yaml:"at_s"`
	Team string  `yaml:"team"`
	Part float64 `yaml:"part"`
}

// ShareExpectation states the bounds of a trace's outcome.
type ShareExpectation struct {
	// MaxDistance bounds the distance from share.
	MaxDistance float64 `yaml:"max_distance"`
	// MaxOfNaive bounds the distance as a fraction of the baseline's; zero means no bound.
	MaxOfNaive float64 `yaml:"max_of_naive"`
	// MaxUrgentP99MS bounds the 99th percentile of the time until an urgent job starts.
	MaxUrgentP99MS float64 `yaml:"max_urgent_p99_ms"`
	// MaxLost bounds the jobs that used up their attempts although some worker could run them.
	MaxLost int `yaml:"max_lost"`
	// MinDoneOfNaive bounds the number of finished jobs as a fraction of the baseline's.
	MinDoneOfNaive float64 `yaml:"min_done_of_naive"`
}

// LoadShareTrace reads a trace; unknown fields are errors.
func LoadShareTrace(path string) (*ShareTrace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	trace := new(ShareTrace)
	if err := decoder.Decode(trace); err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return trace, nil
}
