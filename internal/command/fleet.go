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
	set.Uint64Var(&f.revision, "revision", 0, "`revision` that the change is based on; if not given, the one in force")
}

// baseRevision returns the revision of the flag, or else reads the one in force.
func (e *Env) baseRevision(read func() (uint64, error)) (uint64, error) {
	if e.fleet.revision != 0 {
		return e.fleet.revision, nil
	}
	return read()
}

// withRevision adds the -revision flag to the command that an error for a lost answer tells to
// repeat: its operation id is valid only together with the revision of the first attempt.
func withRevision(err error, revision uint64) error {
	if errors.Is(err, errUnknownOutcome) {
		return fmt.Errorf("%w -revision %d", err, revision)
	}
	return err
}

// splitList splits a flag's value at commas.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// formatUnixMSOrDash formats a time in Unix milliseconds; zero is "-".
func formatUnixMSOrDash(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// deadlineMS parses an RFC 3339 time or a duration from now, and returns Unix milliseconds;
// zero when the value is empty.
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
