package replay

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/yaml.v3"

	"sapphirering/internal/config"
	"sapphirering/internal/control"
	"sapphirering/internal/policy/capacity"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// fleetEpochMS is the start time of every fleet trace, in Unix milliseconds.
const fleetEpochMS = 1_800_000_000_000

// FleetTrace is a recorded or handwritten sequence of events in a fleet, with the
// outcome that is expected of the policies.
type FleetTrace struct {
	Name       string          `yaml:"name"`
	Deployment string          `yaml:"deployment"`
	About      string          `yaml:"about"`
	Seed       int64           `yaml:"seed"`
	Tick       config.Duration `yaml:"tick"`
	Duration   config.Duration `yaml:"duration"`
	Zones      int             `yaml:"zones"`
	RackSize   int             `yaml:"rack_size"`
	Pools      []FleetPool     `yaml:"pools"`
	Drain      config.Duration `yaml:"drain"`
	Reboot     config.Duration `yaml:"reboot"`
	Waves      []FleetWave     `yaml:"waves"`
	Faults     []FleetFault    `yaml:"faults"`
	Expect     FleetExpect     `yaml:"expect"`
}

// FleetPool describes one pool, or Count equal pools.
type FleetPool struct {
	Name  string `yaml:"name"`
	Count int    `yaml:"count"`
	VMs   int    `yaml:"vms"`
	// BaselineVMs is the number of VMs in the baseline, including its static buffer.
	BaselineVMs int  `yaml:"baseline_vms"`
	Budget      int  `yaml:"budget"`
	Spare       bool `yaml:"spare"`
	UnitsPerVM  int  `yaml:"units_per_vm"`
	MeanUnits   int  `yaml:"mean_units"`
	// Bursts makes the demand five times the mean for a fifth of each cycle of 20 s,
	// and a twentieth of the mean otherwise.
	Bursts bool `yaml:"bursts"`
	// Rise multiplies the mean from one time to another.
	Rise *FleetRise `yaml:"rise"`
}

// FleetRise is a rise of demand that lasts from From to To.
type FleetRise struct {
	From   config.Duration `yaml:"from"`
	To     config.Duration `yaml:"to"`
	Factor float64         `yaml:"factor"`
}

// FleetWave declares a maintenance wave over all VMs, or over those that are due first.
type FleetWave struct {
	At       config.Duration `yaml:"at"`
	Deadline config.Duration `yaml:"deadline"`
	Canary   int             `yaml:"canary"`
	// DueVMs limits the wave to that many VMs that are due first; zero means all VMs.
	DueVMs int `yaml:"due_vms"`
	// Repeat is the interval at which the wave is declared again; zero means once.
	Repeat config.Duration `yaml:"repeat"`
}

// FleetFault makes VMs fail until Back has passed, or makes reboots fail from then on.
type FleetFault struct {
	At config.Duration `yaml:"at"`
	// VMs is the number of random VMs that fail.
	VMs         int             `yaml:"vms"`
	Rack        string          `yaml:"rack"`
	Zone        string          `yaml:"zone"`
	Back        config.Duration `yaml:"back"`
	FailReboots bool            `yaml:"fail_reboots"`
	Repeat      config.Duration `yaml:"repeat"`
}

// FleetExpect states the bounds of the outcome. Bounds of zero are not checked.
type FleetExpect struct {
	// Waves is the final phase of the last wave: done or stopped.
	Waves            string          `yaml:"waves"`
	MaxFailed        int             `yaml:"max_failed"`
	MaxRollout       config.Duration `yaml:"max_rollout"`
	MaxRolloutRatio  float64         `yaml:"max_rollout_ratio"`
	MaxBufferRatio   float64         `yaml:"max_buffer_ratio"`
	MaxMoves         int             `yaml:"max_moves"`
	NoMoves          bool            `yaml:"no_moves"`
	MinMoves         int             `yaml:"min_moves"`
	MaxShortRatio    float64         `yaml:"max_short_ratio"`
	AllReturned      bool            `yaml:"all_home"`
	MaxMaintainedAge config.Duration `yaml:"max_maintained_age"`
}

// FleetResult holds the figures of one run.
type FleetResult struct {
	VMs int
	// BufferVMHours is the number of VM hours beyond the budgets of all pools.
	BufferVMHours float64
	// ShortVMHours is the number of VM hours that pools lacked for their budget or demand.
	ShortVMHours float64
	// Rollout is the longest time from a wave's declaration to its end.
	Rollout time.Duration
	Done    int
	Failed  int
	Phase   string
	Reason  string
	Moves   int
	// LentVMs is the number of VMs that are lent at the end.
	LentVMs int
	// MaintainedAge is the longest time without maintenance at the end.
	MaintainedAge time.Duration
	Commits       uint64
}

