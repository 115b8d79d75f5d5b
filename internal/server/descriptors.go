package server

import (
	"math"
	"syscall"

	"sapphirering/internal/config"
	"sapphirering/internal/policy/targetcalls"
)

// descriptorLimit returns the number of files that this process may have open: the limit that the
// system reports, or a lower one that the settings state; 0 if neither is known.
func descriptorLimit(stated int) int {
	var limit syscall.Rlimit
	reported := 0
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		reported = int(min(limit.Cur, math.MaxInt32))
	}
	if stated > 0 && (reported == 0 || stated < reported) {
		return stated
	}
	return reported
}

// TargetConnections returns how many connections to targets a process with these settings can keep
// open; 0 if its limit of open files is not known.
func TargetConnections(s *config.RoleSettings) int {
	limit := descriptorLimit(s.Descriptors)
	if limit == 0 {
		return 0
	}
	return targetcalls.ConnectionsFor(uint64(limit))
}
