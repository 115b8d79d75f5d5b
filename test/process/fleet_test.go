package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/operator"
	"sapphirering/internal/state"
	"sapphirering/test/standin"
)

const (
	rebootTime         = 300 * time.Millisecond
	budgetPollInterval = 20 * time.Millisecond
	minAvailableVMs    = 3
)

const fleetDocument = `team: kita
share: 1
upper_limit: 64
queues:
  - name: proofs
    pool: renderers
    class: normal
availability:
  - pool: renderers
    min_available_vms: 3
`

// fleet is a cluster with a platform that reboots its stand-in targets.
type fleet struct {
	*cluster
	platform *standin.Platform

	mu      sync.Mutex
	running map[string]*standin.Target
	dead    map[string]bool
}

func startFleet(t *testing.T, zones []string) *fleet {
	t.Helper()
	platform, err := standin.StartPlatform("127.0.0.1:0", rebootTime)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	extra := fmt.Sprintf("platform_url: %q\n", platform.Address())
	return &fleet{
		cluster: startClusterWithSettings(t, zones, false, extra), platform: platform,
		running: make(map[string]*standin.Target), dead: make(map[string]bool),
	}
}

// addVM starts a target and registers it as a VM of the platform.
func (f *fleet) addVM(cfg standin.Config) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.zone == cfg.Zone {
			cfg.Entries = append(cfg.Entries, "http://"+n.targetAddress)
		}
	}
	cfg.Listen = "127.0.0.1:0"
	start := func() error {
		target, err := standin.Start(cfg)
		if err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.dead[cfg.VM] {
			target.Close()
			return fmt.Errorf("VM %s is dead", cfg.VM)
		}
		f.running[cfg.VM] = target
		return nil
	}
	if err := start(); err != nil {
		f.t.Fatal(err)
	}
	f.platform.AddVM(cfg.VM, standin.VMControl{Stop: func() { f.stopTarget(cfg.VM) }, Start: start})
	f.t.Cleanup(func() { f.die(cfg.VM) })
}

func (f *fleet) stopTarget(vm string) {
	f.mu.Lock()
	target := f.running[vm]
	delete(f.running, vm)
	f.mu.Unlock()
	if target != nil {
		target.Close()
	}
}

// die stops a VM and makes every later start of it fail.
func (f *fleet) die(vm string) {
	f.mu.Lock()
	f.dead[vm] = true
	f.mu.Unlock()
	f.stopTarget(vm)
}

// vms returns the VMs that one daemon lists, by name.
func (f *fleet) vms(n *node) (map[string]operator.VMView, error) {
	var views []operator.VMView
	if err := f.toolJSON(n, &views, "vm", "list"); err != nil {
		return nil, err
	}
	byName := make(map[string]operator.VMView, len(views))
	for _, view := range views {
		byName[view.Name] = view
	}
	return byName, nil
}

// waitActive waits until the node lists count VMs in phase active.
func (f *fleet) waitActive(n *node, count int) {
	f.t.Helper()
	eventually(f.t, startTimeout, fmt.Sprintf("%d active VMs", count), func() error {
		vms, err := f.vms(n)
		active := 0
		for _, vm := range vms {
			if vm.Phase == "active" {
				active++
			}
		}
		if err == nil && active != count {
			err = fmt.Errorf("%d VMs are active", active)
		}
		return err
	})
}

func (f *fleet) wave(n *node, id string) (operator.WaveView, error) {
	var view operator.WaveView
	err := f.toolJSON(n, &view, "wave", "show", id)
	return view, err
}

// otherThan returns a daemon other than the given one.
func (f *fleet) otherThan(excluded *node) *node {
	for _, n := range f.nodes {
		if n != excluded {
			return n
		}
	}
	return nil
}

// budgetWatch polls the VM list of one daemon. It keeps the last reading in which
// maintenance had taken a VM out of the pool and left fewer available VMs than the
// budget.
type budgetWatch struct {
	stop      context.CancelFunc
	done      chan struct{}
	readings  int
	lastPhase map[string]string
	violation string
}

