package process

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"sync"
	"testing"
	"time"

	"sapphirering/internal/state"
	"sapphirering/test/standin"
)

const (
	soakSeed         = 20261204
	soakTeams        = 5
	soakTargets      = 50
	soakSlots        = 2
	soakLimit        = 16
	soakWork         = 100 * time.Millisecond
	soakMeanRate     = 45 // requests and jobs per second and team
	soakTick         = 20 * time.Millisecond
	soakTurnDuration = 2 * time.Second
	soakDeadlineMS   = "4000"
	soakJobsBound    = 90 * time.Second
	burstFactor      = 5
	quietDivisor     = 20
	soakFaultTime    = 3 * time.Second
)

// soakCaller sends the requests and jobs of all teams and keeps their results.
type soakCaller struct {
	c   *cluster
	rng *rand.Rand

	mu      sync.Mutex
	results map[string]requestResult
	jobs    map[string]string
	pending sync.WaitGroup
}

// requestResult is the result that a caller received for one request.
type requestResult struct {
	repeatable bool
	outcome    string
	status     int
	reason     string
	complete   bool
}

// refusalReason returns the reason that a refusal gives, or "".
func refusalReason(got answer) string {
	var refusal struct{ Reason string }
	if got.outcome == "answered" || json.Unmarshal(got.body, &refusal) != nil {
		return ""
	}
	return refusal.Reason
}

func soakTeam(i int) string { return fmt.Sprintf("team%d", i+1) }

// TestSoak runs 8 daemons and 50 targets under the load of 5 teams while the
// leader is killed (SIGKILL), then a second voter whose disk is wiped, and an
// availability zone is cut off.
func TestSoak(t *testing.T) {
	t.Parallel()
	c := startCluster(t, []string{"a", "b", "c", "a", "b", "c", "a", "b"}, true)
	c.waitVoters(c.nodes[0], 5)
	for i := range soakTeams {
		c.mustTool(c.nodes[0], "pool", "create", "-wait", "pool-"+soakTeam(i))
		c.addTeam(c.nodes[0], soakTeam(i), soakDocument(soakTeam(i)))
	}
	var targets []*standin.Target
	for i := range soakTargets {
		targets = append(targets, c.startTarget(standin.Config{
			VM: fmt.Sprintf("vm-%02d", i), Pool: "pool-" + soakTeam(i%soakTeams), Zone: []string{"a", "b", "c"}[i/soakTeams%3],
			Rack: fmt.Sprintf("rack-%d", i/4), Slots: soakSlots, Work: soakWork, Millicores: 16_000, MemoryMB: 64 << 10,
		}))
	}
	for i := range soakTeams {
		c.eventuallyServes(c.nodes[i], soakTeam(i)+"-fast", soakTeam(i), inForceBound)
	}
	caller := &soakCaller{
		c: c, rng: rand.New(rand.NewSource(soakSeed)), results: make(map[string]requestResult), jobs: make(map[string]string),
	}
	ctx, cancel := context.WithCancel(context.Background())
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		caller.sendLoad(ctx)
	}()
	c.soakFaults()
	cancel()
	<-loadDone
	caller.pending.Wait()
	loadEnded := time.Now()
	caller.checkJobs(t)
	t.Logf("jobs ended %s after the load", time.Since(loadEnded).Round(time.Second))
	checkRecords(t, targets, caller)
}

func soakDocument(team string) string {
	return fmt.Sprintf(`team: %s
share: 1
upper_limit: %d
queues:
  - {name: %s-fast, pool: pool-%s, class: urgent, max_deadline_ms: 5000}
  - {name: %s-slow, pool: pool-%s, class: long, max_deadline_ms: 5000}
`, team, soakLimit, team, team, team, team)
}

// soakFaults causes the failures one after the other.
func (c *cluster) soakFaults() {
	time.Sleep(soakFaultTime)
	leader := c.leader(c.nodes[7])
	leader.kill()
	time.Sleep(soakFaultTime)
	leader.start(false)
	leader.waitReady()

	second := c.nodes[1]
	if second == leader {
		second = c.nodes[2]
	}
	second.kill()
	if err := os.RemoveAll(second.dataFolder); err != nil {
		c.t.Fatal(err)
	}
	c.replaceWiped(second)

	time.Sleep(soakFaultTime)
	for _, n := range c.nodes {
		if n.zone == "c" {
			c.links.setCut(n.name, true)
		}
	}
	time.Sleep(2 * soakFaultTime)
	for _, n := range c.nodes {
		c.links.setCut(n.name, false)
	}
	time.Sleep(soakFaultTime)
}

// replaceWiped starts a daemon whose disk was wiped and removes its old member id,
// so that the new member is promoted to voter.
func (c *cluster) replaceWiped(n *node) {
	c.t.Helper()
	n.start(false)
	n.waitReady()
	via := c.nodes[7]
	eventually(c.t, startTimeout, "the old member id of "+n.name+" is removed", func() error {
		old, err := c.voterOf(via, n.name)
		if err != nil {
			return err
		}
		_, err = c.tool(via, "member", "remove", old)
		return err
	})
	c.waitVoters(via, 5)
}

// voterOf returns the member id of the voter with the name.
func (c *cluster) voterOf(via *node, name string) (string, error) {
	var status struct {
		Members []struct {
			ID    string `json:"id"`
			Name  string `json:"name"`
			Voter bool   `json:"voter"`
		} `json:"members"`
	}
	if err := c.toolJSON(via, &status, "status"); err != nil {
		return "", err
	}
	for _, m := range status.Members {
		if m.Name == name && m.Voter {
			return m.ID, nil
		}
	}
	return "", fmt.Errorf("no voter is named %s", name)
}

