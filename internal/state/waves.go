package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

func (m *Machine) declareWave(c *statepb.DeclareWave) *statepb.Outcome {
	wave := c.GetWave()
	if !ValidName(wave.GetId()) {
		return m.invalid("wave: %q is not a name", wave.GetId())
	}
	if m.waves[wave.Id] != nil {
		return m.refused("wave %q exists already", wave.Id)
	}
	if len(wave.Vms) == 0 {
		return m.invalid("wave %q: names no VM", wave.Id)
	}
	for _, name := range wave.Vms {
		if m.vms[name] == nil {
			return m.notFound("vm", name)
		}
		if other := m.runningWaveOf(name); other != "" {
			return m.refused("vm %q: is part of the running wave %q", name, other)
		}
	}
	stored := proto.CloneOf(wave)
	stored.Phase = statepb.WavePhase_WAVE_PHASE_RUNNING
	stored.DeclaredUnixMs = m.nowMS
	stored.DoneVms, stored.FailedVms = nil, nil
	stored.Revision = m.index
	m.waves[wave.Id] = stored
	return m.ok(m.index)
}

// runningWaveOf returns the running wave that still has the VM to do, or "".
func (m *Machine) runningWaveOf(vm string) string {
	for _, wave := range m.waves {
		if wave.Phase != statepb.WavePhase_WAVE_PHASE_RUNNING || !slices.Contains(wave.Vms, vm) {
			continue
		}
		if !slices.Contains(wave.DoneVms, vm) && !slices.Contains(wave.FailedVms, vm) {
			return wave.Id
		}
	}
	return ""
}

// noteWaveResult counts a finished VM in the wave that owned its drain.
func (m *Machine) noteWaveResult(before *statepb.VM, c *statepb.AdvanceVM) {
	wave := m.waves[before.DrainOwner]
	if wave == nil || !c.Maintained && !c.Failed {
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
	m.waves[wave.Id] = next
}

func (m *Machine) endWave(c *statepb.EndWave) *statepb.Outcome {
	wave := m.waves[c.Wave]
	if wave == nil {
		return m.notFound("wave", c.Wave)
	}
	if c.Phase == statepb.WavePhase_WAVE_PHASE_RUNNING || c.Phase == statepb.WavePhase_WAVE_PHASE_UNSPECIFIED {
		return m.invalid("phase: %s does not end a wave", c.Phase)
	}
	if wave.Phase != statepb.WavePhase_WAVE_PHASE_RUNNING {
		return m.refused("wave %q: is %s already", wave.Id, wave.Phase)
	}
	next := proto.CloneOf(wave)
	next.Phase, next.Reason, next.Revision = c.Phase, c.Reason, m.index
	m.waves[wave.Id] = next
	return m.ok(m.index)
}
