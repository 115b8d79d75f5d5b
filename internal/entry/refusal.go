// Package entry is the callers' HTTP interface of an entry VM: it authenticates,
// admits, queues and dispatches requests, and accepts durable jobs.
package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome carries the outcome of the request in the response.
const HeaderOutcome = "Sapphirering-Outcome"

// HeaderRepeatable is "no" on requests that may run at most once.
const HeaderRepeatable = "Sapphirering-Repeatable"

// Outcomes of a request.
const (
	// OutcomeAnswered comes with the target's whole answer.
	OutcomeAnswered = "answered"
	// OutcomeNotRun means that the work did not run.
	OutcomeNotRun = "not-run"
	// OutcomeRunning means that an earlier submission is still running.
	OutcomeRunning = "running"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown = "unknown"
)

// Refusal is the body of every response that is not a target's answer.
type Refusal struct {
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	// Reason is a stable code for programs, one of the Reason constants.
	Reason string `json:"reason"`
	// Message is an explanation for people.
	Message string `json:"message"`

	status     int
	retryAfter time.Duration
}

// Stable reasons of refusals.
const (
	ReasonUnknownQueue = "unknown-queue"
	ReasonUnknownKey   = "unknown-key"
	ReasonNotAdmitted  = "not-admitted"
	ReasonBadRequest   = "bad-request"
	ReasonTooLarge     = "too-large"
	ReasonCutOff       = "cut-off"
	ReasonOverload     = "overload"
	ReasonDeadline     = "deadline"
	ReasonNoTarget     = "no-target"
	ReasonShutdown     = "shutdown"
	ReasonStarting     = "starting"
	ReasonClaim        = "claim"
	ReasonLost         = "lost"
)

const defaultRetryAfter = 1 * time.Second

func refuse(status int, reason, message string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Message: message, status: status, retryAfter: defaultRetryAfter}
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return r.Reason + ": " + r.Message }

// write sends the refusal. Retry-After is set where a later try may succeed.
func (r *Refusal) write(w http.ResponseWriter, id string) {
	r.RequestID = id
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, r.Outcome)
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(r.retryAfter.Seconds())))))
	}
	w.WriteHeader(r.status)
	json.NewEncoder(w).Encode(r)
}