// LoadFleetTrace reads a trace; unknown fields are errors.
func LoadFleetTrace(path string) (*FleetTrace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	trace := new(FleetTrace)
	if err := decoder.Decode(trace); err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return trace, nil
}

// fleetRun is one run of a trace.
type fleetRun struct {
	trace           *FleetTrace
	naive           bool
	rng             *rand.Rand
	machine         *state.Machine
	index           uint64
	now             time.Duration
	pools           []FleetPool
	history         *capacity.History
	downUntil       map[string]time.Duration
	rebootsFail     bool
	lastIncarnation int
	waves           []FleetWave
	faults          []FleetFault
	result          FleetResult
	err             error
}

// RunFleet replays the trace with the policies, or with the naive baseline: a
// static buffer in each pool, and maintenance of one VM at a time in the order of names.
func RunFleet(trace *FleetTrace, naive bool) (FleetResult, error) {
	r := newFleetRun(trace, naive)
	for r.now = 0; r.now < trace.Duration.Duration && r.err == nil; r.now += r.step() {
		r.tick()
	}
	r.finish()
	return r.result, r.err
}

// newFleetRun builds the fleet of a trace.
func newFleetRun(trace *FleetTrace, naive bool) *fleetRun {
	r := &fleetRun{
		trace: trace, naive: naive, rng: rand.New(rand.NewSource(trace.Seed)), machine: state.New(),
		history: capacity.NewHistory(), downUntil: make(map[string]time.Duration),
		waves: append([]FleetWave(nil), trace.Waves...), faults: append([]FleetFault(nil), trace.Faults...),
	}
	r.setUp()
	return r
}

func (r *fleetRun) wallTime() time.Time { return time.UnixMilli(fleetEpochMS).Add(r.now) }

// apply commits a command and checks the availability budget at its index.
func (r *fleetRun) apply(command *statepb.Command) *statepb.Outcome {
	r.index++
	command.TimeUnixMs = r.wallTime().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		r.err = err
		return &statepb.Outcome{Code: statepb.Code_CODE_INVALID}
	}
	pool, takesOut := r.poolLosingVM(command)
	outcome := r.machine.Apply(r.index, data).(*statepb.Outcome)
	if outcome.Code == statepb.Code_CODE_OK && takesOut {
		if least, available := r.machine.Budget(pool); available < least && r.err == nil {
			r.err = fmt.Errorf("index %d at %s: %T leaves pool %s with %d available VMs, its budget is %d",
				r.index, r.now, command.Body, pool, available, least)
		}
	}
	return outcome
}

// poolLosingVM returns the pool that loses an available VM by a command of maintenance or of a move.
func (r *fleetRun) poolLosingVM(command *statepb.Command) (pool string, takesOut bool) {
	switch body := command.Body.(type) {
	case *statepb.Command_StartDrain:
		return r.machine.VM(body.StartDrain.Vm).GetPool(), true
	case *statepb.Command_MoveVm:
		return r.machine.VM(body.MoveVm.Vm).GetPool(), true
	case *statepb.Command_AdvanceVm:
		return r.machine.VM(body.AdvanceVm.Vm).GetPool(), body.AdvanceVm.Phase == statepb.VMPhase_VM_PHASE_REBOOTING
	}
	return "", false
}

func (r *fleetRun) setUp() {
	r.now = -maintenance.Period
	for _, pool := range r.trace.Pools {
		for i := range max(1, pool.Count) {
			single := pool
			if pool.Count > 1 {
				single.Name = fmt.Sprintf("%s%02d", pool.Name, i)
			}
			if r.naive {
				single.VMs = single.BaselineVMs
			}
			r.pools = append(r.pools, single)
		}
	}
	for _, pool := range r.pools {
		r.apply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
			Pool: &statepb.Pool{Name: pool.Name, Spare: pool.Spare},
		}}})
		r.apply(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
			Document: &statepb.TeamDocument{
				Team: pool.Name, ShareWeight: 1, UpperLimitUnits: 1,
				Budgets: []*statepb.AvailabilityBudget{{Pool: pool.Name, MinAvailableVms: uint32(pool.Budget)}},
			},
		}}})
	}
	r.setUpVMs()
}

