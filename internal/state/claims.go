package state

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

const (
	// MaxKeptAnswerBytes is the largest answer that is stored for resends.
	MaxKeptAnswerBytes = 16 << 10
	// maxClaimTries limits how often one request id may be claimed again after
	// tries that ended as not run: the token of each ended try is stored.
	maxClaimTries = 64
)

// claimRequest grants the only run of a request id to one try of a session. After
// a try that provably did not run the request, another try may claim it.
func (m *Machine) claimRequest(c *statepb.ClaimRequest) *statepb.Outcome {
	claim := c.GetClaim()
	known := m.claims[claim.GetRequestId()]
	if refusal := m.checkSameRequest(known, claim); refusal != nil {
		return refusal
	}
	if known != nil && known.State != statepb.ClaimState_CLAIM_STATE_NOT_RUN {
		outcome := m.outcome(statepb.Code_CODE_EXISTS, "request %q is %s", claim.RequestId, known.State)
		outcome.Claim = known
		return outcome
	}
	if slices.Contains(known.GetEndedTokens(), claim.GetToken()) {
		// The command is a late duplicate, or was applied after the end of its try.
		return m.refused("the try to run request %q has ended", claim.RequestId)
	}
	if len(known.GetEndedTokens()) >= maxClaimTries {
		return m.refused("request %q was tried %d times; send it under a new id", claim.RequestId, maxClaimTries)
	}
	if err := checkClaimID(claim.GetRequestId(), m.nowMS); err != nil {
		return m.invalid("request id: %v", err)
	}
	if m.liveSession(claim.Session) == nil {
		return m.refused("session %q is not live", claim.Session)
	}
	stored := proto.CloneOf(claim)
	stored.ClaimedUnixMs = m.nowMS
	stored.State = statepb.ClaimState_CLAIM_STATE_RUNNING
	stored.EndedTokens = known.GetEndedTokens()
	m.claims[claim.RequestId] = stored
	return m.ok(m.index)
}

// checkSameRequest refuses an id that was used for another request. The answer
// of that request is not returned.
func (m *Machine) checkSameRequest(known, claim *statepb.Claim) *statepb.Outcome {
	if known == nil {
		return nil
	}
	if known.Team != claim.GetTeam() || known.Queue != claim.GetQueue() {
		return m.invalid("request id %q was used by another team or queue", claim.GetRequestId())
	}
	if !bytes.Equal(known.BodyHash, claim.GetBodyHash()) {
		return m.invalid("request id %q was used for another body", claim.GetRequestId())
	}
	return nil
}

// checkClaimID requires the canonical form of a UUIDv7: another spelling of the
// same id would be a separate claim.
func checkClaimID(id string, nowMS int64) error {
	parsed, err := uuid.Parse(id)
	if err == nil && parsed.String() != id {
		return fmt.Errorf("%q is not in the canonical form %q", id, parsed)
	}
	return checkAge(id, nowMS, ClaimWindow)
}

// endClaim records the outcome of a claim. Only the try that holds the claim may
// end it, and its first end is final. The end also replaces the state unknown that
// is set when a session is removed.
func (m *Machine) endClaim(c *statepb.EndClaim) *statepb.Outcome {
	claim := m.claims[c.RequestId]
	if claim == nil {
		return m.endBeforeClaim(c)
	}
	if slices.Contains(claim.EndedTokens, c.Token) {
		return m.ok(m.index)
	}
	if claim.Token != c.Token {
		return m.endOtherTry(claim, c)
	}
	if claim.Session != c.Session {
		return m.refused("claim %q is held by another session", c.RequestId)
	}
	if !endsClaim(c.State) {
		return m.invalid("state: %s does not end a claim", c.State)
	}
	if claim.State != statepb.ClaimState_CLAIM_STATE_RUNNING && claim.State != statepb.ClaimState_CLAIM_STATE_UNKNOWN {
		return m.ok(m.index)
	}
	m.claims[c.RequestId] = endedClaim(claim, c)
	return m.ok(m.index)
}

func endsClaim(state statepb.ClaimState) bool {
	return state == statepb.ClaimState_CLAIM_STATE_DONE || state == statepb.ClaimState_CLAIM_STATE_NOT_RUN ||
		state == statepb.ClaimState_CLAIM_STATE_UNKNOWN
}

func endedClaim(claim *statepb.Claim, c *statepb.EndClaim) *statepb.Claim {
	next := proto.CloneOf(claim)
	next.State, next.StatusCode = c.State, c.StatusCode
	if c.AnswerKept && len(c.Answer) <= MaxKeptAnswerBytes {
		next.Answer, next.AnswerKept, next.ContentType = c.Answer, true, c.ContentType
	}
	// The first end of a try is final, so that no later end reports work that may
	// have run as not run, which would allow another run.
	next.EndedTokens = append(next.EndedTokens, c.Token)
	return next
}

// endBeforeClaim records a try that ended as not run before its claim was
// committed, so that the claim is refused if it is committed later.
func (m *Machine) endBeforeClaim(c *statepb.EndClaim) *statepb.Outcome {
	if c.State != statepb.ClaimState_CLAIM_STATE_NOT_RUN || c.Claim.GetRequestId() != c.RequestId {
		return m.notFound("claim", c.RequestId)
	}
	if err := checkClaimID(c.RequestId, m.nowMS); err != nil {
		return m.invalid("request id: %v", err)
	}
	stored := proto.CloneOf(c.Claim)
	stored.ClaimedUnixMs = m.nowMS
	stored.State = statepb.ClaimState_CLAIM_STATE_NOT_RUN
	stored.EndedTokens = []string{c.Token}
	m.claims[c.RequestId] = stored
	return m.ok(m.index)
}

// endOtherTry records the end of a try while another try holds the claim. The end
// only ensures that the ended try can never hold it.
func (m *Machine) endOtherTry(claim *statepb.Claim, c *statepb.EndClaim) *statepb.Outcome {
	if c.State != statepb.ClaimState_CLAIM_STATE_NOT_RUN || len(claim.EndedTokens) >= maxClaimTries {
		return m.refused("claim %q is held by another try", c.RequestId)
	}
	next := proto.CloneOf(claim)
	next.EndedTokens = append(next.EndedTokens, c.Token)
	m.claims[c.RequestId] = next
	return m.ok(m.index)
}

// prunableClaim reports whether a claim may be removed. Its id must also be too
// old to be claimed again, since an id may be dated ahead of the claim.
func (m *Machine) prunableClaim(claim *statepb.Claim, beforeMS int64) bool {
	if claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING || claim.ClaimedUnixMs >= beforeMS {
		return false
	}
	at, err := IDTime(claim.RequestId)
	return err != nil || m.nowMS-at > ClaimWindow.Milliseconds()
}

// RunningClaims returns the running claims of a session, sorted by request id.
func (m *Machine) RunningClaims(session string) []*statepb.Claim {
	m.mu.RLock()
	defer m.mu.RUnlock()
	running := make(map[string]*statepb.Claim)
	for id, claim := range m.claims {
		if claim.Session == session && claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING {
			running[id] = claim
		}
	}
	return sorted(running)
}
