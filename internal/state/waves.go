package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

const (
	// maxWaveVMs is the maximum number of VMs in one wave.
	maxWaveVMs = 4096
	// defaultStopAfterFailures applies to a wave that states no number of its own.
	defaultStopAfterFailures = 2
)

func (m *Machine) declareWave(c *statepb.DeclareWave) *statepb.Outcome {
	wave := c.GetWave()
	if !ValidName(wave.GetId()) {
		return m.invalid("wave: %q is not a name", wave.GetId())
	}
	if known := m.waves[wave.Id]; known != nil {
		outcome := m.outcome(statepb.Code_CODE_CONFLICT, "wave %q exists already and is %s", wave.Id, known.Phase)
		outcome.Revision = known.Revision
		return outcome
	}
	vms, outcome := m.waveVMs(wave)
	if outcome != nil {
		return outcome
	}
	stored := proto.CloneOf(wave)
	stored.Vms = vms
	stored.Phase = statepb.WavePhase_WAVE_PHASE_RUNNING
	stored.Reason = ""
	stored.DeclaredUnixMs = m.nowMS
	stored.DoneVms, stored.FailedVms = nil, nil
	if stored.StopAfterFailures == 0 {
		stored.StopAfterFailures = defaultStopAfterFailures
	}
	stored.CanaryVms = max(1, stored.CanaryVms)
	stored.Revision = m.index
	m.waves[wave.Id] = stored
	return m.ok(m.index)
}

// waveVMs returns the named VMs and those that the selector matches, sorted by name.
func (m *Machine) waveVMs(wave *statepb.Wave) ([]string, *statepb.Outcome) {
	names := SelectVMs(wave, sorted(m.vms))
	if len(names) == 0 {
		return nil, m.invalid("wave %q: names no VM", wave.Id)
	}
	if len(names) > maxWaveVMs {
		return nil, m.invalid("wave %q: %d VMs, at most %d are allowed", wave.Id, len(names), maxWaveVMs)
	}
	for _, name := range names {
		if m.vms[name] == nil {
			return nil, m.notFound("vm", name)
		}
		if other := m.runningWaveOf(name); other != "" {
			return nil, m.refused("vm %q: is part of the running wave %q", name, other)
		}
	}
	return names, nil
}

// SelectVMs returns the names that a wave lists and those of the VMs that its
// selector matches, sorted and without duplicates.
func SelectVMs(wave *statepb.Wave, vms []*statepb.VM) []string {
	names := slices.Clone(wave.Vms)
	for _, vm := range vms {
		if wave.Selector != nil && selects(wave.Selector, vm) {
			names = append(names, vm.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func selects(s *statepb.WaveSelector, vm *statepb.VM) bool {
	if s.MaintainedBeforeUnixMs != 0 && vm.LastMaintainedUnixMs >= s.MaintainedBeforeUnixMs {
		return false
	}
	return matches(s.Pools, vm.Pool) && matches(s.Racks, vm.Rack) && matches(s.Zones, vm.Zone)
}

func matches(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}

// vmPendingInWave reports whether the wave is running and has not yet maintained the
// VM nor failed to.
func vmPendingInWave(wave *statepb.Wave, vm string) bool {
	return wave.GetPhase() == statepb.WavePhase_WAVE_PHASE_RUNNING && slices.Contains(wave.Vms, vm) &&
		!slices.Contains(wave.DoneVms, vm) && !slices.Contains(wave.FailedVms, vm)
}

// runningWaveOf returns the running wave in which the VM is pending, or "".
func (m *Machine) runningWaveOf(vm string) string {
	for _, wave := range sorted(m.waves) {
		if vmPendingInWave(wave, vm) {
			return wave.Id
		}
	}
	return ""
}

// checkWaveDrain allows a drain for a VM that is pending in the running wave,
// within the wave's own limit of VMs out of service at once.
func (m *Machine) checkWaveDrain(id, vm string) *statepb.Outcome {
	wave := m.waves[id]
	if wave == nil {
		return m.notFound("wave", id)
	}
	if !vmPendingInWave(wave, vm) {
		return m.refused("wave %q: is %s or has VM %q done already", id, wave.Phase, vm)
	}
	out := uint32(0)
	for _, other := range m.vms {
		if other.DrainOwner == WaveDrainOwner(id) {
			out++
		}
	}
	if wave.MaxParallelVms > 0 && out >= wave.MaxParallelVms {
		return m.refused("wave %q: %d VMs are out already, its limit", id, out)
	}
	return nil
}

// recordWaveResult records a finished VM in the wave that owned its drain. The wave
// stops in the same command, so that no other drain can start before it stops.
func (m *Machine) recordWaveResult(before *statepb.VM, c *statepb.AdvanceVM) {
	wave := m.waves[WaveOfDrainOwner(before.DrainOwner)]
	if wave == nil || !slices.Contains(wave.Vms, before.Name) || !c.Maintained && !c.Failed {
		return
	}
	next := proto.CloneOf(wave)
	next.Revision = m.index
	if c.Maintained && !slices.Contains(next.DoneVms, before.Name) {
		next.DoneVms = append(next.DoneVms, before.Name)
	}
	if c.Failed && !slices.Contains(next.FailedVms, before.Name) {
		next.FailedVms = append(next.FailedVms, before.Name)
	}
	failed := uint32(len(next.FailedVms))
	if next.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING && failed >= next.StopAfterFailures {
		next.Phase = statepb.WavePhase_WAVE_PHASE_STOPPED
		next.Reason = fmt.Sprintf("%d VMs failed, the wave stops after %d; the last: %s: %s",
			failed, next.StopAfterFailures, before.Name, c.Reason)
	}
	m.waves[wave.Id] = next
}

// endWave ends a running wave. The wave can end as done only if every VM that still
// exists was maintained.
func (m *Machine) endWave(c *statepb.EndWave) *statepb.Outcome {
	wave := m.waves[c.Wave]
	if wave == nil {
		return m.notFound("wave", c.Wave)
	}
	if c.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING || c.Phase == statepb.WavePhase_WAVE_PHASE_UNSPECIFIED {
		return m.invalid("phase: %s does not end a wave", c.Phase)
	}
	if wave.Phase != statepb.WavePhase_WAVE_PHASE_RUNNING {
		outcome := m.refused("wave %q: is %s already", wave.Id, wave.Phase)
		outcome.Revision = wave.Revision
		return outcome
	}
	if c.Phase == statepb.WavePhase_WAVE_PHASE_DONE {
		for _, name := range wave.Vms {
			if m.vms[name] != nil && !slices.Contains(wave.DoneVms, name) {
				return m.refused("wave %q: VM %q is not maintained yet", wave.Id, name)
			}
		}
	}
	next := proto.CloneOf(wave)
	next.Phase, next.Reason, next.Revision = c.Phase, c.Reason, m.index
	m.waves[wave.Id] = next
	return m.ok(m.index)
}