// setUpVMs spreads each pool over zones, and the VMs of a zone over racks. The last
// maintenance of the VMs is spread evenly over the past period.
func (r *fleetRun) setUpVMs() {
	perZone := make([]int, r.trace.Zones)
	total := 0
	for _, pool := range r.pools {
		total += pool.VMs
	}
	for _, pool := range r.pools {
		for i := range pool.VMs {
			zone := r.result.VMs % r.trace.Zones
			rack := perZone[zone] / r.trace.RackSize
			perZone[zone]++
			age := maintenance.Period * time.Duration(total-1-r.result.VMs) / time.Duration(total)
			r.now = -age
			r.announce(&statepb.VM{
				Name: fmt.Sprintf("%s-%02d", pool.Name, i), Pool: pool.Name, Zone: string(rune('a' + zone)),
				Rack: fmt.Sprintf("%c%d", 'a'+zone, rack), Slots: uint32(pool.UnitsPerVM),
			})
			r.result.VMs++
		}
	}
	r.now = 0
}

func (r *fleetRun) announce(vm *statepb.VM) {
	r.lastIncarnation++
	vm.Incarnation = strconv.Itoa(r.lastIncarnation)
	r.apply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: vm}}})
}

// step returns the time to the next tick, which skips periods in which nothing can happen.
func (r *fleetRun) step() time.Duration {
	tick := r.trace.Tick.Duration
	if r.busy() {
		return tick
	}
	next := r.trace.Duration.Duration
	for _, wave := range r.waves {
		next = min(next, wave.At.Duration)
	}
	for _, fault := range r.faults {
		next = min(next, fault.At.Duration)
	}
	skip := max(tick, next-r.now)
	r.measure(skip - tick)
	return skip
}

// busy reports whether no time may be skipped: a wave is running, a VM is not
// active or is lent, or the demand changes.
func (r *fleetRun) busy() bool {
	for _, pool := range r.pools {
		if pool.Bursts || pool.Rise != nil {
			return true
		}
	}
	for _, wave := range r.machine.Waves() {
		if wave.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING {
			return true
		}
	}
	for _, vm := range r.machine.VMs() {
		if vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE || vm.LentFrom != "" {
			return true
		}
	}
	return false
}

func (r *fleetRun) tick() {
	r.startDueEvents()
	for _, vm := range r.machine.VMs() {
		r.advance(vm)
	}
	if r.naive {
		r.planNaive()
	} else {
		r.plan()
	}
	r.measure(r.trace.Tick.Duration)
}

// startDueEvents starts the waves and faults that are due.
func (r *fleetRun) startDueEvents() {
	for i := range r.waves {
		if wave := &r.waves[i]; wave.At.Duration <= r.now {
			r.declare(wave)
			wave.At.Duration = nextTime(wave.At.Duration, wave.Repeat.Duration)
		}
	}
	for i := range r.faults {
		if fault := &r.faults[i]; fault.At.Duration <= r.now {
			r.injectFault(fault)
			fault.At.Duration = nextTime(fault.At.Duration, fault.Repeat.Duration)
		}
	}
}

// nextTime returns the next time of a repeated event, or a time after the end of every trace.
func nextTime(at, repeat time.Duration) time.Duration {
	if repeat == 0 {
		return 1 << 62
	}
	return at + repeat
}

func (r *fleetRun) declare(w *FleetWave) {
	wave := &statepb.Wave{
		Id: fmt.Sprintf("wave-%d", r.index), CanaryVms: uint32(w.Canary), StopAfterFailures: 2,
		DeadlineUnixMs: r.wallTime().Add(w.Deadline.Duration).UnixMilli(),
	}
	if r.naive {
		wave.StopAfterFailures = 1 << 20 // never stops for failures
	}
	due := maintenance.Due(control.MaintenanceSnapshot(r.machine, r.wallTime()).VMs)
	if w.DueVMs > 0 {
		due = due[:min(len(due), w.DueVMs)]
	}
	for _, vm := range due {
		wave.Vms = append(wave.Vms, vm.VM.Name)
	}
	if outcome := r.apply(&statepb.Command{Body: &statepb.Command_DeclareWave{DeclareWave: &statepb.DeclareWave{Wave: wave}}}); outcome.Code != statepb.Code_CODE_OK {
		r.err = fmt.Errorf("declare %s at %s: %s", wave.Id, r.now, outcome.Message)
	}
}

