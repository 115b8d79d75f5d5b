package event

import "github.com/apex/log"

// Events of sessions, shares and job placement.
var (
	SessionClosed        = define(5050, log.InfoLevel, "session closed", "")
	SessionCloseFailed   = define(5051, log.WarnLevel, "session could not be closed, its units stay reserved until it expires", "")
	JobTakenOver         = define(5052, log.InfoLevel, "running job attempt taken over by another entry VM", "")
	JobPreempted         = define(5053, log.InfoLevel, "job preempted, it is asked to checkpoint and stop", "")
	JobCannotRun         = define(5054, log.WarnLevel, "job can never run as declared, removed from its queue", "Correct what the queue or job needs, then submit it again.")
	WorkerExcluded       = define(5055, log.WarnLevel, "worker fails the jobs placed on it, excluded from placement", "Check the worker; probes re-admit it.")
	ReleaseRequestFailed = define(5056, log.WarnLevel, "request to an entry VM to release units failed", "")
	StatePruned          = define(5057, log.InfoLevel, "old claims, operations and ended jobs removed", "")
)
