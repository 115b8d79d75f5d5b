// Package process tests daemons that run as separate processes, and causes
// failures of their processes, disks and links.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sapphirering/test/linktest"
	"sapphirering/test/standin"
)

const (
	operatorKey  = "process-test-operator-key"
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

var daemonBinary, toolBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sapphirering-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonBinary, toolBinary = filepath.Join(folder, "sapphireringd"), filepath.Join(folder, "sapphirering")
	build := exec.Command("go", "build", "-o", folder, "sapphirering/cmd/sapphireringd", "sapphirering/cmd/sapphirering")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	os.RemoveAll(folder)
	os.Exit(code)
}

// node is one daemon process and the addresses of its listeners.
type node struct {
	t               *testing.T
	name            string
	zone            string
	dataFolder      string
	settingsFile    string
	callerAddress   string
	targetAddress   string
	operatorAddress string
	peerAddress     string
	cmd             *exec.Cmd
	exited          chan struct{}
}

// cluster is a set of daemons on the loopback interface.
type cluster struct {
	t       *testing.T
	folder  string
	keyFile string
	nodes   []*node
	secrets map[string]string
	links   *links
	// extraSettings is appended to the settings of every daemon.
	extraSettings string
}

// startCluster starts one daemon per zone given and bootstraps the first one. The
// first five are voters. If cuttable, the links run through proxies.
func startCluster(t *testing.T, zones []string, cuttable bool) *cluster {
	t.Helper()
	return startClusterWithSettings(t, zones, cuttable, "")
}

// startClusterWithSettings does the same and appends extra to the settings
// of every daemon.
func startClusterWithSettings(t *testing.T, zones []string, cuttable bool, extra string) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), secrets: make(map[string]string), extraSettings: extra}
	c.keyFile = filepath.Join(c.folder, "operator.key")
	if err := os.WriteFile(c.keyFile, []byte(operatorKey), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, zone := range zones {
		c.nodes = append(c.nodes, &node{
			t: t, name: fmt.Sprintf("entry-%s%d", zone, i+1), zone: zone,
			callerAddress: linktest.FreeAddress(t), targetAddress: linktest.FreeAddress(t), operatorAddress: linktest.FreeAddress(t), peerAddress: linktest.FreeAddress(t),
		})
	}
	if cuttable {
		c.links = newLinks(t, c.nodes)
	}
	t.Cleanup(c.stop)
	for i, n := range c.nodes {
		c.writeSettings(n, i < 5)
		n.start(i == 0)
		if i == 0 {
			n.waitReady()
		}
	}
	for _, n := range c.nodes {
		n.waitReady()
	}
	return c
}

func (c *cluster) writeSettings(n *node, voter bool) {
	n.dataFolder = filepath.Join(c.folder, n.name)
	n.settingsFile = filepath.Join(c.folder, n.name+".yaml")
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nzone: %s\nvoter: %v\noperator_key_file: %s\n", n.name, n.zone, voter, c.keyFile)
	if voter {
		fmt.Fprintf(&b, "data_folder: %s\n", n.dataFolder)
	}
	fmt.Fprintf(&b, "listen: {callers: %q, targets: %q, operators: %q, peers: %q}\n", n.callerAddress, n.targetAddress, n.operatorAddress, n.peerAddress)
	fmt.Fprintf(&b, "session_lease: 2s\nseeds: [%s]\n", c.seeds())
	if c.links != nil {
		b.WriteString("peer_addresses:\n")
		for _, other := range c.nodes {
			if other != n {
				fmt.Fprintf(&b, "  %q: %q\n", other.peerAddress, c.links.address(n.name, other.name))
			}
		}
	}
	b.WriteString(c.extraSettings)
	if err := os.WriteFile(n.settingsFile, []byte(b.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// seeds returns the peer addresses of all daemons as a YAML list.
func (c *cluster) seeds() string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, fmt.Sprintf("%q", n.peerAddress))
	}
	return strings.Join(addresses, ", ")
}

func (n *node) start(bootstrap bool) {
	n.t.Helper()
	args := []string{"-settings", n.settingsFile}
	if bootstrap {
		args = append(args, "-bootstrap")
	}
	n.cmd = exec.Command(daemonBinary, args...)
	log, err := os.OpenFile(n.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Fatal(err)
	}
	defer log.Close()
	n.cmd.Stderr = log
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		cmd.Wait()
		close(exited)
	}()
}

func (n *node) waitReady() {
	n.t.Helper()
	eventually(n.t, startTimeout, n.name+" is ready", func() error {
		response, err := http.Get("http://" + n.callerAddress + "/readyz")
		if err != nil {
			return err
		}
		response.Body.Close()
		return nil
	})
}

func (n *node) signal(s syscall.Signal) {
	if err := n.cmd.Process.Signal(s); err != nil {
		n.t.Logf("signal %s to %s: %v", s, n.name, err)
	}
}

// kill sends SIGKILL to the process and waits until it has ended.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd == nil {
			continue
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	if c.t.Failed() {
		c.printLogs()
	}
}

func (c *cluster) printLogs() {
	for _, n := range c.nodes {
		data, _ := os.ReadFile(n.settingsFile + ".log")
		if len(data) > 4000 {
			data = data[len(data)-4000:]
		}
		c.t.Logf("log of %s:\n%s", n.name, data)
	}
}

