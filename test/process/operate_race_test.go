package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/command"
	"sapphirering/internal/operator"
)

const (
	raceRounds      = 100
	killLeaderRound = 40
)

// exitCodeOf returns the exit code of the tool, or -1 for an error of another
// kind.
func exitCodeOf(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return command.ExitOK
}

// operatorRace applies two documents with the same base revision at the same time
// through two entry VMs and returns the exit codes.
func (c *cluster) operatorRace(round int, revision uint64, through [2]*node) [2]int {
	var codes [2]int
	var both sync.WaitGroup
	for i := range codes {
		both.Go(func() {
			path := filepath.Join(c.folder, fmt.Sprintf("race-%d.yaml", i))
			text := fmt.Sprintf("team: kita\nrevision: %d\nshare: %d\nupper_limit: %d\n", revision, i+1, round+1)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				codes[i] = -1
				return
			}
			_, err := c.tool(through[i], "apply", path)
			codes[i] = exitCodeOf(err)
		})
	}
	both.Wait()
	return codes
}

// TestOperateRacingOperators lets two operators change one document at the same
// base revision 100 times and kills the leader in one of the rounds. Exactly one
// operator succeeds in each round.
func TestOperateRacingOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], 3)
	var killed *node
	var revision uint64
	for round := range raceRounds {
		through := [2]*node{c.nodes[0], c.nodes[1]}
		if killed != nil {
			through = c.twoOthers(killed)
		}
		if round == killLeaderRound {
			killed = c.leader(c.nodes[0])
			through = c.twoOthers(killed)
			go killed.signal(9)
		}
		codes := c.operatorRace(round, revision, through)
		winner := 0
		if codes[1] == command.ExitOK {
			winner = 1
		}
		if codes[winner] != command.ExitOK || codes[1-winner] != command.ExitConflict {
			t.Fatalf("round %d: exit codes %v, want one %d and one %d", round, codes, command.ExitOK, command.ExitConflict)
		}
		var view operator.DocumentView
		eventually(t, startTimeout, "the winner's document is applied", func() error {
			if err := c.toolJSON(through[0], &view, "get", "kita"); err != nil {
				return err
			}
			if view.Document.Revision <= revision {
				return fmt.Errorf("revision %d, was %d", view.Document.Revision, revision)
			}
			return nil
		})
		is.Equal(view.Document.Share, uint32(winner+1))     // the winner's document is in force
		is.Equal(view.Document.UpperLimit, uint32(round+1)) // and is the one of this round
		revision = view.Document.Revision
	}
}

// twoOthers returns two nodes other than the given one.
func (c *cluster) twoOthers(excluded *node) [2]*node {
	var out [2]*node
	n := 0
	for _, candidate := range c.nodes {
		if candidate != excluded && n < len(out) {
			out[n] = candidate
			n++
		}
	}
	return out
}
