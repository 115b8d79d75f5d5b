package process

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	idleTime = 3 * time.Second
	// maxIdleBytesPerSecond is the users' bound on the link traffic of an idle
	// node.
	maxIdleBytesPerSecond = 28 << 10
)

// linkBytes returns the bytes that a node has sent and received over its links, as
// its metrics report them.
func (n *node) linkBytes() int64 {
	n.t.Helper()
	response, err := http.Get("http://" + n.operatorAddress + "/metrics")
	if err != nil {
		n.t.Fatal(err)
	}
	defer response.Body.Close()
	sum := int64(0)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var value float64
		for _, name := range []string{"link_sent_bytes", "link_received_bytes"} {
			if strings.Contains(lines.Text(), name) && !strings.HasPrefix(lines.Text(), "#") {
				fmt.Sscan(lines.Text()[strings.LastIndex(lines.Text(), " ")+1:], &value)
				sum += int64(value)
			}
		}
	}
	return sum
}

// TestReplicaIdleBytes measures the link traffic of each of eight idle daemons.
func TestReplicaIdleBytes(t *testing.T) {
	c := startCluster(t, []string{"a", "a", "b", "b", "c", "a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], len(fiveVoters))
	leader := c.leader(c.nodes[0])
	before := make(map[*node]int64)
	for _, n := range c.nodes {
		before[n] = n.linkBytes()
	}
	time.Sleep(idleTime)
	for _, n := range c.nodes {
		rate := float64(n.linkBytes()-before[n]) / idleTime.Seconds()
		t.Logf("%s, leader %v: %.0f bytes a second sent and received", n.name, n == leader, rate)
		if rate <= 0 || rate > maxIdleBytesPerSecond {
			t.Errorf("%s: %.0f bytes a second, bound is %d", n.name, rate, maxIdleBytesPerSecond)
		}
	}
}
