package server

import (
	"syscall"

	"sapphirering/internal/policy/targetcalls"
)

// TargetConnections returns how many connections to targets this process can keep open, by its limit
// of open files; 0 if the limit is not known.
func TargetConnections() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return targetcalls.ConnectionsFor(limit.Cur)
}