func watchBudget(n *node, pool string) *budgetWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &budgetWatch{stop: cancel, done: make(chan struct{}), lastPhase: make(map[string]string)}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.readVMs(n, pool)
			time.Sleep(budgetPollInterval)
		}
	}()
	return w
}

func (w *budgetWatch) readVMs(n *node, pool string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.operatorAddress+"/v1/vms", nil)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var vms []operator.VMView
	if json.NewDecoder(response.Body).Decode(&vms) == nil {
		w.check(vms, pool)
	}
}

// check compares the VMs with the previous reading. VMs lost between the two
// readings count as available: they may have been lost after the drain or the
// reboot began.
func (w *budgetWatch) check(vms []operator.VMView, pool string) {
	w.readings++
	available, taken := 0, ""
	for _, vm := range vms {
		if vm.Pool != pool {
			continue
		}
		was := w.lastPhase[vm.Name]
		w.lastPhase[vm.Name] = vm.Phase
		switch {
		case vm.Phase == "active", vm.Phase == "down" && was == "active":
			available++
		case vm.Phase == "draining" && was != "draining", vm.Phase == "rebooting" && was != "rebooting":
			taken += " " + vm.Name
		}
	}
	if taken != "" && available < minAvailableVMs {
		w.violation = fmt.Sprintf("%s taken out, %d are available", taken, available)
	}
}

func (w *budgetWatch) end() {
	w.stop()
	<-w.done
}

// startLoad sends requests until stop is called, which returns how many were
// served and how many broke.
func (f *fleet) startLoad(n *node) (stop func() (served, broken int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var callers sync.WaitGroup
	served, broken := 0, 0
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				got, err := f.call(context.Background(), n, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte(`{"work_ms":20}`))
				mu.Lock()
				switch {
				case err == nil && got.status == http.StatusOK:
					served++
				case err != nil || got.outcome != "not-run":
					broken++
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() (int, int) {
		cancel()
		callers.Wait()
		return served, broken
	}
}

// TestWaveUnderFaults runs a wave over a loaded pool while two of its VMs die and
// the leader is killed: maintenance never breaks the pool's availability budget,
// no VM is rebooted twice, and the wave finishes, or stops and gives its reason.
func TestWaveUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []string{"a", "b", "c"})
	first := f.nodes[0]
	f.mustTool(first, "pool", "create", "renderers")
	f.addTeam(first, "kita", fleetDocument)
	f.waitVoters(first, 3)
	const size = 6
	for i := range size {
		zone := []string{"a", "b", "c"}[i%3]
		f.addVM(standin.Config{
			VM: fmt.Sprintf("r%d", i), Pool: "renderers", Zone: zone, Rack: fmt.Sprintf("rack-%s%d", zone, i/3),
			Slots: 4, Work: 20 * time.Millisecond,
		})
	}
	f.waitActive(first, size)
	leader := f.leader(first)
	via := f.otherThan(leader)
	is.True(strings.Contains(f.mustTool(via, "wave", "check", "kernel", "-pools", "renderers", "-deadline", "1s"), "cannot finish"))
	stop := f.startLoad(via)
	watch := watchBudget(via, "renderers")
	f.platform.LoseAnswers(2)
	f.mustTool(via, "wave", "declare", "kernel", "-pools", "renderers", "-deadline", "25s", "-force")
	eventually(t, 20*time.Second, "the first VM is done", func() error {
		wave, err := f.wave(via, "kernel")
		if err == nil && len(wave.Done) == 0 {
			err = fmt.Errorf("none of %d is done: %s %s", len(wave.VMs), wave.Phase, wave.Reason)
		}
		return err
	})
	f.die("r5")
	leader.kill()
	f.die("r4")
	leader.start(false)
	var wave operator.WaveView
	eventually(t, 50*time.Second, "the wave ends", func() error {
		var err error
		wave, err = f.wave(via, "kernel")
		if err == nil && wave.Phase == "running" {
			err = fmt.Errorf("running, %d done, %d failed, out %v", len(wave.Done), len(wave.Failed), wave.Out)
		}
		return err
	})
	watch.end()
	served, broken := stop()
	t.Logf("wave %s: %s; %d done, %d failed; %d requests served, %d broken; %d readings of the budget",
		wave.Phase, wave.Reason, len(wave.Done), len(wave.Failed), served, broken, watch.readings)
	is.True(wave.Phase == "done" || wave.Reason != "") // a wave that stopped gives its reason
	is.True(len(wave.Done) >= 2)                       // the wave continued after the faults
	is.Equal(watch.violation, "")
	is.True(watch.readings > 0)
	is.True(served > 0)
	for i := range size {
		vm := fmt.Sprintf("r%d", i)
		is.True(f.platform.Reboots(vm) <= 1) // no VM was rebooted twice
	}
}

