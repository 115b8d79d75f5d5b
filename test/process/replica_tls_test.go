package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sapphirering/test/linktest"
)

// TestReplicaTLS forms a cluster over mutual TLS; a daemon whose certificate
// another authority signed cannot join.
func TestReplicaTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ours, theirs := linktest.NewAuthority(t), linktest.NewAuthority(t)
	c := &cluster{t: t, folder: t.TempDir(), secrets: make(map[string]string)}
	c.keyFile = filepath.Join(c.folder, "operator.key")
	is.NoErr(os.WriteFile(c.keyFile, []byte(operatorKey), 0o600))
	for i, zone := range []string{"a", "b", "c", "foreign"} {
		c.nodes = append(c.nodes, &node{
			t: t, name: fmt.Sprintf("entry-%s%d", zone, i+1), zone: zone,
			callerAddress: linktest.FreeAddress(t), targetAddress: linktest.FreeAddress(t), operatorAddress: linktest.FreeAddress(t), peerAddress: linktest.FreeAddress(t),
		})
	}
	foreign := c.nodes[3]
	for i, n := range c.nodes {
		c.writeSettings(n, true)
		signer := ours
		if n == foreign {
			signer = theirs
		}
		settings, err := os.ReadFile(n.settingsFile)
		is.NoErr(err)
		files := signer.Files(c.folder, n.name, ours)
		settings = fmt.Appendf(settings, "tls: {certificate: %q, key: %q, authority: %q}\n", files.Certificate, files.Key, files.Authority)
		is.NoErr(os.WriteFile(n.settingsFile, settings, 0o600))
		n.start(i == 0)
		if i == 0 {
			n.waitReady()
		}
	}
	t.Cleanup(c.stop)
	c.waitVoters(c.nodes[0], 3)
	c.commitPool(c.nodes[:3], "over-tls")
	for _, n := range c.nodes[:3] {
		c.waitPools(n, []string{"over-tls"})
	}
	view, err := c.leaderView(c.nodes[0])
	is.NoErr(err)
	is.Equal(len(view.Members), 3)
	log, err := os.ReadFile(foreign.settingsFile + ".log")
	is.NoErr(err)
	is.True(strings.Contains(string(log), "event=2003")) // its attempts to join fail
}
