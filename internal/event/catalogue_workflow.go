package event

import "github.com/apex/log"

// Events of jobs with steps, and of catalogues.
var (
	JobAccepted    = define(7001, log.InfoLevel, "job accepted", "")
	JobCancelled   = define(7002, log.InfoLevel, "job cancelled", "")
	JobUnplaceable = define(7003, log.WarnLevel, "job can never run, ended as failed", "Correct what the job needs, then submit it again.")
	JobWaits       = define(7005, log.InfoLevel, "tasks of a job wait to be placed", "")
	RequestRefused = define(7004, log.InfoLevel, "request refused, nothing was run", "")
	RequestUnknown = define(7006, log.InfoLevel, "outcome of a request is unknown, it may have been carried out", "")

	TasksStarted         = define(7008, log.InfoLevel, "tasks of a job placed, each as occurrence.step.index/attempt@target", "")
	TasksEnded           = define(7009, log.InfoLevel, "runs of a job ended, each as occurrence.step.index/attempt:end", "")
	StartRefused         = define(7010, log.InfoLevel, "planned start was refused when it was applied to the state", "")
	StartRefusedByTarget = define(7011, log.InfoLevel, "target refused a start", "")
	RunEndedUnlisted     = define(7012, log.InfoLevel, "run ended without a report from its target", "")
	UnplacedStopped      = define(7013, log.WarnLevel, "target runs a task that is not placed on it, the run is stopped", "")
	StartsUncommitted    = define(7014, log.WarnLevel, "planned starts could not be committed", "")
	EndsUncommitted      = define(7015, log.WarnLevel, "ends of runs or jobs, or removals of old jobs, could not be committed yet", "")
	RunStalled           = define(7017, log.InfoLevel, "run stopped for lack of progress, its task starts elsewhere", "")
	JobUsedUp            = define(7018, log.InfoLevel, "job ended as failed, its queue now allows no more attempts of a task", "")
	FillerPaceChanged    = define(7016, log.InfoLevel, "pace of a filler task changed", "")

	CatalogueAccepted = define(7020, log.InfoLevel, "catalogue accepted", "")
	CatalogueRefused  = define(7021, log.WarnLevel, "invalid catalogue refused", "Correct the catalogue and send it again.")
)

// Events of the driver and its targets.
var (
	DriverStarted        = define(7030, log.InfoLevel, "driver started, this daemon leads", "")
	DriverStopped        = define(7031, log.InfoLevel, "driver stopped, this daemon no longer leads", "")
	TargetFound          = define(7032, log.InfoLevel, "target announced itself to the leader", "")
	TargetRestarted      = define(7033, log.InfoLevel, "target was restarted as a new incarnation", "")
	IncarnationEnded     = define(7034, log.InfoLevel, "incarnation of a target has ended", "")
	TargetLeaves         = define(7035, log.InfoLevel, "target is leaving, no more tasks are started on it", "")
	TargetSilent         = define(7036, log.WarnLevel, "target gave no answer, no tasks are started on it until it answers", "")
	TargetAnswers        = define(7037, log.InfoLevel, "target answers again", "")
	CallLate             = define(7080, log.InfoLevel, "answer of a target is late, the call is sent again", "")
	ResendsSpent         = define(7081, log.InfoLevel, "call without an answer is not sent again at once, too many were", "")
	TargetExcluded       = define(7038, log.WarnLevel, "target fails the tasks placed on it, excluded from placement for a while", "Check the target's own log.")
	ListingRefused       = define(7039, log.WarnLevel, "target refused to list its runs", "")
	TargetDeregistered   = define(7091, log.InfoLevel, "target says that it ends", "")
	EndedIncarnationSeen = define(7090, log.WarnLevel, "incarnation of a target that was taken to have ended announces itself", "")
	LeaseSuspended       = define(7093, log.InfoLevel, "a silent target gets no leases, which is committed for later leaders", "")
	SilentTargetWaits    = define(7092, log.InfoLevel, "runs on a silent target count as running until its leases have certainly lapsed", "")
	LeaseLapsed          = define(7040, log.WarnLevel, "lease of a target without an answer has expired, its runs are lost", "")
	RegisterUncommitted  = define(7041, log.WarnLevel, "registration or removal of a target could not be committed", "")
)

