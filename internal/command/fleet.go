package command

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"
)

// fleetFlags are the flags of commands about VMs, pools and waves.
type fleetFlags struct {
	revision uint64
	reason   string

	pools, racks, zones string
	due                 time.Duration
	canary              uint
	maxParallel         uint
	stopAfter           uint
	deadline            string
	action              string
	cycle               time.Duration
	force               bool
}

// revisionFlag adds -revision.
func revisionFlag(set *flag.FlagSet, f *fleetFlags) {
	set.Uint64Var(&f.revision, "revision", 0, "`revision` that the change is based on; the one in force when not given")
}

// baseRevision returns the revision given, or reads the one in force.
func (e *Env) baseRevision(read func() (uint64, error)) (uint64, error) {
	if e.fleet.revision != 0 {
		return e.fleet.revision, nil
	}
	return read()
}

// withRevision tells how to finish a command whose answer was lost: its
// operation id counts only together with the revision of the first try.
func withRevision(err error, revision uint64) error {
	if errors.Is(err, errUnknownOutcome) {
		return fmt.Errorf("%w -revision %d", err, revision)
	}
	return err
}

// list splits a flag's value at commas.
func list(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// stamp prints a time in Unix milliseconds, or "-".
func stamp(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// deadlineMS reads a time of day or a duration from now; zero when empty.
func deadlineMS(value string, now time.Time) (int64, error) {
	if value == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(value); err == nil {
		return now.Add(d).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return 0, fmt.Errorf("%w: -deadline: %q is neither a duration such as 4h nor a time such as 2026-01-31T04:00:00Z", errUsage, value)
	}
	return at.UnixMilli(), nil
}
