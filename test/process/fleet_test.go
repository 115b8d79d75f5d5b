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
	rebootTime  = 300 * time.Millisecond
	watchPause  = 20 * time.Millisecond
	fleetBudget = 3
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
		cluster: startClusterWith(t, zones, false, extra), platform: platform,
		running: make(map[string]*standin.Target), dead: make(map[string]bool),
	}
}

// own starts a target and puts it under the platform.
func (f *fleet) own(cfg standin.Config) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.zone == cfg.Zone {
			cfg.Entries = append(cfg.Entries, "http://"+n.targets)
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

// die takes a VM away for good.
func (f *fleet) die(vm string) {
	f.mu.Lock()
	f.dead[vm] = true
	f.mu.Unlock()
	f.stopTarget(vm)
}

// vms returns the VMs as one daemon knows them.
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

// waitActive waits until the VMs take work.
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

// otherThan returns a daemon that is not the given one.
func (f *fleet) otherThan(not *node) *node {
	for _, n := range f.nodes {
		if n != not {
			return n
		}
	}
	return nil
}

// budgetWatch reads the VMs of one daemon over and over. It keeps each moment
// at which maintenance took a VM out of a pool that was left short.
type budgetWatch struct {
	stop   context.CancelFunc
	done   chan struct{}
	looks  int
	before map[string]string
	worst  string
}

func watchBudget(n *node, pool string) *budgetWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &budgetWatch{stop: cancel, done: make(chan struct{}), before: make(map[string]string)}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.look(n, pool)
			time.Sleep(watchPause)
		}
	}()
	return w
}

func (w *budgetWatch) look(n *node, pool string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.operator+"/v1/vms", nil)
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

// check compares with the look before. VMs lost between both looks count as
// available: they may have been lost after the drain or the reboot began.
func (w *budgetWatch) check(vms []operator.VMView, pool string) {
	w.looks++
	available, taken := 0, ""
	for _, vm := range vms {
		if vm.Pool != pool {
			continue
		}
		was := w.before[vm.Name]
		w.before[vm.Name] = vm.Phase
		switch {
		case vm.Phase == "active", vm.Phase == "down" && was == "active":
			available++
		case vm.Phase == "draining" && was != "draining", vm.Phase == "rebooting" && was != "rebooting":
			taken += " " + vm.Name
		}
	}
	if taken != "" && available < fleetBudget {
		w.worst = fmt.Sprintf("%s taken out, %d are available", taken, available)
	}
}

func (w *budgetWatch) end() {
	w.stop()
	<-w.done
}

// load sends requests until stopped and counts the broken ones.
func (f *fleet) load(n *node) (stop func() (served, broken int)) {
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

// TestWaveUnderFaults runs a wave over a loaded pool while two of its VMs die
// and the leader is killed: the pool keeps its budget as far as maintenance is
// concerned, no VM is rebooted twice, and the wave finishes or stops with its
// reason.
func TestWaveUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []string{"a", "b", "c"})
	first := f.nodes[0]
	f.mustTool(first, "pool", "create", "renderers")
	f.team(first, "kita", fleetDocument)
	f.waitVoters(first, 3)
	const size = 6
	for i := range size {
		zone := []string{"a", "b", "c"}[i%3]
		f.own(standin.Config{
			VM: fmt.Sprintf("r%d", i), Pool: "renderers", Zone: zone, Rack: fmt.Sprintf("rack-%s%d", zone, i/3),
			Slots: 4, Work: 20 * time.Millisecond,
		})
	}
	f.waitActive(first, size)
	leader := f.leader(first)
	ask := f.otherThan(leader)
	is.True(strings.Contains(f.mustTool(ask, "wave", "check", "kernel", "-pools", "renderers", "-deadline", "1s"), "cannot finish"))
	stop := f.load(ask)
	watch := watchBudget(ask, "renderers")
	f.platform.LoseAnswers(2)
	f.mustTool(ask, "wave", "declare", "kernel", "-pools", "renderers", "-deadline", "25s", "-force")
	eventually(t, 20*time.Second, "the first VM is done", func() error {
		wave, err := f.wave(ask, "kernel")
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
		wave, err = f.wave(ask, "kernel")
		if err == nil && wave.Phase == "running" {
			err = fmt.Errorf("running, %d done, %d failed, out %v", len(wave.Done), len(wave.Failed), wave.Out)
		}
		return err
	})
	watch.end()
	served, broken := stop()
	t.Logf("wave %s: %s; %d done, %d failed; %d requests served, %d broken; %d looks at the budget",
		wave.Phase, wave.Reason, len(wave.Done), len(wave.Failed), served, broken, watch.looks)
	is.True(wave.Phase == "done" || wave.Reason != "") // it says why it stopped
	is.True(len(wave.Done) >= 2)                       // it went on after the faults
	is.Equal(watch.worst, "")
	is.True(watch.looks > 0)
	is.True(served > 0)
	for i := range size {
		vm := fmt.Sprintf("r%d", i)
		is.True(f.platform.Reboots(vm) <= 1) // no VM was rebooted twice
	}
}

// TestMoveLostAnswer moves a VM with an answer that is lost and resent, the
// leader killed in mid-move: the VM ends in exactly one pool, for every daemon.
func TestMoveLostAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []string{"a", "b", "c"})
	first := f.nodes[0]
	f.mustTool(first, "pool", "create", "renderers")
	f.mustTool(first, "pool", "create", "plates")
	f.waitVoters(first, 3)
	f.own(standin.Config{VM: "r1", Pool: "renderers", Zone: "a", Slots: 4})
	f.own(standin.Config{VM: "r2", Pool: "renderers", Zone: "a", Slots: 4})
	f.waitActive(first, 2)
	vms, err := f.vms(first)
	is.NoErr(err)
	leader := f.leader(first)
	ask := f.otherThan(leader)
	args := []string{"vm", "-operation-id", state.NewID(), "-revision", fmt.Sprint(vms["r1"].Revision), "move", "r1", "plates"}
	first1 := f.mustTool(ask, args...)
	leader.kill()
	second := f.mustTool(ask, args...) // as if the first answer had been lost
	is.Equal(first1, second)           // the resend gets the first outcome
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
	third := f.mustTool(ask, args...)
	is.Equal(first1, third) // also after the move, and it moves nothing again
	vms, err = f.vms(ask)
	is.NoErr(err)
	is.Equal(vms["r1"].Pool, "plates")
	is.Equal(vms["r2"].Pool, "renderers")
	is.True(strings.Contains(f.mustTool(ask, "explain", "vm", "r1"), "pool plates"))
}

// TestTwoOperatorsMoveOneVM: of two moves based on the same revision one wins
// and the other is told what is in force.
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
	f.own(standin.Config{VM: "r1", Pool: "renderers", Zone: "a", Slots: 4})
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
