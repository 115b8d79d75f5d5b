package event

import "github.com/apex/log"

// Events of the start and stop of a daemon.
var (
	DaemonStarted      = define(1001, log.InfoLevel, "daemon started", "")
	DaemonStopping     = define(1002, log.InfoLevel, "daemon is shutting down", "")
	DaemonStopped      = define(1003, log.InfoLevel, "daemon stopped", "")
	ShutdownIncomplete = define(1004, log.WarnLevel, "shutdown deadline reached before all requests finished", "Raise shutdown_timeout above the longest request deadline.")
	StorageFailed      = define(1005, log.ErrorLevel, "storage failed, the daemon stops", "Replace the disk, then follow 'replace a voter' in the runbook.")
	ClusterCreated     = define(1006, log.InfoLevel, "new cluster bootstrapped", "")
	IdentityCreated    = define(1007, log.InfoLevel, "data folder is empty, a new member identity was created", "If this VM was a voter, follow 'replace a voter' in the runbook.")
	ClockSkewed        = define(1009, log.WarnLevel, "clock of this VM differs from those of the other daemons", "Correct the VM's clock; until then commands are stamped with the median of the clocks.")
	ListenerFailed     = define(1008, log.ErrorLevel, "listener failed", "Check the listen addresses in the settings.")
	SnapshotNotSaved   = define(1020, log.WarnLevel, "snapshot could not be saved, it is taken again later and the log is kept until then", "If it repeats, check the free file descriptors of the process and its disk.")
	NoDescriptors      = define(1021, log.WarnLevel, "no free file descriptor, the step is tried again", "Raise the limit of open files of the process, or find who holds the connections.")
)

// Events of consensus and membership.
var (
	LeaderChanged        = define(2001, log.InfoLevel, "leader changed", "")
	MembershipApplied    = define(2002, log.InfoLevel, "member list applied", "")
	JoinFailed           = define(2003, log.WarnLevel, "attempt to join the cluster failed, retrying", "Check the seeds in the settings and the network to the other daemons.")
	WrongCluster         = define(2004, log.ErrorLevel, "peer belongs to another cluster, stream refused", "Check the peer's settings and data folder.")
	WrongMember          = define(2005, log.WarnLevel, "stream is addressed to another member, refused", "The VM at this address has a new identity; remove the old member.")
	MemberAdded          = define(2006, log.InfoLevel, "member joined as learner", "")
	VoterPromoted        = define(2007, log.InfoLevel, "member promoted to voter", "")
	MemberRemoved        = define(2008, log.InfoLevel, "member removed", "")
	RemovedMemberRejoins = define(2010, log.WarnLevel, "member was removed while it was away, it deletes its log and joins again", "")
	VoterDemoted         = define(2011, log.InfoLevel, "voter made a learner", "")
	ClusterRecovered     = define(2009, log.WarnLevel, "data folder recovered as the only voter of a new cluster", "Wipe the former members' data folders and let them join.")
)

// Events of sessions and reservations.
var (
	SessionOpened         = define(3001, log.InfoLevel, "session opened", "")
	SessionLost           = define(3002, log.WarnLevel, "session lease expired, work submitted with a team's key is refused", "Check the links to the leader.")
	SessionExpired        = define(3003, log.WarnLevel, "leader marked a session as expired", "")
	SessionReclaimed      = define(3004, log.InfoLevel, "expired session removed", "")
	ReservationsReclaimed = define(3006, log.InfoLevel, "units reserved by an expired session reclaimed", "")
	ReserveFailed         = define(3005, log.WarnLevel, "change of a reservation could not be committed", "")
)

// Events of requests and targets.
var (
	TargetSeen     = define(4001, log.InfoLevel, "target began to announce itself, or has a new incarnation", "")
	TargetLost     = define(4002, log.WarnLevel, "target stopped announcing itself", "")
	TargetLeaving  = define(4003, log.InfoLevel, "target is leaving, it gets no new requests", "")
	AnswerDropped  = define(4004, log.WarnLevel, "answer of a target dropped: late, truncated, too large or for another request", "")
	ClaimEndFailed = define(4005, log.WarnLevel, "outcome of a claimed request could not be recorded", "")
)

// Events of jobs.
var (
	JobStarted      = define(5001, log.InfoLevel, "job attempt started", "")
	JobEnded        = define(5002, log.InfoLevel, "job attempt ended", "")
	JobStartFailed  = define(5003, log.WarnLevel, "job attempt could not be started", "")
	JobReportFailed = define(5004, log.WarnLevel, "end of a job attempt could not be recorded yet, retrying", "")
)

// Events of the leader's control loops.
var (
	ControlStarted = define(6001, log.InfoLevel, "control loops started", "")
	ControlStopped = define(6002, log.InfoLevel, "control loops stopped", "")
	ControlFailed  = define(6003, log.WarnLevel, "step of a control loop failed, retrying", "")
)