func (r *fleetRun) injectFault(f *FleetFault) {
	r.rebootsFail = r.rebootsFail || f.FailReboots
	vms := r.machine.VMs()
	if f.VMs > 0 {
		r.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		vms = vms[:min(len(vms), f.VMs)]
	}
	for _, vm := range vms {
		affected := f.VMs > 0 || f.Rack != "" && vm.Rack == f.Rack || f.Zone != "" && vm.Zone == f.Zone
		if affected && vm.Phase != statepb.VMPhase_VM_PHASE_DOWN {
			r.setPhase(vm, statepb.VMPhase_VM_PHASE_DOWN, false, false)
			r.downUntil[vm.Name] = r.now + f.Back.Duration
		}
	}
}

func (r *fleetRun) setPhase(vm *statepb.VM, phase statepb.VMPhase, maintained, failed bool) bool {
	outcome := r.apply(&statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: vm.Revision, Phase: phase, Maintained: maintained, Failed: failed,
		Reason: "replayed",
	}}})
	return outcome.Code == statepb.Code_CODE_OK
}

// advance moves one VM to its next phase as the leader's loops would.
func (r *fleetRun) advance(vm *statepb.VM) {
	since := time.Duration(r.wallTime().UnixMilli()-vm.PhaseSinceUnixMs) * time.Millisecond
	switch vm.Phase {
	case statepb.VMPhase_VM_PHASE_DRAINING:
		if since >= r.trace.Drain.Duration {
			r.setPhase(vm, statepb.VMPhase_VM_PHASE_DRAINED, false, false)
		}
	case statepb.VMPhase_VM_PHASE_DRAINED:
		r.afterDrain(vm)
	case statepb.VMPhase_VM_PHASE_REBOOTING:
		if since >= r.trace.Reboot.Duration {
			r.endReboot(vm)
		}
	case statepb.VMPhase_VM_PHASE_DOWN:
		if until, lost := r.downUntil[vm.Name]; lost && r.now >= until {
			delete(r.downUntil, vm.Name)
			r.setPhase(vm, statepb.VMPhase_VM_PHASE_ACTIVE, false, false)
		}
	}
}

// afterDrain reboots or moves a drained VM. If that is refused because failed VMs
// have used up the budget, the VM becomes active again.
func (r *fleetRun) afterDrain(vm *statepb.VM) {
	if vm.MoveToPool != "" {
		outcome := r.apply(&statepb.Command{Body: &statepb.Command_MoveVm{
			MoveVm: &statepb.MoveVM{Vm: vm.Name, BaseRevision: vm.Revision, ToPool: vm.MoveToPool},
		}})
		if outcome.Code == statepb.Code_CODE_OK {
			r.result.Moves++
			return
		}
	} else if r.setPhase(vm, statepb.VMPhase_VM_PHASE_REBOOTING, false, false) {
		return
	}
	r.setPhase(r.machine.VM(vm.Name), statepb.VMPhase_VM_PHASE_ACTIVE, false, false)
}

func (r *fleetRun) endReboot(vm *statepb.VM) {
	if r.rebootsFail {
		r.setPhase(vm, statepb.VMPhase_VM_PHASE_DOWN, false, true)
		return
	}
	r.announce(proto.CloneOf(vm))
	r.setPhase(r.machine.VM(vm.Name), statepb.VMPhase_VM_PHASE_ACTIVE, true, false)
}

// plan plans one round of both policies and applies the plans as the leader's loops do.
func (r *fleetRun) plan() {
	plan, moves := r.makePlans()
	r.endWaves(plan.Ends)
	for _, start := range plan.Starts {
		r.startDrain(start.VM, &statepb.StartDrain{Owner: state.WaveDrainOwner(start.Wave), Reason: start.Reason})
	}
	for _, move := range moves.Moves {
		r.startDrain(move.VM, &statepb.StartDrain{
			Owner: state.MoveDrainOwner, Reason: move.Reason, MoveToPool: move.To, ToPoolEpoch: move.ToEpoch,
		})
	}
}

// makePlans plans one round of both policies without applying the plans.
func (r *fleetRun) makePlans() (maintenance.Plan, capacity.Plan) {
	plan := maintenance.MakePlan(control.MaintenanceSnapshot(r.machine, r.wallTime()))
	for _, pool := range r.pools {
		r.history.Observe(pool.Name, r.wallTime(), r.demand(pool))
	}
	extras := make(map[string]capacity.Pool)
	for _, need := range plan.SpareRequests {
		extras[need.Pool] = capacity.Pool{Extra: need.VMs, ExtraReason: need.Reason}
	}
	return plan, capacity.MakePlan(control.CapacitySnapshot(r.machine, r.wallTime(), extras), r.history)
}

