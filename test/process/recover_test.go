package process

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"
)

// TestLostQuorumRecovered loses two of three voters for good. The survivor is
// recovered, keeps every change and takes new ones. A former voter that returns
// with its old disk is refused; with an empty disk it joins as a new voter.
func TestLostQuorumRecovered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], 3)
	c.mustTool(c.nodes[0], "pool", "create", "-wait", "kept")
	survivor, returning := c.nodes[0], c.nodes[1]
	for _, n := range c.nodes {
		n.kill()
	}
	out, err := exec.Command(daemonBinary, "-settings", survivor.settingsFile, "-recover").CombinedOutput()
	is.NoErr(err)
	t.Logf("%s", out)
	survivor.start(false)
	survivor.waitReady()
	eventually(t, inForceBound, "the recovered voter takes changes", func() error {
		_, err := c.tool(survivor, "pool", "create", "later")
		return err
	})
	pools := c.mustTool(survivor, "pool", "list", "-o", "json")
	is.True(containsName(pools, "kept")) // a change from before the loss
	returning.start(false)
	voters, err := c.voters(survivor)
	is.NoErr(err)
	is.Equal(voters, 1)

	returning.kill()
	is.NoErr(os.RemoveAll(returning.dataFolder))
	returning.start(false)
	returning.waitReady()
	eventually(t, inForceBound, "the wiped voter joined again", func() error {
		voters, err := c.voters(survivor)
		if err == nil && voters != 2 {
			err = fmt.Errorf("%d voters", voters)
		}
		return err
	})
}
