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
	// endClaimWait is how long an answer waits for its record; the caller gets
	// it all the same, and the record goes on behind it.
	endClaimWait  = 500 * time.Millisecond
	endClaimTry   = 5 * time.Second
	endClaimPause = 200 * time.Millisecond
	// endClaimTimeout bounds the tries to record an end. After it the claim
	// stays until its session is reclaimed, and is unknown then.
	endClaimTimeout = 2 * time.Minute
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
	defer s.claims.begin(claim.Token)()
	outcome, err := s.cfg.Proposer.Propose(ctx, &statepb.Command{
		Body: &statepb.Command_ClaimRequest{ClaimRequest: &statepb.ClaimRequest{Claim: claim}},
	})
	if err != nil {
		// The claim may be committed, but this daemon never dispatches under it.
		s.startEnd(claim, &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN})
		return nil, refuse(http.StatusServiceUnavailable, ReasonClaim, fmt.Sprintf("claim request: %v", err))
	}
	if refusal := claimRefusal(outcome); refusal != nil {
		return nil, refusal
	}
	if outcome.Code == statepb.Code_CODE_EXISTS && outcome.Claim.GetToken() != claim.Token {
		return recorded(outcome.Claim)
	}
	answer, refusal := s.run(ctx, req)
	s.recordEnd(claim, claimEnd(answer, refusal))
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
	refusal := refuse(http.StatusConflict, ReasonClaim, "the request may have run; it never runs again")
	refusal.Outcome = OutcomeUnknown
	return nil, refusal
}

func claimEnd(answer *target.Answer, refusal *Refusal) *statepb.EndClaim {
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

// startEnd begins to record the outcome. The channel is closed when it is
// committed or given up; a shutdown waits for it.
func (s *Server) startEnd(claim *statepb.Claim, end *statepb.EndClaim) <-chan struct{} {
	recorded := make(chan struct{})
	done := s.ending.begin(claim.Token)
	s.inFlight.Add()
	go func() {
		defer s.inFlight.Done()
		defer close(recorded)
		// A token whose end is not recorded stays: the sweep must not call
		// work that may have run not run.
		if s.endClaim(claim, end) {
			done()
		}
	}()
	return recorded
}

// recordEnd returns once the outcome is recorded or after endClaimWait.
func (s *Server) recordEnd(claim *statepb.Claim, end *statepb.EndClaim) {
	timer := time.NewTimer(endClaimWait)
	defer timer.Stop()
	select {
	case <-s.startEnd(claim, end):
	case <-timer.C:
	}
}

// endClaim records the outcome, trying again until it is committed or, with
// false, given up.
func (s *Server) endClaim(claim *statepb.Claim, end *statepb.EndClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endClaimTimeout)
	defer cancel()
	end.RequestId, end.Session, end.Token, end.Claim = claim.RequestId, claim.Session, claim.Token, claim
	command := &statepb.Command{Body: &statepb.Command_EndClaim{EndClaim: end}}
	for {
		try, cancelTry := context.WithTimeout(ctx, endClaimTry)
		_, err := s.cfg.Proposer.Propose(try, command)
		cancelTry()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			event.ClaimEndFailed.Emit(event.F("request", claim.RequestId), event.Err(err))
			return false
		}
		time.Sleep(endClaimPause)
	}
}

// claimTries holds the tokens of the tries that may still run a request.
type claimTries struct {
	mu     sync.Mutex
	tokens map[string]struct{}
}

// begin adds a token; the returned function takes it out.
func (c *claimTries) begin(token string) func() {
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

func (c *claimTries) active(token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.tokens[token]
	return ok
}

// sweepClaims ends claims that this session holds for tries that are over and
// never got to run: a late copy of a claim can be committed after its end.
func (s *Server) sweepClaims() {
	session, live := s.cfg.Holder.Session()
	if !live {
		return
	}
	for _, claim := range s.cfg.Machine.RunningClaims(session) {
		if s.claims.active(claim.Token) || s.ending.active(claim.Token) {
			continue
		}
		s.startEnd(claim, &statepb.EndClaim{State: statepb.ClaimState_CLAIM_STATE_NOT_RUN})
	}
}