func (r *fleetRun) startDrain(vm string, c *statepb.StartDrain) {
	c.Vm, c.BaseRevision = vm, r.machine.VM(vm).GetRevision()
	r.apply(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: c}})
}

func (r *fleetRun) endWaves(ends []maintenance.End) {
	for _, end := range ends {
		phase := statepb.WavePhase_WAVE_PHASE_STOPPED
		if end.Done {
			phase = statepb.WavePhase_WAVE_PHASE_DONE
		}
		r.apply(&statepb.Command{Body: &statepb.Command_EndWave{
			EndWave: &statepb.EndWave{Wave: end.Wave, Phase: phase, Reason: end.Reason},
		}})
	}
}

// planNaive drains one VM at a time, in the order of names.
func (r *fleetRun) planNaive() {
	s := control.MaintenanceSnapshot(r.machine, r.wallTime())
	for _, vm := range s.VMs {
		if vm.Condition == maintenance.Out {
			return
		}
	}
	for _, wave := range s.Waves {
		if r.nextNaive(wave) {
			return
		}
	}
}

// nextNaive drains the first VM of the wave whose drain the state machine accepts, or
// ends the wave when no VM is left or its deadline has passed.
func (r *fleetRun) nextNaive(wave maintenance.Wave) bool {
	ended := make(map[string]bool)
	for _, name := range append(append([]string(nil), wave.Done...), wave.Failed...) {
		ended[name] = true
	}
	left := 0
	for _, name := range wave.VMs {
		if ended[name] {
			continue
		}
		left++
		if r.machine.VM(name).GetPhase() != statepb.VMPhase_VM_PHASE_ACTIVE {
			continue
		}
		r.startDrain(name, &statepb.StartDrain{Owner: state.WaveDrainOwner(wave.ID)})
		if r.machine.VM(name).Phase == statepb.VMPhase_VM_PHASE_DRAINING {
			return true
		}
	}
	if left == 0 || r.wallTime().After(wave.Deadline) {
		r.endWaves([]maintenance.End{{Wave: wave.ID, Done: left == 0 && len(wave.Failed) == 0, Reason: "nothing is left"}})
	}
	return false
}

// demand returns the demand on a pool now, in units.
func (r *fleetRun) demand(pool FleetPool) float64 {
	mean := r.meanUnits(pool)
	if !pool.Bursts {
		return mean
	}
	const cycle, burst = 20 * time.Second, 4 * time.Second
	offset := time.Duration(len(pool.Name)*7+int(pool.Name[len(pool.Name)-1])) * time.Second
	if (r.now+offset)%cycle < burst {
		return 5 * mean
	}
	return mean / 20
}

func (r *fleetRun) meanUnits(pool FleetPool) float64 {
	mean := float64(pool.MeanUnits)
	if rise := pool.Rise; rise != nil && r.now >= rise.From.Duration && r.now < rise.To.Duration {
		mean *= rise.Factor
	}
	return mean
}

// measure adds the buffer and short VM hours of the duration d, and updates the roll-out time.
func (r *fleetRun) measure(d time.Duration) {
	budgets := r.machine.Budgets()
	for _, pool := range r.pools {
		budget := budgets[pool.Name]
		need := max(float64(budget.MinAvailable), r.meanUnits(pool)/float64(max(1, pool.UnitsPerVM)))
		r.result.ShortVMHours += max(0, need-float64(budget.Available)) * d.Hours()
		r.result.BufferVMHours -= float64(budget.MinAvailable) * d.Hours()
	}
	r.result.BufferVMHours += float64(r.result.VMs) * d.Hours()
	for _, wave := range r.machine.Waves() {
		if wave.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING {
			declared := time.UnixMilli(wave.DeclaredUnixMs)
			r.result.Rollout = max(r.result.Rollout, r.wallTime().Sub(declared))
		}
	}
}

func (r *fleetRun) finish() {
	waves := r.machine.Waves()
	sort.Slice(waves, func(i, j int) bool { return waves[i].DeclaredUnixMs < waves[j].DeclaredUnixMs })
	for _, wave := range waves {
		r.result.Done += len(wave.DoneVms)
		r.result.Failed += len(wave.FailedVms)
		r.result.Phase, r.result.Reason = wave.Phase.String(), wave.Reason
	}
	for _, vm := range r.machine.VMs() {
		if vm.LentFrom != "" {
			r.result.LentVMs++
		}
		age := r.wallTime().Sub(time.UnixMilli(vm.LastMaintainedUnixMs))
		r.result.MaintainedAge = max(r.result.MaintainedAge, age)
	}
	r.result.Commits = r.index
}
