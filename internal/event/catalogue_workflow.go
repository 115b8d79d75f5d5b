package event

import "github.com/apex/log"

// Events of jobs of steps.
var (
	JobAccepted    = define(7001, log.InfoLevel, "job accepted", "")
	JobCancelled   = define(7002, log.InfoLevel, "job cancelled", "")
	JobUnplaceable = define(7003, log.WarnLevel, "job can never run, ended as failed", "Correct what the job needs, then submit it again.")
	JobWaits       = define(7005, log.InfoLevel, "tasks of a job wait", "")
	RequestRefused = define(7004, log.InfoLevel, "request refused, nothing was run", "")
	RequestUnknown = define(7006, log.InfoLevel, "request got no answer in time, it may have been carried out", "")

	TasksStarted         = define(7008, log.InfoLevel, "tasks of a job placed: occurrence.step.index/attempt@target", "")
	TasksEnded           = define(7009, log.InfoLevel, "runs of a job ended", "")
	StartRefused         = define(7010, log.InfoLevel, "start broke a rule when it was applied", "")
	StartRefusedByTarget = define(7011, log.InfoLevel, "target refused a start", "")
	RunEndedUnlisted     = define(7012, log.InfoLevel, "run ended without its target's word", "")
	UnplacedStopped      = define(7013, log.WarnLevel, "target runs a task that was not placed there, stopped", "")
	StartsUncommitted    = define(7014, log.WarnLevel, "starts could not be committed", "")
	EndsUncommitted      = define(7015, log.WarnLevel, "ends could not be committed yet", "")
	RunStalled           = define(7017, log.InfoLevel, "run without progress stopped, its task starts elsewhere", "")
	FillerPaceChanged    = define(7016, log.InfoLevel, "pace of a filling task changed", "")

	CatalogueAccepted = define(7020, log.InfoLevel, "catalogue accepted", "")
	CatalogueRefused  = define(7021, log.WarnLevel, "invalid catalogue refused", "Correct the catalogue and send it again.")
)

// Events of the driver and its targets.
var (
	DriverStarted       = define(7030, log.InfoLevel, "driver started with the leadership", "")
	DriverStopped       = define(7031, log.InfoLevel, "driver stopped with the leadership", "")
	TargetFound         = define(7032, log.InfoLevel, "target announced itself to the leader", "")
	TargetRestarted     = define(7033, log.InfoLevel, "target began a new incarnation", "")
	IncarnationEnded    = define(7034, log.InfoLevel, "incarnation of a target is over", "")
	TargetLeaves        = define(7035, log.InfoLevel, "target is leaving, it gets no starts", "")
	TargetSilent        = define(7036, log.WarnLevel, "target gave no answer, it gets no starts until it does", "")
	TargetAnswers       = define(7037, log.InfoLevel, "target answers again", "")
	TargetExcluded      = define(7038, log.WarnLevel, "target fails what it starts, excluded for a while", "Look at the target's own log.")
	ListingRefused      = define(7039, log.WarnLevel, "target refused to list its runs", "")
	LeaseLapsed         = define(7040, log.WarnLevel, "lease of a silent target has lapsed, its runs are over", "")
	RegisterUncommitted = define(7041, log.WarnLevel, "change of a target could not be committed", "")
)

// Events of waves on the platform's VMs.
var (
	WaveDeclared        = define(7050, log.InfoLevel, "maintenance wave declared", "")
	VMCordoned          = define(7051, log.InfoLevel, "VM gets no starts before its maintenance", "")
	MaintenanceAnswered = define(7052, log.InfoLevel, "platform answered an order for maintenance", "")
	MaintenanceEnded    = define(7053, log.InfoLevel, "maintenance of a VM is over for its wave", "")
	TargetSlowness      = define(7073, log.InfoLevel, "target works slower than its peers, or as they do again", "")
	LateStartRefused    = define(7074, log.InfoLevel, "new incarnation told to refuse a late start of the former one", "")
	CopyPlanned         = define(7075, log.InfoLevel, "second run of a task beside one that is late", "")
	TaskPreempted       = define(7076, log.InfoLevel, "task stopped to make room for one that is more urgent", "")
	TaskSaved           = define(7077, log.InfoLevel, "task stopped to save its work before its target goes", "")
	QueueOutcomes       = define(7078, log.InfoLevel, "what became of a queue's jobs that ended", "")
	DriverRounds        = define(7079, log.InfoLevel, "how long the leader's rounds took", "")
	VMGone              = define(7071, log.WarnLevel, "VM of a wave is gone for good, it needs no maintenance", "")
	WaveStepFailed      = define(7054, log.WarnLevel, "step of a wave failed, it is tried again", "")
	VMMoveBegun         = define(7056, log.InfoLevel, "VM is ordered to another pool", "")
	VMMoveAnswered      = define(7057, log.InfoLevel, "platform answered an order for a move", "")
	PoolState           = define(7058, log.InfoLevel, "what a pool has and needs", "")
	TaskEvacuated       = define(7059, log.InfoLevel, "lasting task stopped to start elsewhere before maintenance", "")
	AdviceTaken         = define(7042, log.InfoLevel, "advice on the targets of a step", "")
	AdviceSilent        = define(7043, log.WarnLevel, "advice gave no answer, the step waits", "Check the advice service.")
	PlatformSilent      = define(7055, log.WarnLevel, "platform gave no answer", "Check the platform.")
)

// Events of the core and edge roles.
var (
	RoleStarted     = define(7060, log.InfoLevel, "role started", "")
	PeersTrusted    = define(7061, log.WarnLevel, "links between daemons are not encrypted: the settings trust the peer network", "")
	ClusterFounded  = define(7062, log.InfoLevel, "founding member list written", "")
	VoterReplaced   = define(7063, log.WarnLevel, "lost voter taken out of the member list", "")
	SettingsLoaded  = define(7064, log.InfoLevel, "settings loaded", "")
	SettingsInvalid = define(7065, log.ErrorLevel, "changed settings are invalid, the former ones stay in force", "Correct the settings file.")
	LeaderLost      = define(7066, log.WarnLevel, "leader cannot be reached", "")
	LeaderFound     = define(7067, log.InfoLevel, "leader reached", "")
	BadInput        = define(7068, log.InfoLevel, "unreadable or oversize input refused", "")
	DiskFull        = define(7070, log.ErrorLevel, "disk takes no more bytes, writing waits", "Make room on the data folder's disk.")
	LinesDropped    = define(7069, log.WarnLevel, "log lines dropped above the volume bound", "")
)
