package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	// endClaimWait is how long an answer waits for its outcome to be committed.
	// After it the caller gets the answer and the commit goes on in the background.
	endClaimWait       = 500 * time.Millisecond
	endClaimTryTimeout = 5 * time.Second
	endClaimRetryDelay = 200 * time.Millisecond
	// endClaimTimeout bounds the tries to commit an outcome. After it the claim
	// stays running until its session is reclaimed, which makes it unknown.
	endClaimTimeout = 2 * time.Minute
)

// runClaimed runs a request that may run at most once. The claim is committed
// before anything is sent to a target: after a crash in between, the claim
// remains and a resend never runs the request a second time.
func (s *Server) runClaimed(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	session, live := s.cfg.Holder.Session()
	if !live {
		return nil, refuse(http.StatusServiceUnavailable, ReasonCutOff, "this availability zone is cut off: the request cannot be claimed")
	}
	claim := &statepb.Claim{
		RequestId: req.id, Team: req.team, Queue: req.queue.Name, Session: session,
		BodyHash: bodyHash(req.body), Token: state.NewID(),
	}
	defer s.activeClaims.add(claim.Token)()
	outcome, err := s.cfg.Proposer.Propose(ctx, &statepb.Command{
		Body: &statepb.Command_ClaimRequest{ClaimRequest: &statepb.ClaimRequest{Claim: claim}},
	})
	if err != nil {
		// The claim may still be committed, but this daemon sends nothing under it.
		s.startEndClaim(claim, &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN})
		return nil, refuse(http.StatusServiceUnavailable, ReasonClaim, fmt.Sprintf("claim request: %v", err))
	}
	if refusal := claimRefusal(outcome); refusal != nil {
		return nil, refusal
	}
	if outcome.Code == statepb.Code_CODE_EXISTS && outcome.Claim.GetToken() != claim.Token {
		return answerFromClaim(outcome.Claim)
	}
	answer, refusal := s.runTries(ctx, req)
	s.endClaimAndWait(claim, newEndClaim(answer, refusal))
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

// answerFromClaim answers a resend from the claim of the first submission.
func answerFromClaim(claim *statepb.Claim) (*target.Answer, *Refusal) {
	switch {
	case claim.State == statepb.ClaimState_CLAIM_STATE_DONE && claim.AnswerKept:
		return &target.Answer{StatusCode: int(claim.StatusCode), ContentType: claim.ContentType, Body: claim.Answer}, nil
	case claim.State == statepb.ClaimState_CLAIM_STATE_DONE:
		refusal := refuse(http.StatusConflict, ReasonClaim, fmt.Sprintf("the request ran and was answered with status %d; the answer is not kept", claim.StatusCode))
		refusal.Outcome = OutcomeAnswered
		return nil, refusal
	case claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING:
		refusal := refuse(http.StatusConflict, ReasonClaim, "the request is running")
		refusal.Outcome = OutcomeRunning
		return nil, refusal
	}
	refusal := refuse(http.StatusConflict, ReasonClaim, "the request may have run; it is not run again")
	refusal.Outcome = OutcomeUnknown
	return nil, refusal
}

func newEndClaim(answer *target.Answer, refusal *Refusal) *statepb.EndClaim {
	if answer != nil {
		end := &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_DONE, StatusCode: uint32(answer.StatusCode)}
		if len(answer.Body) <= state.MaxKeptAnswerBytes {
			end.Answer, end.AnswerKept, end.ContentType = answer.Body, true, answer.ContentType
		}
		return end
	}
	if refusal.Outcome == OutcomeNotRun {
		return &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN}
	}
	return &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_UNKNOWN}
}

// startEndClaim commits the outcome in the background. The channel is closed
// when it is committed or given up; a shutdown waits for it.
func (s *Server) startEndClaim(claim *statepb.Claim, end *statepb.EndClaim) <-chan struct{} {
	recorded := make(chan struct{})
	remove := s.endingClaims.add(claim.Token)
	s.inFlight.Add()
	go func() {
		defer s.inFlight.Done()
		defer close(recorded)
		// If the outcome was not committed, the token stays: the sweep must
		// not record as not run a request that may have run.
		if s.commitEndClaim(claim, end) {
			remove()
		}
	}()
	return recorded
}

// endClaimAndWait returns once the outcome is committed or after endClaimWait.
func (s *Server) endClaimAndWait(claim *statepb.Claim, end *statepb.EndClaim) {
	timer := time.NewTimer(endClaimWait)
	defer timer.Stop()
	select {
	case <-s.startEndClaim(claim, end):
	case <-timer.C:
	}
}

// commitEndClaim tries until the outcome is committed. It returns false when it
// gives up after endClaimTimeout.
func (s *Server) commitEndClaim(claim *statepb.Claim, end *statepb.EndClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endClaimTimeout)
	defer cancel()
	end.RequestId, end.Session, end.Token, end.Claim = claim.RequestId, claim.Session, claim.Token, claim
	command := &statepb.Command{Body: &statepb.Command_EndClaim{EndClaim: end}}
	for {
		tryCtx, cancelTry := context.WithTimeout(ctx, endClaimTryTimeout)
		_, err := s.cfg.Proposer.Propose(tryCtx, command)
		cancelTry()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			event.ClaimEndFailed.Emit(event.F("request", claim.RequestId), event.Err(err))
			return false
		}
		time.Sleep(endClaimRetryDelay)
	}
}

// claimTokens is a set of claims, by token.
type claimTokens struct {
	mu     sync.Mutex
	tokens map[string]struct{}
}

// add adds a token; the returned function removes it.
func (c *claimTokens) add(token string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens = make(map[string]struct{})
	}
	c.tokens[token] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.tokens, token)
	}
}

func (c *claimTokens) contains(token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.tokens[token]
	return ok
}

// sweepClaims records as not run the claims of this session whose requests have
// ended here without being sent to a target. They remain when a late copy of a
// claim is committed after the claim was ended.
func (s *Server) sweepClaims() {
	session, live := s.cfg.Holder.Session()
	if !live {
		return
	}
	for _, claim := range s.cfg.Machine.RunningClaims(session) {
		if s.activeClaims.contains(claim.Token) || s.endingClaims.contains(claim.Token) {
			continue
		}
		s.startEndClaim(claim, &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN})
	}
}
