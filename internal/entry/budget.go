package entry

import "sync"

const (
	// retryShare is the part of a token that a success earns.
	retryShare = 0.2
	// maxRetryTokens bounds the retries that a team may save up.
	maxRetryTokens = 20.0
)

// retryBudget bounds the retries of each team to a share of its successes, so
// that retries never multiply the load of a pool that fails.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: make(map[string]float64)} }

// left returns the tokens of a team; a new team starts with a full budget.
func (b *retryBudget) left(team string) float64 {
	if tokens, ok := b.tokens[team]; ok {
		return tokens
	}
	return maxRetryTokens
}

// earn adds what one success of the team is worth.
func (b *retryBudget) earn(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[team] = min(maxRetryTokens, b.left(team)+retryShare)
}

// spend takes one retry; false when the team has none left.
func (b *retryBudget) spend(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.left(team)
	if tokens < 1 {
		return false
	}
	b.tokens[team] = tokens - 1
	return true
}
