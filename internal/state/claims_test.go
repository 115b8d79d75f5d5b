package state

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirering/internal/state/statepb"
)

// claimTry is one try of an entry VM to run a request.
type claimTry struct {
	claim *statepb.Claim
	// waiting: for the outcome of the claim; running: under the claim. Neither: over.
	waiting, running bool
	ran              bool
	endDelivered     bool
}

// claimModel delivers claims and their ends in any order and with duplicates, as
// network links and leader changes do, and counts the runs.
type claimModel struct {
	*history
	tries   []*claimTry
	pending []*pendingClaim
	runs    int
}

type pendingClaim struct {
	command *statepb.Command
	try     *claimTry
}

func (m *claimModel) send(try *claimTry, command *statepb.Command) {
	copies := rapid.IntRange(1, 2).Draw(m.t, "copies")
	for range copies {
		m.pending = append(m.pending, &pendingClaim{proto.CloneOf(command), try})
	}
}

func (m *claimModel) startTry() {
	if len(m.tries) >= 6 {
		return
	}
	try := &claimTry{waiting: true, claim: &statepb.Claim{
		RequestId: m.ids[0], Team: "kita", Queue: "q", Session: m.session(),
		BodyHash: []byte("hash"), Token: fmt.Sprint("token-", len(m.tries)),
	}}
	m.tries = append(m.tries, try)
	m.send(try, &statepb.Command{Body: &statepb.Command_ClaimRequest{ClaimRequest: &statepb.ClaimRequest{Claim: try.claim}}})
}

func (m *claimModel) end(try *claimTry, state statepb.ClaimState) {
	try.waiting, try.running = false, false
	m.send(try, &statepb.Command{Body: &statepb.Command_EndClaim{EndClaim: &statepb.EndClaim{
		RequestId: try.claim.RequestId, Session: try.claim.Session, Token: try.claim.Token, State: state, Claim: try.claim,
	}}})
}

// deliver applies one pending command; the try receives the outcome of its claim
// unless it has given up before.
func (m *claimModel) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "command")
	p := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	outcome := m.apply(p.command)
	if _, ok := p.command.Body.(*statepb.Command_EndClaim); ok {
		p.try.endDelivered = true
	}
	if _, ok := p.command.Body.(*statepb.Command_ClaimRequest); !ok || !p.try.waiting {
		return
	}
	p.try.waiting = false
	own := outcome.Code == statepb.Code_CODE_EXISTS && outcome.Claim.Token == p.try.claim.Token
	p.try.running = outcome.Code == statepb.Code_CODE_OK || own
}

// finish ends a try: one that waits gives up and never runs; one that runs
// has run, or provably did not.
func (m *claimModel) finish() {
	try := rapid.SampledFrom(m.tries).Draw(m.t, "try")
	switch {
	case try.waiting:
		m.end(try, statepb.ClaimState_CLAIM_STATE_NOT_RUN)
	case try.running && rapid.Bool().Draw(m.t, "ran"):
		m.runs++
		try.ran = true
		m.end(try, rapid.SampledFrom([]statepb.ClaimState{
			statepb.ClaimState_CLAIM_STATE_DONE, statepb.ClaimState_CLAIM_STATE_UNKNOWN,
		}).Draw(m.t, "end"))
	case try.running:
		m.end(try, statepb.ClaimState_CLAIM_STATE_NOT_RUN)
	}
}

// sweep does what each entry VM does periodically: it ends the claims that its
// session still holds for tries that are over.
func (m *claimModel) sweep() {
	for _, claim := range m.machine.RunningClaims(m.machine.Claim(m.ids[0]).GetSession()) {
		for _, try := range m.tries {
			if try.claim.Token == claim.Token {
				m.end(try, statepb.ClaimState_CLAIM_STATE_NOT_RUN)
			}
		}
	}
	for len(m.pending) > 0 {
		m.deliver()
	}
}

// staleSweep is a sweep of an entry VM whose applied state lags behind: it still
// sees a claim as running although its end was committed.
func (m *claimModel) staleSweep() {
	for _, try := range m.tries {
		if !try.waiting && !try.running && (!try.ran || try.endDelivered) && rapid.Bool().Draw(m.t, "sweep") {
			m.end(try, statepb.ClaimState_CLAIM_STATE_NOT_RUN)
		}
	}
}

// TestClaimRunsAtMostOnce checks that no order of claims, duplicates and ends lets
// two tries run, and that no claim stays running after every try has ended.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{history: newHistory(t)}
		for _, session := range []string{"s1", "s2", "s3"} {
			m.apply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
				Session: &statepb.Session{Id: session, Member: session},
			}}})
		}
		m.startTry()
		for range 60 {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.startTry()
			case 3:
				m.staleSweep()
			case 1, 2:
				m.deliver()
			default:
				m.finish()
			}
			running := 0
			for _, try := range m.tries {
				if try.running {
					running++
				}
			}
			if running+m.runs > 1 {
				t.Fatalf("%d tries are running and %d have run", running, m.runs)
			}
		}
		for _, try := range m.tries {
			if try.waiting || try.running {
				m.end(try, statepb.ClaimState_CLAIM_STATE_NOT_RUN)
			}
		}
		for len(m.pending) > 0 {
			m.deliver()
		}
		m.sweep()
		if claim := m.machine.Claim(m.ids[0]); claim.GetState() == statepb.ClaimState_CLAIM_STATE_RUNNING {
			t.Fatalf("claim of %s is still running", claim.Token)
		}
	})
}