// TestMoveLostAnswer moves a VM, kills the leader during the move and resends the
// move as if its answer had been lost: all daemons show the VM in exactly one
// pool.
func TestMoveLostAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []string{"a", "b", "c"})
	first := f.nodes[0]
	f.mustTool(first, "pool", "create", "renderers")
	f.mustTool(first, "pool", "create", "plates")
	f.waitVoters(first, 3)
	f.addVM(standin.Config{VM: "r1", Pool: "renderers", Zone: "a", Slots: 4})
	f.addVM(standin.Config{VM: "r2", Pool: "renderers", Zone: "a", Slots: 4})
	f.waitActive(first, 2)
	vms, err := f.vms(first)
	is.NoErr(err)
	leader := f.leader(first)
	via := f.otherThan(leader)
	args := []string{"vm", "-operation-id", state.NewID(), "-revision", fmt.Sprint(vms["r1"].Revision), "move", "r1", "plates"}
	firstResult := f.mustTool(via, args...)
	leader.kill()
	secondResult := f.mustTool(via, args...) // as if the first answer had been lost
	is.Equal(firstResult, secondResult)      // the resend gets the first result
	leader.start(false)
	for _, n := range f.nodes {
		eventually(t, inForceBound+10*time.Second, "r1 is in pool plates for "+n.name, func() error {
			vms, err := f.vms(n)
			if err != nil {
				return err
			}
			if vm := vms["r1"]; vm.Pool != "plates" || vm.Phase != "active" {
				return fmt.Errorf("r1 is %s in pool %s", vm.Phase, vm.Pool)
			}
			return nil
		})
	}
	thirdResult := f.mustTool(via, args...)
	is.Equal(firstResult, thirdResult) // a resend after the move gets it too and moves nothing
	vms, err = f.vms(via)
	is.NoErr(err)
	is.Equal(vms["r1"].Pool, "plates")
	is.Equal(vms["r2"].Pool, "renderers")
	is.True(strings.Contains(f.mustTool(via, "explain", "vm", "r1"), "pool plates"))
}

// TestTwoOperatorsMoveOneVM sends two moves based on the same revision: one
// succeeds and the other is refused with an error that says what is in force.
func TestTwoOperatorsMoveOneVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []string{"a", "b", "c"})
	first := f.nodes[0]
	pools := []string{"plates", "foils"}
	f.mustTool(first, "pool", "create", "renderers")
	for _, pool := range pools {
		f.mustTool(first, "pool", "create", pool)
	}
	f.addVM(standin.Config{VM: "r1", Pool: "renderers", Zone: "a", Slots: 4})
	f.waitActive(first, 1)
	vms, err := f.vms(first)
	is.NoErr(err)
	revision := fmt.Sprint(vms["r1"].Revision)
	errs := make([]error, len(pools))
	var operators sync.WaitGroup
	for i, pool := range pools {
		operators.Go(func() { _, errs[i] = f.tool(f.nodes[i], "vm", "-revision", revision, "move", "r1", pool) })
	}
	operators.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	is.NoErr(errs[winner])
	is.True(errs[1-winner] != nil)
	is.True(strings.Contains(errs[1-winner].Error(), "is in force"))
	eventually(t, inForceBound+10*time.Second, "the winner's move is done", func() error {
		vms, err := f.vms(first)
		if err == nil && (vms["r1"].Pool != pools[winner] || vms["r1"].Phase != "active") {
			err = fmt.Errorf("r1 is %s in pool %s", vms["r1"].Phase, vms["r1"].Pool)
		}
		return err
	})
}