// eventually calls f until it returns nil, and fails the test after the given
// time.
func eventually(t *testing.T, within time.Duration, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s: %v", what, within, err)
		}
		time.Sleep(pollInterval)
	}
}

// tool runs the command-line tool against a node and returns its standard output.
func (c *cluster) tool(n *node, args ...string) (string, error) {
	full := append([]string{args[0], "-address", "http://" + n.operatorAddress, "-key-file", c.keyFile}, args[1:]...)
	cmd := exec.Command(toolBinary, full...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("sapphirering %v: %w: %s", args, err, errOut.String())
	}
	return out.String(), nil
}

func (c *cluster) mustTool(n *node, args ...string) string {
	c.t.Helper()
	out, err := c.tool(n, args...)
	if err != nil {
		c.t.Fatal(err)
	}
	return out
}

// toolJSON runs the tool with -o json and decodes its output.
func (c *cluster) toolJSON(n *node, into any, command string, args ...string) error {
	out, err := c.tool(n, append([]string{command, "-o", "json"}, args...)...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), into)
}

// jsonRequest returns a request with a JSON body.
func jsonRequest(method, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequest(method, url, bytes.NewReader(data))
}

func decodeJSON(t *testing.T, r io.Reader, into any) {
	t.Helper()
	if err := json.NewDecoder(r).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// containsName reports whether JSON output contains the name as a string.
func containsName(out, name string) bool { return strings.Contains(out, fmt.Sprintf("%q", name)) }

// addTeam applies the document of a team and grants it a key.
func (c *cluster) addTeam(n *node, team, document string) {
	c.t.Helper()
	path := filepath.Join(c.folder, team+".yaml")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		c.t.Fatal(err)
	}
	secretFile := filepath.Join(c.folder, team+".key")
	c.mustTool(n, "apply", "-wait", path)
	c.mustTool(n, "key", "-wait", "grant", team, team+"-key", secretFile)
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		c.t.Fatal(err)
	}
	c.secrets[team] = string(secret)
}

// startTarget starts a stand-in target that announces itself to the entry VMs of
// its zone.
func (c *cluster) startTarget(cfg standin.Config) *standin.Target {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.zone == cfg.Zone {
			cfg.Entries = append(cfg.Entries, "http://"+n.targetAddress)
		}
	}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	target, err := standin.Start(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(target.Close)
	return target
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome string
	id      string
	body    []byte
}

// call sends one HTTP request to a node's listener for callers.
func (c *cluster) call(ctx context.Context, n *node, method, path, team string, header map[string]string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if team != "" {
		request.Header.Set("Authorization", "Bearer "+c.secrets[team])
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: response.Header.Get("Sapphirering-Outcome"),
		id: response.Header.Get("Sapphirering-Request-Id"), body: data,
	}, err
}

// leader waits until a member is reported as leader and returns its node.
func (c *cluster) leader(via *node) *node {
	c.t.Helper()
	var found *node
	eventually(c.t, startTimeout, "a leader is known", func() error {
		out, err := c.tool(via, "status", "-o", "json")
		if err != nil {
			return err
		}
		var status struct {
			Members []struct {
				Name   string `json:"name"`
				Leader bool   `json:"leader"`
			} `json:"members"`
		}
		if err := json.Unmarshal([]byte(out), &status); err != nil {
			return err
		}
		for _, m := range status.Members {
			for _, n := range c.nodes {
				if m.Leader && n.name == m.Name {
					found = n
				}
			}
		}
		if found == nil {
			return fmt.Errorf("no member leads: %s", out)
		}
		return nil
	})
	return found
}

// links holds one proxy per direction between every two daemons, so that a test
// can cut the links.
type links struct {
	mu      sync.Mutex
	proxies map[[2]string]*proxy
}

type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]struct{}
}

func newLinks(t *testing.T, nodes []*node) *links {
	l := &links{proxies: make(map[[2]string]*proxy)}
	for _, from := range nodes {
		for _, to := range nodes {
			if from == to {
				continue
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			p := &proxy{listener: listener, target: to.peerAddress, conns: make(map[net.Conn]struct{})}
			l.proxies[[2]string{from.name, to.name}] = p
			go p.serve()
			t.Cleanup(func() { listener.Close() })
		}
	}
	return l
}

func (l *links) address(from, to string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies[[2]string{from, to}].listener.Addr().String()
}

// setCut cuts or restores every link between the node and all others.
func (l *links) setCut(name string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ends, p := range l.proxies {
		if ends[0] == name || ends[1] == name {
			p.setCut(cut)
		}
	}
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for conn := range p.conns {
		conn.Close()
	}
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

func (p *proxy) relay(conn net.Conn) {
	defer conn.Close()
	p.mu.Lock()
	cut, target := p.cut, p.target
	p.mu.Unlock()
	if cut {
		return
	}
	other, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer other.Close()
	p.mu.Lock()
	p.conns[conn], p.conns[other] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go func() {
		io.Copy(other, conn)
		other.Close()
	}()
	io.Copy(conn, other)
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, other)
	p.mu.Unlock()
}
