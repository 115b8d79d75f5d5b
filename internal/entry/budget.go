package entry

import "sync"

const (
	// retryTokensPerSuccess is what one answered request adds to the team's tokens.
	retryTokensPerSuccess = 0.2
	// maxRetryTokens bounds the tokens of a team; each retry costs one.
	maxRetryTokens = 20.0
)

// retryBudget limits the retries of each team to a fraction of its answered
// requests, so that retries never multiply the load of a failing pool.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: make(map[string]float64)} }

// balance returns the tokens of a team; a new team starts with maxRetryTokens.
// The caller holds b.mu.
func (b *retryBudget) balance(team string) float64 {
	if tokens, ok := b.tokens[team]; ok {
		return tokens
	}
	return maxRetryTokens
}

// earn credits the team with one answered request.
func (b *retryBudget) earn(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[team] = min(maxRetryTokens, b.balance(team)+retryTokensPerSuccess)
}

// spend takes one token for a retry; it returns false if the team has none left.
func (b *retryBudget) spend(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(team)
	if tokens < 1 {
		return false
	}
	b.tokens[team] = tokens - 1
	return true
}
