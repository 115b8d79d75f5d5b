package event

import "github.com/apex/log"

// Events of operators' commands.
var (
	OperatorCommand        = define(1050, log.InfoLevel, "operator command decided, 'code' is its result", "")
	OperatorKeyUnknown     = define(1051, log.WarnLevel, "request with an unknown operator key refused", "If this repeats, follow 'key leak' in the runbook.")
	OperatorOutcomeUnknown = define(1052, log.WarnLevel, "outcome of an operator command is unknown", "Resend it with the same operation id.")
	MetricsFailed          = define(1053, log.WarnLevel, "metrics could not be written", "")
)
