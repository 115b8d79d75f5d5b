package event

import "github.com/apex/log"

// Events of requests, targets and shutdown.
var (
	TargetEjected     = define(4050, log.WarnLevel, "target fails far more than its peers, ejected", "Look at the target's own log; probes bring it back once it works.")
	TargetReadmitted  = define(4051, log.InfoLevel, "ejected target passed its probes, re-admitted", "")
	StaleIncarnation  = define(4052, log.WarnLevel, "announcement of an earlier incarnation ignored", "If it goes on, two processes announce the same VM name.")
	RegisterFailed    = define(4053, log.WarnLevel, "VM could not be registered", "Check that its pool exists.")
	ConnectionSilent  = define(4054, log.WarnLevel, "connection to a target went silent, closed", "")
	ShutdownDraining  = define(4055, log.InfoLevel, "not ready any more, waiting for the balancer to leave", "")
	ShutdownDrained   = define(4056, log.InfoLevel, "requests and forwards in flight are finished", "")
	ConnectionRefused = define(4057, log.WarnLevel, "connection limit of a listener reached", "Raise the number of entry VMs or find the caller that opens them.")
)
