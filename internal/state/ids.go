package state

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// OperationWindow is how long the outcome of an operation is stored.
	OperationWindow = 24 * time.Hour
	// ClaimWindow is how long the outcome of a non-idempotent request is stored.
	ClaimWindow = time.Hour
	// maxIDSkew is how far ahead of the leader's clock an id may be dated.
	maxIDSkew = 5 * time.Minute
)

// IDTime returns the time that a UUIDv7 carries, in Unix milliseconds.
func IDTime(id string) (int64, error) {
	u, err := uuid.Parse(id)
	if err != nil {
		return 0, fmt.Errorf("id %q is not a UUID: %w", id, err)
	}
	if u.Version() != 7 {
		return 0, fmt.Errorf("id %q is a UUID of version %d, want 7", id, u.Version())
	}
	seconds, nanos := u.Time().UnixTime()
	return time.Unix(seconds, nanos).UnixMilli(), nil
}

// NewID returns a UUIDv7 for operations, requests and jobs.
func NewID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// checkOperationAge refuses an id whose first outcome may no longer be stored.
func checkOperationAge(id string, nowMS int64) error {
	return checkAge(id, nowMS, OperationWindow)
}

// checkAge refuses an id that is older than the window or dated too far ahead.
func checkAge(id string, nowMS int64, window time.Duration) error {
	at, err := IDTime(id)
	if err != nil {
		return err
	}
	if nowMS-at > window.Milliseconds() {
		return fmt.Errorf("id %q is older than the %s for which outcomes are kept", id, window)
	}
	if at-nowMS > maxIDSkew.Milliseconds() {
		return fmt.Errorf("id %q is dated more than %s ahead", id, maxIDSkew)
	}
	return nil
}
