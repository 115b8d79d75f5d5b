// Package process runs daemons as separate processes and brings failures about.
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
	callPause    = 50 * time.Millisecond
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

// node is one daemon process.
type node struct {
	t        *testing.T
	name     string
	zone     string
	folder   string
	settings string
	callers  string
	targets  string
	operator string
	peers    string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster is a set of daemons on loopback.
type cluster struct {
	t       *testing.T
	folder  string
	keyFile string
	nodes   []*node
	secrets map[string]string
	links   *links
	// extra lines end the settings of every daemon.
	extra string
}

// startCluster starts one daemon per zone given, the first one bootstrapped.
// The first five vote. Links run through proxies when cuttable.
func startCluster(t *testing.T, zones []string, cuttable bool) *cluster {
	t.Helper()
	return startClusterWith(t, zones, cuttable, "")
}

// startClusterWith also ends the settings of every daemon with the extra lines.
func startClusterWith(t *testing.T, zones []string, cuttable bool, extra string) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), secrets: make(map[string]string), extra: extra}
	c.keyFile = filepath.Join(c.folder, "operator.key")
	if err := os.WriteFile(c.keyFile, []byte(operatorKey), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, zone := range zones {
		c.nodes = append(c.nodes, &node{
			t: t, name: fmt.Sprintf("entry-%s%d", zone, i+1), zone: zone,
			callers: linktest.FreeAddress(t), targets: linktest.FreeAddress(t), operator: linktest.FreeAddress(t), peers: linktest.FreeAddress(t),
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
	n.folder = filepath.Join(c.folder, n.name)
	n.settings = filepath.Join(c.folder, n.name+".yaml")
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nzone: %s\nvoter: %v\noperator_key_file: %s\n", n.name, n.zone, voter, c.keyFile)
	if voter {
		fmt.Fprintf(&b, "data_folder: %s\n", n.folder)
	}
	fmt.Fprintf(&b, "listen: {callers: %q, targets: %q, operators: %q, peers: %q}\n", n.callers, n.targets, n.operator, n.peers)
	fmt.Fprintf(&b, "session_lease: 2s\nseeds: [%s]\n", c.seeds())
	if c.links != nil {
		b.WriteString("peer_addresses:\n")
		for _, other := range c.nodes {
			if other != n {
				fmt.Fprintf(&b, "  %q: %q\n", other.peers, c.links.address(n.name, other.name))
			}
		}
	}
	b.WriteString(c.extra)
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// seeds lists the peer addresses of all daemons.
func (c *cluster) seeds() string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, fmt.Sprintf("%q", n.peers))
	}
	return strings.Join(addresses, ", ")
}

func (n *node) start(bootstrap bool) {
	n.t.Helper()
	args := []string{"-settings", n.settings}
	if bootstrap {
		args = append(args, "-bootstrap")
	}
	n.cmd = exec.Command(daemonBinary, args...)
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
		response, err := http.Get("http://" + n.callers + "/readyz")
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

// kill ends the process at once and waits for it.
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
		data, _ := os.ReadFile(n.settings + ".log")
		if len(data) > 4000 {
			data = data[len(data)-4000:]
		}
		c.t.Logf("log of %s:\n%s", n.name, data)
	}
}

// eventually tries until f returns nil.
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
		time.Sleep(callPause)
	}
}

// tool runs the command-line tool against a node.
func (c *cluster) tool(n *node, args ...string) (string, error) {
	full := append([]string{args[0], "-address", "http://" + n.operator, "-key-file", c.keyFile}, args[1:]...)
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

// toolJSON runs the tool with -o json and decodes what it prints.
func (c *cluster) toolJSON(n *node, into any, command string, args ...string) error {
	out, err := c.tool(n, append([]string{command, "-o", "json"}, args...)...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), into)
}

// jsonRequest makes a request with a JSON body.
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

// containsName reports whether JSON output names an object.
func containsName(out, name string) bool { return strings.Contains(out, fmt.Sprintf("%q", name)) }

// team applies a document and grants a key.
func (c *cluster) team(n *node, team, document string) {
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

// target starts a stand-in target that announces itself to its zone.
func (c *cluster) target(cfg standin.Config) *standin.Target {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.zone == cfg.Zone {
			cfg.Entries = append(cfg.Entries, "http://"+n.targets)
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

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	id      string
	body    []byte
}

// call sends one HTTP request to a node's callers' listener.
func (c *cluster) call(ctx context.Context, n *node, method, path, team string, header map[string]string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, bytes.NewReader(body))
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

// leader returns the node that leads.
func (c *cluster) leader(ask *node) *node {
	c.t.Helper()
	var found *node
	eventually(c.t, startTimeout, "a leader is known", func() error {
		out, err := c.tool(ask, "status", "-o", "json")
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

// links are proxies between every two daemons, which a test can cut.
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
			p := &proxy{listener: listener, target: to.peers, conns: make(map[net.Conn]struct{})}
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

// setCut cuts or heals every link between the node and all others.
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
