package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const (
	operatorSecret = "capacity-operator-key"
	maxVoters      = 5
	startTimeout   = 30 * time.Second
	stopTimeout    = 10 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// daemon is one process of sapphireringd.
type daemon struct {
	name, zone, settingsFile          string
	callers, targets, operator, peers string
	cmd                               *exec.Cmd
	exited                            chan error
}

// cluster is a set of daemons on loopback.
type cluster struct {
	folder  string
	keyFile string
	daemons []*daemon
	http    *http.Client
	size    size
	// procs is GOMAXPROCS of the daemons; 0 means the default of the machine.
	procs int
}

func startCluster(folder string, daemons, zones, procs int) (*cluster, error) {
	c := &cluster{
		folder: folder, procs: procs, keyFile: filepath.Join(folder, "operator.key"), http: &http.Client{Timeout: startTimeout},
	}
	if err := os.WriteFile(c.keyFile, []byte(operatorSecret), 0o600); err != nil {
		return nil, err
	}
	build := exec.Command("go", "build", "-o", folder+"/", "sapphirering/cmd/sapphireringd", "sapphirering/cmd/sapphirering")
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("entry-%d", i+1), zone: fmt.Sprintf("z%d", i%zones+1)}
		if err := d.pickPorts(); err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, d)
	}
	for i := range c.daemons {
		if err := c.start(i); err != nil {
			c.stop()
			return nil, err
		}
	}
	if err := c.waitUntilComplete(min(daemons, maxVoters)); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// pickPorts picks loopback ports that are free now.
func (d *daemon) pickPorts() error {
	for _, address := range []*string{&d.callers, &d.targets, &d.operator, &d.peers} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return nil
}

func (c *cluster) start(i int) error {
	d := c.daemons[i]
	d.settingsFile = filepath.Join(c.folder, d.name+".yaml")
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nzone: %s\noperator_key_file: %s\n", d.name, d.zone, c.keyFile)
	if i < maxVoters {
		fmt.Fprintf(&b, "voter: true\ndata_folder: %s\n", filepath.Join(c.folder, d.name))
	}
	fmt.Fprintf(&b, "listen: {callers: %q, targets: %q, operators: %q, peers: %q}\nseeds: [%q]\n",
		d.callers, d.targets, d.operator, d.peers, c.daemons[0].peers)
	if err := os.WriteFile(d.settingsFile, []byte(b.String()), 0o600); err != nil {
		return err
	}
	args := []string{"-settings", d.settingsFile}
	if i == 0 {
		args = append(args, "-bootstrap")
	}
	log, err := os.Create(d.settingsFile + ".log")
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(filepath.Join(c.folder, "sapphireringd"), args...)
	d.cmd.Stderr = log
	if c.procs > 0 {
		d.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", c.procs))
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.cmd.Wait() }()
	return c.waitUntil(d.name+" answers", func() error {
		response, err := c.http.Get("http://" + d.operator + "/readyz")
		if err != nil {
			return err
		}
		return response.Body.Close()
	})
}

// stop terminates the daemons, and kills those that don't end within stopTimeout.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		d.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, d := range c.daemons {
		if d.exited == nil {
			continue
		}
		select {
		case <-d.exited:
		case <-deadline:
			d.cmd.Process.Kill()
			<-d.exited
		}
	}
}

// waitUntil calls f until it returns nil, for at most startTimeout.
func (c *cluster) waitUntil(what string, f func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s: %w", what, startTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}

func (c *cluster) waitUntilComplete(voters int) error {
	return c.waitUntil("all daemons hold a session and all voters vote", func() error {
		status, err := c.status()
		if err != nil {
			return err
		}
		voting := 0
		for _, m := range status.Members {
			if m.Voter {
				voting++
			}
		}
		if voting != voters || len(status.Sessions) != len(c.daemons) {
			return fmt.Errorf("%d voters, %d sessions", voting, len(status.Sessions))
		}
		return nil
	})
}

func (c *cluster) status() (*operator.StatusView, error) {
	status := new(operator.StatusView)
	return status, c.call(http.MethodGet, "/v1/status", nil, status)
}

// call sends an operator's request to the first daemon.
func (c *cluster) call(method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+c.daemons[0].operator+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorSecret)
	request.Header.Set(operator.HeaderOperationID, state.NewID())
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %.200s", method, path, response.StatusCode, answer)
	}
	return json.Unmarshal(answer, out)
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i) }
func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// grow adds pools and teams up to the given size. Each team gets a document with two queues, and a key.
func (c *cluster) grow(to size) error {
	var result operator.Result
	for ; c.size.pools < to.pools; c.size.pools++ {
		name := poolName(c.size.pools)
		if err := c.call(http.MethodPut, "/v1/pools/"+name, operator.PoolView{Name: name}, &result); err != nil {
			return err
		}
	}
	for ; c.size.teams < to.teams; c.size.teams++ {
		team := teamName(c.size.teams)
		if _, err := c.applyTeam(team, 0, 20); err != nil {
			return err
		}
		hash := state.HashKey("secret-of-" + team)
		key := operator.KeyRequest{Team: team, SHA256Hex: fmt.Sprintf("%x", hash)}
		if err := c.call(http.MethodPut, "/v1/keys/"+team+"-key", key, &result); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) applyTeam(team string, revision uint64, limit uint32) (operator.Result, error) {
	pool := poolName(len(team) % max(1, c.size.pools))
	doc := config.Document{
		Team: team, Revision: revision, Share: 1, UpperLimit: limit,
		Queues: []config.Queue{
			{Name: team + "-fast", Pool: pool, Class: "urgent"}, {Name: team + "-slow", Pool: pool, Class: "long"},
		},
	}
	var result operator.Result
	err := c.call(http.MethodPut, "/v1/documents/"+team, doc, &result)
	return result, err
}
