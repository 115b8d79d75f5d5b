package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the installation: those of the users' small sites.
const (
	HeartbeatInterval = 1500 * time.Millisecond
	MaxLease          = 6 * time.Second
	KillGrace         = 400 * time.Millisecond
	MoveTime          = 1500 * time.Millisecond
	UpkeepTime        = 2 * time.Second
	CatchUp           = 4 * time.Second
)

// Ports on each address of the installation, in the range that the platform keeps free.
const (
	controlPort  = 8345
	callersPort  = 8340
	healthPort   = 8343
	peerPort     = 7000
	metricsPort  = 7003
	platformPort = 8344
)

const program = "target/sapphireringd"

// Daemon is one process of the system.
type Daemon struct {
	Name, IP string
	settings string
	data     string
	log      string
	rendered func(found bool) (string, error)
	cmd      *exec.Cmd
	record   *Record
}

// Installation is a small deployment: three core and two edge daemons.
type Installation struct {
	Record *Record
	Folder string
	Edges  []*Daemon
	// Daemons holds all daemons that were ever added.
	Daemons []*Daemon
	// subnet is the part of the addresses that is drawn for each run, so that runs at the
	// same time do not share ports.
	subnet   string
	nextHost int
	seeds    []string
	platform string

	mu    sync.Mutex
	cores []*Daemon
}

// Cores returns the core daemons that are in the operator's list.
func (in *Installation) Cores() []*Daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.cores)
}

// Unlist removes a core daemon that is gone for good from the operator's list.
func (in *Installation) Unlist(gone *Daemon) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cores = slices.DeleteFunc(in.cores, func(d *Daemon) bool { return d == gone })
}

// New writes the settings of an installation into a temporary folder.
func New(record *Record) (*Installation, error) {
	folder, err := os.MkdirTemp("", "sapphirering-review-")
	if err != nil {
		return nil, err
	}
	in := &Installation{Record: record, Folder: folder}
	if err := in.pickSubnet(); err != nil {
		return nil, err
	}
	in.platform = fmt.Sprintf("%s.200:%d", in.subnet, platformPort)
	for range 3 {
		in.seeds = append(in.seeds, fmt.Sprintf("%s.%d:%d", in.subnet, len(in.seeds)+1, controlPort))
	}
	for n := range 3 {
		in.AddCore(fmt.Sprintf("core-%d", n+1), fmt.Sprintf("zone-%d", n+1))
	}
	for n := range 2 {
		in.addEdge(fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("zone-%d", n+1))
	}
	return in, nil
}

// pickSubnet draws loopback addresses whose ports are free.
func (in *Installation) pickSubnet() error {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(250))
		if allFree(subnet) {
			in.subnet = subnet
			return nil
		}
	}
	return errors.New("no loopback addresses with free ports")
}

