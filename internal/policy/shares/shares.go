// Package shares decides which jobs are within the rate of their workspace. It has no side
// effects and reads no clock. It is made for workspaces that send several times their usual
// number of jobs for some seconds into a pool that is full: their additional jobs wait, and not
// those of all workspaces.
package shares

import "math"

// MaxWeight is the largest weight that is used as it is, in jobs per second. It is far above what
// one leader commits, and keeps the arithmetic of buckets within 64 bits.
const MaxWeight = 1e9

const (
	// tokensPerJob is the number of tokens that one job takes. Tokens are integers since
	// floating-point sums may differ between processor architectures, and all replicas must
	// come to the same result.
	tokensPerJob = 1_000_000_000
	// burstMS is the time for which a bucket holds the jobs of its rate.
	burstMS = 1000
)

// Bucket is the token bucket of one workspace.
type Bucket struct {
	// Tokens are the tokens that were in the bucket at Unix time AtMS in milliseconds.
	Tokens, AtMS int64
}

// tokensPerMS returns the tokens that a weight adds in a millisecond; 0 if it states no rate.
func tokensPerMS(weight float64) int64 {
	if !(weight > 0) {
		return 0
	}
	return max(int64(math.Round(min(weight, MaxWeight)*(tokensPerJob/1000))), 1)
}

// Full returns the bucket of a workspace that has submitted nothing lately.
func Full(weight float64, nowMS int64) Bucket {
	return Bucket{Tokens: max(tokensPerMS(weight)*burstMS, tokensPerJob), AtMS: nowMS}
}

// Take takes the tokens of one job and reports whether the job is within the rate; if not, nothing
// is taken. The bucket fills at weight jobs a second and holds those of one second, at least one job.
// A weight that is not above 0 states no rate: each job is within it.
func (b *Bucket) Take(weight float64, nowMS int64) bool {
	rate := tokensPerMS(weight)
	if rate == 0 {
		return true
	}
	full := Full(weight, nowMS)
	b.Tokens = min(max(b.Tokens, 0), full.Tokens)
	if elapsed := max(nowMS-b.AtMS, 0); elapsed > (full.Tokens-b.Tokens)/rate {
		b.Tokens = full.Tokens
	} else {
		b.Tokens += elapsed * rate
	}
	b.AtMS = max(b.AtMS, nowMS)
	if b.Tokens < tokensPerJob {
		return false
	}
	b.Tokens -= tokensPerJob
	return true
}
