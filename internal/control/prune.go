package control

import (
	"context"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

const (
	pruneInterval = 10 * time.Minute
	// pruneMargin keeps outcomes longer than ids are accepted. Otherwise a
	// clock that is ahead could accept an id whose outcome is already pruned.
	pruneMargin = time.Hour
	// endedJobRetention is how long an ended job is remembered.
	endedJobRetention = 7 * 24 * time.Hour
)

// pruner holds the time of the last prune.
type pruner struct{ last time.Time }

// prune removes old claims, operations and ended jobs. Their age is counted
// from the newest committed time, not from this leader's clock.
func (m *Manager) prune(ctx context.Context) error {
	if now := m.cfg.Now(); !m.pruner.last.IsZero() && now.Sub(m.pruner.last) < pruneInterval {
		return nil
	}
	m.pruner.last = m.cfg.Now()
	now := m.cfg.Machine.NowMS()
	before := func(age time.Duration) int64 { return now - (age + pruneMargin).Milliseconds() }
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_Prune{Prune: &statepb.Prune{
		ClaimsBeforeUnixMs:     before(state.ClaimWindow),
		OperationsBeforeUnixMs: before(state.OperationWindow),
		JobsBeforeUnixMs:       before(endedJobRetention),
	}}})
	if err != nil {
		return fmt.Errorf("prune: %w", err)
	}
	event.StatePruned.Emit()
	return nil
}