// sendLoad sends requests at each team's rate. In each turn one team sends at five
// times the mean rate, the team that has the next turn at a twentieth of it, and
// all others at the mean.
func (s *soakCaller) sendLoad(ctx context.Context) {
	ticker := time.NewTicker(soakTick)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		turn := int(time.Since(started) / soakTurnDuration)
		for team := range soakTeams {
			for range s.arrivals(team, turn) {
				s.send(team)
			}
		}
	}
}

// arrivals draws the number of requests that the team sends during one tick.
func (s *soakCaller) arrivals(team, turn int) int {
	rate := float64(soakMeanRate)
	switch {
	case turn%soakTeams == team:
		rate *= burstFactor
	case (turn+1)%soakTeams == team:
		rate /= quietDivisor
	}
	expected := rate * soakTick.Seconds()
	count := int(expected)
	if s.rng.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// send sends one request or job through a random entry VM.
func (s *soakCaller) send(team int) {
	n := s.c.nodes[s.rng.Intn(len(s.c.nodes))]
	name, id := soakTeam(team), state.NewID()
	kind := s.rng.Intn(20)
	s.pending.Go(func() {
		switch {
		case kind == 0:
			s.sendJob(n, name, id)
		case kind < 5:
			s.sendRequest(n, name, id, false)
		default:
			s.sendRequest(n, name, id, true)
		}
	})
}

func (s *soakCaller) sendRequest(n *node, team, id string, repeatable bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	header := map[string]string{"Sapphirering-Request-Id": id, "Sapphirering-Deadline-Ms": soakDeadlineMS}
	if !repeatable {
		header["Sapphirering-Repeatable"] = "no"
	}
	body := []byte("order " + id)
	got, err := s.c.call(ctx, n, http.MethodPost, "/v1/queues/"+team+"-fast/requests", team, header, body)
	result := requestResult{repeatable: repeatable, outcome: got.outcome, status: got.status, reason: refusalReason(got)}
	if err != nil {
		result.outcome = "broken"
	}
	result.complete = got.outcome == "answered" && string(got.body) == standin.Digest(id, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[id] = result
}

func (s *soakCaller) sendJob(n *node, team, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	got, err := s.c.call(ctx, n, http.MethodPost, "/v1/queues/"+team+"-slow/jobs", team,
		map[string]string{"Sapphirering-Job-Id": id}, []byte(`{"work_ms":300}`))
	if err != nil || got.status != http.StatusCreated {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = team
}

// checkJobs waits until every accepted job is done.
func (s *soakCaller) checkJobs(t *testing.T) {
	t.Helper()
	eventually(t, soakJobsBound, "every accepted job is done", func() error {
		var jobs []struct{ ID, State, Reason string }
		if err := s.c.toolJSON(s.c.nodes[7], &jobs, "job", "list"); err != nil {
			return err
		}
		states := make(map[string]string, len(jobs))
		for _, job := range jobs {
			states[job.ID] = job.State + " " + job.Reason
		}
		notDone, example := 0, ""
		for id := range s.jobs {
			if states[id] != "done " {
				notDone++
				example = fmt.Sprintf("%s is %q", id, states[id])
			}
		}
		if notDone > 0 {
			return fmt.Errorf("%d of %d accepted jobs are not done, e.g. %s", notDone, len(s.jobs), example)
		}
		return nil
	})
	t.Logf("jobs: %d accepted, all done", len(s.jobs))
}

// checkRecords compares the runs at the targets with the results that callers
// received.
func checkRecords(t *testing.T, targets []*standin.Target, s *soakCaller) {
	t.Helper()
	runs := make(map[string]int)
	byTeam := make(map[string][]standin.Run)
	for _, target := range targets {
		for _, run := range target.Record().Runs {
			runs[run.RequestID]++
			byTeam[run.Team] = append(byTeam[run.Team], run)
		}
	}
	outcomes, reasons := make(map[string]int), make(map[string]int)
	for id, result := range s.results {
		outcomes[result.outcome]++
		if result.reason != "" {
			reasons[result.outcome+" "+result.reason]++
		}
		switch {
		case result.outcome == "not-run" && runs[id] > 0:
			t.Errorf("request %s (repeatable %v): reported as not run, ran %d times", id, result.repeatable, runs[id])
		case result.outcome == "answered" && !result.complete:
			t.Errorf("request %s: answer to another request or incomplete, status %d", id, result.status)
		case !result.repeatable && runs[id] > 1:
			t.Errorf("request %s: not repeatable, ran %d times", id, runs[id])
		}
	}
	t.Logf("requests: %d, outcomes %s, reasons %s", len(s.results), summary(outcomes), summary(reasons))
	for team, list := range byTeam {
		if peak := mostAtOnce(list); peak > soakLimit {
			t.Errorf("team %s: %d ran at once, the upper limit is %d", team, peak, soakLimit)
		} else {
			t.Logf("team %s: at most %d of %d ran at once", team, peak, soakLimit)
		}
	}
	if outcomes["answered"] < len(s.results)/2 {
		t.Errorf("%d of %d requests were answered, want at least half", outcomes["answered"], len(s.results))
	}
}

func summary(counts map[string]int) string {
	data, err := json.Marshal(counts)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// mostAtOnce returns the greatest number of ended runs that overlapped in time.
func mostAtOnce(runs []standin.Run) int {
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, run := range runs {
		if run.Ended != 0 {
			edges = append(edges, edge{run.Started, 1}, edge{run.Ended, -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at != edges[j].at {
			return edges[i].at < edges[j].at
		}
		return edges[i].delta < edges[j].delta
	})
	now, most := 0, 0
	for _, e := range edges {
		now += e.delta
		most = max(most, now)
	}
	return most
}