// claimFixture makes a machine with one live session and returns its apply function.
func claimFixture(t *testing.T) func(*statepb.Command) (*statepb.Outcome, *Machine) {
	machine, index := New(), uint64(0)
	apply := func(command *statepb.Command) (*statepb.Outcome, *Machine) {
		index++
		if command.TimeUnixMs == 0 {
			command.TimeUnixMs = historyStartMS
		}
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		return machine.Apply(index, data).(*statepb.Outcome), machine
	}
	apply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
		Session: &statepb.Session{Id: "s1", Member: "m1"},
	}}})
	return apply
}

func claimCommand(id, team, token string) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_ClaimRequest{ClaimRequest: &statepb.ClaimRequest{Claim: &statepb.Claim{
		RequestId: id, Team: team, Queue: "q", Session: "s1", BodyHash: []byte("hash"), Token: token,
	}}}}
}

func endCommand(id, token string, size int) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_EndClaim{EndClaim: &statepb.EndClaim{
		RequestId: id, Session: "s1", Token: token, State: statepb.ClaimState_CLAIM_STATE_DONE, StatusCode: 200,
		Answer: make([]byte, size), AnswerKept: true, ContentType: "text/plain",
	}}}
}

func TestRecordedAnswer(t *testing.T) {
	apply := claimFixture(t)
	small, large := idAt(historyStartMS, 1), idAt(historyStartMS, 2)
	for _, id := range []string{small, large} {
		if outcome, _ := apply(claimCommand(id, "kita", "t1")); outcome.Code != statepb.Code_CODE_OK {
			t.Fatal(outcome)
		}
	}
	apply(endCommand(small, "t1", 10))
	apply(endCommand(large, "t1", MaxKeptAnswerBytes+1))
	outcome, _ := apply(claimCommand(small, "kita", "t2"))
	if outcome.Claim.ContentType != "text/plain" || !outcome.Claim.AnswerKept {
		t.Errorf("recorded answer is incomplete: %v", outcome.Claim)
	}
	if outcome, _ = apply(claimCommand(large, "kita", "t2")); outcome.Claim.AnswerKept || len(outcome.Claim.Answer) > 0 {
		t.Error("an answer above the maximum size was kept")
	}
	if outcome, _ = apply(claimCommand(small, "minami", "t2")); outcome.Code != statepb.Code_CODE_INVALID || outcome.Claim != nil {
		t.Errorf("another team was shown the record: %v", outcome)
	}
}

func TestClaimIDHasOneSpelling(t *testing.T) {
	apply := claimFixture(t)
	id := "018bcfe5-6800-7000-8000-00000000000a"
	for _, spelling := range []string{strings.ToUpper(id), "{" + id + "}", "urn:uuid:" + id, strings.ReplaceAll(id, "-", "")} {
		if outcome, _ := apply(claimCommand(spelling, "kita", "t1")); outcome.Code != statepb.Code_CODE_INVALID {
			t.Errorf("%s: %v", spelling, outcome)
		}
	}
	if outcome, _ := apply(claimCommand(id, "kita", "t1")); outcome.Code != statepb.Code_CODE_OK {
		t.Error(outcome)
	}
}

// TestPrunedClaimCannotRunAgain uses an id that is dated ahead, as from a caller with
// a fast clock, and prunes claims by claim time: the claim of an id that is still
// young enough must stay.
func TestPrunedClaimCannotRunAgain(t *testing.T) {
	apply := claimFixture(t)
	id := idAt(historyStartMS+maxIDSkew.Milliseconds()-1000, 1)
	apply(claimCommand(id, "kita", "t1"))
	apply(endCommand(id, "t1", 1))
	later := historyStartMS + ClaimWindow.Milliseconds() + 1000
	apply(&statepb.Command{TimeUnixMs: later, Body: &statepb.Command_Prune{Prune: &statepb.Prune{ClaimsBeforeUnixMs: historyStartMS + 500}}})
	again := claimCommand(id, "kita", "t2")
	again.TimeUnixMs = later
	if outcome, _ := apply(again); outcome.Code == statepb.Code_CODE_OK {
		t.Error("a request ran a second time after its claim was pruned")
	}
}

func TestEndAfterReclaimIsRecorded(t *testing.T) {
	apply := claimFixture(t)
	id := idAt(historyStartMS, 1)
	apply(claimCommand(id, "kita", "t1"))
	apply(&statepb.Command{Body: &statepb.Command_ExpireSession{ExpireSession: &statepb.ExpireSession{Session: "s1"}}})
	apply(&statepb.Command{Body: &statepb.Command_ReclaimSession{ReclaimSession: &statepb.ReclaimSession{Session: "s1"}}})
	_, machine := apply(endCommand(id, "t1", 5))
	if claim := machine.Claim(id); claim.State != statepb.ClaimState_CLAIM_STATE_DONE {
		t.Errorf("claim is %s", claim.State)
	}
}
