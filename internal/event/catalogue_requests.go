package event

import "github.com/apex/log"

// Events of requests, targets and shutdown.
var (
	TargetEjected     = define(4050, log.WarnLevel, "target fails far more often than its peers, ejected", "Check the target's own log; probes bring it back once it works.")
	TargetReadmitted  = define(4051, log.InfoLevel, "ejected target passed its probes, re-admitted", "")
	StaleIncarnation  = define(4052, log.WarnLevel, "announcement of an earlier incarnation ignored", "If it continues, look for two processes that announce the same VM name.")
	RegisterFailed    = define(4053, log.WarnLevel, "VM could not be registered", "Check that its pool exists.")
	ConnectionSilent  = define(4054, log.WarnLevel, "no data sent to or received from a target for too long, connection closed", "")
	ShutdownDraining  = define(4055, log.InfoLevel, "readiness withdrawn, waiting until the load balancer sends no more requests", "")
	ShutdownDrained   = define(4056, log.InfoLevel, "all requests in flight have finished, including forwarded ones", "")
	ConnectionRefused = define(4057, log.WarnLevel, "no memory or descriptor is left for a connection or a request, refused", "Add VMs, or find the caller that opens so many connections.")

	IntakeMemoryShort      = define(4058, log.WarnLevel, "memory for connections is short, the one that held most for longest without progress was closed", "Find the caller that sends incomplete requests; see 'Limits of connections' in OPERATIONS.md.")
	IntakeDescriptorsShort = define(4059, log.WarnLevel, "descriptors for connections are short, an idle or stalled connection was closed", "Find the caller that opens so many connections; see 'Limits of connections' in OPERATIONS.md.")
	IntakeTooSlow          = define(4060, log.WarnLevel, "header or body arrives too slowly, connection closed", "Check the caller and its network.")
	IntakeAnswerUnread     = define(4061, log.WarnLevel, "answer was not read in time, connection closed", "Check the caller and its network.")
)