func allFree(subnet string) bool {
	for host := 1; host <= 8; host++ {
		for _, port := range []int{controlPort, callersPort, healthPort, peerPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// TargetAddress returns a free address for a target.
func (in *Installation) TargetAddress() (net.Listener, error) {
	return net.Listen("tcp", in.subnet+".100:0")
}

// PlatformListener listens at the address of the platform.
func (in *Installation) PlatformListener() (net.Listener, error) {
	return net.Listen("tcp", in.platform)
}

func (in *Installation) nextIP() string {
	in.nextHost++
	return fmt.Sprintf("%s.%d", in.subnet, in.nextHost)
}

// AddCore adds a core daemon with an empty data folder; it is not started.
func (in *Installation) AddCore(name, zone string) *Daemon {
	d := in.addDaemon(name)
	d.data = filepath.Join(in.Folder, name, "data")
	d.rendered = func(found bool) (string, error) {
		return in.render("deploy/core.yaml", map[string]string{
			"node": name, "zone": zone, "region": "region", "dataDir": d.data, "bootstrap": fmt.Sprint(found), "ip": d.IP,
			"listen.ctl": fmt.Sprintf("%s:%d", d.IP, controlPort), "cloudApi.addr": in.platform, "hint": "", "limits.memLimitMb": "280",
		})
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cores = append(in.cores, d)
	return d
}

func (in *Installation) addEdge(name, zone string) {
	d := in.addDaemon(name)
	d.rendered = func(bool) (string, error) {
		return in.render("deploy/edge.yaml", map[string]string{
			"node": name, "zone": zone, "region": "region", "ip": d.IP, "limits.memLimitMb": "284",
			"listen.clientAddr": fmt.Sprintf("%s:%d", d.IP, callersPort), "listen.healthAddr": fmt.Sprintf("%s:%d", d.IP, healthPort),
		})
	}
	in.Edges = append(in.Edges, d)
}

func (in *Installation) addDaemon(name string) *Daemon {
	d := &Daemon{Name: name, IP: in.nextIP(), record: in.Record}
	d.settings = filepath.Join(in.Folder, name+".yaml")
	d.log = filepath.Join(in.Folder, name+".log")
	in.Daemons = append(in.Daemons, d)
	return d
}

// render fills in a template of the deploy file as the platform does.
func (in *Installation) render(template string, values map[string]string) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	text := string(data)
	quoted := make([]string, len(in.seeds))
	for i, seed := range in.seeds {
		quoted[i] = `"` + seed + `"`
	}
	text = strings.ReplaceAll(text, `{{#seeds}}"{{.}}"{{,}} {{/seeds}}`, strings.Join(quoted, ", "))
	// The zones are known from members and targets.
	text = strings.ReplaceAll(text, `{{#zones}}"{{@}}"{{,}} {{/zones}}`, "")
	text = strings.NewReplacer("{{#bounds.evacMs}}", "", "{{/bounds.evacMs}}", "").Replace(text)
	all := map[string]string{
		"portRange.0": fmt.Sprint(peerPort), "heartbeatMs": fmt.Sprint(HeartbeatInterval.Milliseconds()),
		"bounds.maxTtlMs": fmt.Sprint(MaxLease.Milliseconds()), "bounds.graceS": "6", "bounds.evacMs": "5000",
		"bounds.migrateS": fmt.Sprint(MoveTime.Seconds()), "bounds.maintS": fmt.Sprint(UpkeepTime.Seconds()),
	}
	for name, value := range values {
		all[name] = value
	}
	for name, value := range all {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if at := strings.Index(text, "{{"); at >= 0 {
		return "", fmt.Errorf("%s: placeholder is not known: %.40s", template, text[at:])
	}
	return text, nil
}

// Start starts the process of a daemon. found is set when the whole system starts for the
// first time.
func (d *Daemon) Start(found bool) error {
	text, err := d.rendered(found)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if d.data != "" {
		if err := os.MkdirAll(d.data, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(program, "-role", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.record.Add("%s: started as process at %s", d.Name, d.IP)
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) {
	if d.cmd != nil {
		d.record.Add("%s: signal %s", d.Name, signal)
		_ = d.cmd.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.record.Add("%s: killed", d.Name)
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = nil
}

// LoseDisk empties the data folder of a daemon that does not run.
func (d *Daemon) LoseDisk() error {
	d.record.Add("%s: its disk is lost", d.Name)
	return os.RemoveAll(d.data)
}

// Control returns the address for targets and the operator.
func (d *Daemon) Control() string { return fmt.Sprintf("http://%s:%d", d.IP, controlPort) }

// Callers returns the address for requesters.
func (d *Daemon) Callers() string { return fmt.Sprintf("http://%s:%d", d.IP, callersPort) }

// StartAll starts all daemons for the first time.
func (in *Installation) StartAll() error {
	for _, d := range in.Daemons {
		if err := d.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (in *Installation) Close() {
	for _, d := range in.Daemons {
		d.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(in.Folder)
	}
}
