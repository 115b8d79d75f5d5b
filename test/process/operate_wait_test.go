package process

import (
	"bytes"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOperateWaitNamesTheFrozenVM withdraws a key while the process of one entry
// VM is stopped (SIGSTOP). The tool names the VM that it waits for and finishes
// within the bound, and the VM admits nothing under the key once it continues.
func TestOperateWaitNamesTheFrozenVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], 3)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", "team: kita\nshare: 1\nupper_limit: 4\nqueues:\n  - {name: proofs, pool: renderers, class: urgent}\n")
	leader := c.leader(c.nodes[0])
	var frozen *node
	for _, n := range c.nodes {
		if n != leader {
			frozen = n
		}
	}
	frozen.signal(syscall.SIGSTOP)
	defer frozen.signal(syscall.SIGCONT)
	var out, errOut bytes.Buffer
	cmd := exec.Command(toolBinary, "key", "-wait", "withdraw", "kita-key",
		"-address", "http://"+leader.operatorAddress, "-key-file", filepath.Join(c.folder, "operator.key"))
	cmd.Stdout, cmd.Stderr = &out, &errOut
	start := time.Now()
	is.NoErr(cmd.Run())
	took := time.Since(start)
	t.Logf("in force after %s", took.Round(time.Millisecond))
	is.True(took < inForceBound)
	is.True(strings.Contains(errOut.String(), "waiting for "+frozen.name+"\n")) // in the end only the frozen VM is named
	is.True(strings.Contains(out.String(), "in force everywhere"))
	frozen.signal(syscall.SIGCONT)
	got, err := c.call(t.Context(), frozen, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("x"))
	is.NoErr(err)
	is.True(got.status == http.StatusUnauthorized || got.status == http.StatusForbidden || got.status == http.StatusServiceUnavailable)
}
