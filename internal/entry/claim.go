package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	// maxKeptAnswerBytes bounds an answer that is kept for resends.
	maxKeptAnswerBytes = 16 << 10
	endClaimTimeout    = 10 * time.Second
	endClaimPause      = 200 * time.Millisecond
)

// runClaimed runs a request that may run at most once. The claim is committed
// before anything is sent: after a crash in between, the claim stays and a
// resend never runs a second time.
func (s *Server) runClaimed(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	session, live := s.cfg.Holder.Session()
	if !live {
		return nil, refuse(http.StatusServiceUnavailable, ReasonCutOff, "this availability zone is cut off: the request cannot be claimed")
	}
	claim := &statepb.Claim{
		RequestId: req.id, Team: req.team, Queue: req.queue.Name, Session: session,
		BodyHash: bodyHash(req.body), Token: state.NewID(),
	}
	outcome, err := s.cfg.Proposer.Propose(ctx, &statepb.Command{
		Body: &statepb.Command_ClaimRequest{ClaimRequest: &statepb.ClaimRequest{Claim: claim}},
	})
	if err != nil {
		// The claim may be committed, but this daemon never dispatches under it.
		go s.endClaim(claim, &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN})
		return nil, refuse(http.StatusServiceUnavailable, ReasonClaim, fmt.Sprintf("claim request: %v", err))
	}
	if refusal := claimRefusal(outcome); refusal != nil {
		return nil, refusal
	}
	if outcome.Code == statepb.Code_CODE_EXISTS && outcome.Claim.GetToken() != claim.Token {
		return recorded(outcome.Claim)
	}
	answer, refusal := s.run(ctx, req)
	s.endClaim(claim, claimEnd(answer, refusal))
	return answer, refusal
}

func claimRefusal(outcome *statepb.Outcome) *Refusal {
	switch outcome.Code {
	case statepb.Code_CODE_OK, statepb.Code_CODE_EXISTS:
		return nil
	case statepb.Code_CODE_INVALID:
		return refuse(http.StatusBadRequest, ReasonClaim, outcome.Message)
	}
	return refuse(http.StatusServiceUnavailable, ReasonClaim, outcome.Message)
}

// recorded answers a resend from the claim.
func recorded(claim *statepb.Claim) (*target.Answer, *Refusal) {
	switch {
	case claim.State == statepb.ClaimState_CLAIM_STATE_DONE && claim.AnswerKept:
		return &target.Answer{StatusCode: int(claim.StatusCode), Body: claim.Answer}, nil
	case claim.State == statepb.ClaimState_CLAIM_STATE_DONE:
		refusal := refuse(http.StatusConflict, ReasonClaim, fmt.Sprintf("the request ran and was answered with status %d; the answer is not kept", claim.StatusCode))
		refusal.Outcome = OutcomeAnswered
		return nil, refusal
	case claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING:
		refusal := refuse(http.StatusConflict, ReasonClaim, "the request is running")
		refusal.Outcome = OutcomeRunning
		return nil, refusal
	}
	refusal := refuse(http.StatusConflict, ReasonClaim, "the request may have run; it never runs again")
	refusal.Outcome = OutcomeUnknown
	return nil, refusal
}

func claimEnd(answer *target.Answer, refusal *Refusal) *statepb.EndClaim {
	if answer != nil {
		end := &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_DONE, StatusCode: uint32(answer.StatusCode)}
		if len(answer.Body) <= maxKeptAnswerBytes {
			end.Answer, end.AnswerKept = answer.Body, true
		}
		return end
	}
	if refusal.Outcome == OutcomeNotRun {
		return &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN}
	}
	return &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_UNKNOWN}
}

// endClaim records the outcome, trying again until it is committed or given up.
func (s *Server) endClaim(claim *statepb.Claim, end *statepb.EndClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), endClaimTimeout)
	defer cancel()
	end.RequestId, end.Session, end.Token = claim.RequestId, claim.Session, claim.Token
	for {
		_, err := s.cfg.Proposer.Propose(ctx, &statepb.Command{Body: &statepb.Command_EndClaim{EndClaim: end}})
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			event.ClaimEndFailed.Emit(event.F("request", claim.RequestId), event.Err(err))
			return
		}
		time.Sleep(endClaimPause)
	}
}
