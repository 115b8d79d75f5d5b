package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Bounds of the small site tenji-kyodo, in the units of its settings.
const (
	heartbeat  = 1500 * time.Millisecond
	maxTTL     = 6 * time.Second
	killGrace  = 400 * time.Millisecond
	cancelTime = 3 * time.Second
	visible    = 3 * time.Second
	configTime = 2 * time.Second
	finishTime = 14 * time.Second
)

const (
	zones = 3
	// firstPing is how long an executor listens before it announces itself.
	firstPing = 50 * time.Millisecond
	// Ports below the range of the system for outgoing connections.
	firstPort, lastPort = 12000, 30000
)

// daemon is one process of the project.
type daemon struct {
	name string
	cmd  *exec.Cmd
}

// cluster is a small installation: a core and an edge daemon in each of three zones.
type cluster struct {
	folder   string
	daemons  []*daemon
	control  []string
	callers  []string
	platform string
}

func loopback(n int) string { return "127.0.0." + strconv.Itoa(n) }

// freePort returns a port that is free on all the addresses.
func freePort(hosts ...string) int {
next:
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		for _, host := range hosts {
			l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
			if err != nil {
				continue next
			}
			l.Close()
		}
		return port
	}
}

// coreSettings and edgeSettings are what the templates of the deploy file give for the site.
const coreSettings = `role: core
name: core-%[1]d
zone: z%[1]d
region: r
zones: ["z1", "z2", "z3"]
data_folder: %[2]s
listen:
  control: %[3]s
  peers: %[4]s
  metrics: %[5]s
seeds: [%[6]s]
found: true
platform_address: %[7]s
advice_address: ""
peer_port: %[8]d
trust_peer_network: true
memory_mb: 280
descriptors: 4096
learning: {keep: true}
pools: {share_shortage: true}
`

const edgeSettings = `role: edge
name: edge-%[1]d
zone: z%[1]d
region: r
listen:
  callers: %[2]s
  health: %[3]s
  metrics: %[4]s
seeds: [%[5]s]
peer_port: %[6]d
trust_peer_network: true
memory_mb: 284
descriptors: 4100
`

const boundsSettings = `bounds:
  lease_ttl: 6000ms
  announce_interval: 1500ms
  shutdown_grace: 6s
  vm_move: 1500ms
  vm_maintenance: 2s
`

// startCluster starts the daemons with the command of the deploy file.
func startCluster(binary, platform string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, platform: platform}
	var cores, edges []string
	for z := 1; z <= zones; z++ {
		cores = append(cores, loopback(z))
		edges = append(edges, loopback(10+z))
	}
	peers := freePort(append(cores, edges...)...)
	control, coreMetrics := freePort(cores...), freePort(cores...)
	callers, health, edgeMetrics := freePort(edges...), freePort(edges...), freePort(edges...)
	at := func(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	seeds := ""
	for i, host := range cores {
		if i > 0 {
			seeds += ", "
		}
		seeds += strconv.Quote(at(host, peers))
	}
	for i := range zones {
		z := i + 1
		settings := fmt.Sprintf(coreSettings, z, filepath.Join(folder, fmt.Sprintf("data-%d", z)), at(cores[i], control), at(cores[i], peers), at(cores[i], coreMetrics), seeds, platform, peers)
		if err := c.start(binary, fmt.Sprintf("core-%d", z), settings+boundsSettings); err != nil {
			return c, err
		}
		settings = fmt.Sprintf(edgeSettings, z, at(edges[i], callers), at(edges[i], health), at(edges[i], edgeMetrics), seeds, peers)
		if err := c.start(binary, fmt.Sprintf("edge-%d", z), settings+boundsSettings); err != nil {
			return c, err
		}
		c.control = append(c.control, at(cores[i], control))
		c.callers = append(c.callers, at(edges[i], callers))
	}
	return c, nil
}

func (c *cluster) start(binary, name, settings string) error {
	path := filepath.Join(c.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	d := &daemon{name: name, cmd: exec.Command(binary, "-role", path)}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	// The kernel ends the daemon with this process, whatever ends it.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return nil
}

// stop ends all daemons and removes their files, or keeps these if REVIEW_KEEP is set.
func (c *cluster) stop() {
	if c == nil {
		return
	}
	for _, d := range c.daemons {
		_ = d.cmd.Process.Kill()
	}
	for _, d := range c.daemons {
		_ = d.cmd.Wait()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs are in", c.folder)
		return
	}
	_ = os.RemoveAll(c.folder)
}