// Events of maintenance waves, moves and pools of the platform's VMs.
var (
	WaveDeclared        = define(7050, log.InfoLevel, "maintenance wave declared", "")
	VMCordoned          = define(7051, log.InfoLevel, "VM cordoned, no tasks are started on it before its maintenance", "")
	MaintenanceAnswered = define(7052, log.InfoLevel, "platform answered a maintenance order", "")
	MaintenanceEnded    = define(7053, log.InfoLevel, "maintenance of a VM in a wave has ended", "")
	TargetSlowness      = define(7073, log.InfoLevel, "target has become slower than its peers, or is no longer slower", "")
	LateStartRefused    = define(7074, log.InfoLevel, "new incarnation of a target told to refuse a late start sent to the former one", "")
	CopyPlanned         = define(7075, log.InfoLevel, "second run of a task planned, its first run is slow or its target silent", "")
	TaskPreempted       = define(7076, log.InfoLevel, "task stopped to make room for a more urgent one", "")
	TaskSaved           = define(7077, log.InfoLevel, "task stopped to save its work before its target goes away", "")
	QueueOutcomes       = define(7078, log.InfoLevel, "outcomes of a queue's finished jobs", "")
	DriverRounds        = define(7079, log.InfoLevel, "durations of the rounds of the leader's driver", "")
	VMGone              = define(7071, log.WarnLevel, "VM of a wave no longer exists, it needs no maintenance", "")
	WaveStepFailed      = define(7054, log.WarnLevel, "step of a maintenance wave failed, retrying", "")
	VMMoveBegun         = define(7056, log.InfoLevel, "move of a VM to another pool ordered", "")
	VMMoveAnswered      = define(7057, log.InfoLevel, "platform answered a move order", "")
	PoolState           = define(7058, log.InfoLevel, "capacity that a pool has and needs", "")
	TaskEvacuated       = define(7059, log.InfoLevel, "lasting task stopped, it restarts elsewhere before the maintenance of its VM", "")
	AdviceTaken         = define(7042, log.InfoLevel, "advice service answered on the targets of a step", "")
	AdviceSilent        = define(7043, log.WarnLevel, "advice service gave no answer, the step waits", "Check the advice service.")
	PlatformSilent      = define(7055, log.WarnLevel, "platform gave no answer", "Check the platform.")
)

// Events of the core and edge roles.
var (
	RoleStarted     = define(7060, log.InfoLevel, "role started", "")
	PeersTrusted    = define(7061, log.WarnLevel, "links between daemons are not encrypted: trust_peer_network is set", "")
	ClusterFounded  = define(7062, log.InfoLevel, "new cluster founded, its first member list is written", "")
	VoterReplaced   = define(7063, log.WarnLevel, "lost voter removed from the member list", "")
	SettingsLoaded  = define(7064, log.InfoLevel, "settings loaded", "")
	SettingsInvalid = define(7065, log.ErrorLevel, "changed settings are invalid or unreadable, the former ones stay in force", "Correct the settings file.")
	LeaderLost      = define(7066, log.WarnLevel, "leader cannot be reached", "")
	LeaderFound     = define(7067, log.InfoLevel, "leader is reached again", "")
	BadInput        = define(7068, log.InfoLevel, "malformed or oversize input refused, or an answer could not be written", "")
	DiskFull        = define(7070, log.ErrorLevel, "disk is full, writing waits for free space", "Free space on the data folder's disk.")
	LinesDropped    = define(7069, log.WarnLevel, "log lines dropped, more were logged than the volume limit allows", "")
)
