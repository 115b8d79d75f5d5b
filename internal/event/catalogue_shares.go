package event

import "github.com/apex/log"

// Events of sessions, shares and placement.
var (
	SessionClosed        = define(5050, log.InfoLevel, "session given back", "")
	SessionCloseFailed   = define(5051, log.WarnLevel, "session could not be given back, its reservations return after its expiry", "")
	JobTakenOver         = define(5052, log.InfoLevel, "running job attempt handed to another entry VM", "")
	JobPreempted         = define(5053, log.InfoLevel, "job asked to checkpoint and stop", "")
	JobCannotRun         = define(5054, log.WarnLevel, "job can never run as declared", "Correct what the queue or job needs, then submit it again.")
	WorkerExcluded       = define(5055, log.WarnLevel, "worker fails what it starts, excluded from placement", "Look at the worker; probes re-admit it.")
	ReleaseRequestFailed = define(5056, log.WarnLevel, "entry VM could not be asked to release units", "")
	StatePruned          = define(5057, log.InfoLevel, "old claims, operations and jobs forgotten", "")
)
