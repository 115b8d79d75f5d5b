package state

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

// claimRequest gives the only run of a request id to a session. A claim that
// ended as provably not run may be taken again.
func (m *Machine) claimRequest(c *statepb.ClaimRequest) *statepb.Outcome {
	claim := c.GetClaim()
	known := m.claims[claim.GetRequestId()]
	if known != nil && !bytes.Equal(known.BodyHash, claim.BodyHash) {
		return m.invalid("request id %q was used for another body", claim.RequestId)
	}
	if known != nil && (known.Team != claim.Team || known.Queue != claim.Queue) {
		return m.invalid("request id %q was used by another team or queue", claim.RequestId)
	}
	if known != nil && known.State != statepb.ClaimState_CLAIM_STATE_NOT_RUN {
		outcome := m.outcome(statepb.Code_CODE_EXISTS, "request %q is %s", claim.RequestId, known.State)
		outcome.Claim = known
		return outcome
	}
	if err := checkAge(claim.GetRequestId(), m.nowMS, ClaimWindow); err != nil {
		return m.invalid("request id: %v", err)
	}
	if m.liveSession(claim.Session) == nil {
		return m.refused("session %q is not live", claim.Session)
	}
	stored := proto.CloneOf(claim)
	stored.ClaimedUnixMs = m.nowMS
	stored.State = statepb.ClaimState_CLAIM_STATE_RUNNING
	m.claims[claim.RequestId] = stored
	return m.ok(m.index)
}

// endClaim records the outcome. Only the try that holds the claim may end
// it; a resent end finds the recorded one.
func (m *Machine) endClaim(c *statepb.EndClaim) *statepb.Outcome {
	claim := m.claims[c.RequestId]
	if claim == nil {
		return m.notFound("claim", c.RequestId)
	}
	if claim.Session != c.Session || claim.Token != c.Token {
		return m.refused("claim %q is held by another session or try", c.RequestId)
	}
	if claim.State != statepb.ClaimState_CLAIM_STATE_RUNNING {
		return m.ok(m.index)
	}
	if c.State == statepb.ClaimState_CLAIM_STATE_RUNNING || c.State == statepb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return m.invalid("state: %s does not end a claim", c.State)
	}
	next := proto.CloneOf(claim)
	next.State, next.StatusCode = c.State, c.StatusCode
	next.Answer, next.AnswerKept = c.Answer, c.AnswerKept
	m.claims[c.RequestId] = next
	return m.ok(m.index)
}
