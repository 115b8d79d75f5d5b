package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sapphirering/internal/state/statepb"
)

// maxRound is the time allowed for one round at the target size: 1.2% of a
// core, at two rounds a second.
const maxRound = 6 * time.Millisecond

// BenchmarkFleetRound measures one round of the VM loops with one wave over all
// VMs, and fails above maxRound.
func BenchmarkFleetRound(b *testing.B) {
	for _, size := range []struct{ pools, perPool int }{{5, 10}, {83, 6}} {
		b.Run(fmt.Sprintf("vms=%d", size.pools*size.perPool), func(b *testing.B) {
			zones := []string{"a", "b", "c", "d", "e", "f", "g"}
			r := newRig(b, zones...)
			var names []string
			for p := range size.pools {
				pool := fmt.Sprintf("p%d", p)
				r.addPool(pool, false, uint32(size.perPool-1))
				for i := range size.perPool {
					names = append(names, fmt.Sprintf("%s-%d", pool, i))
					r.addVM(names[len(names)-1], pool, zones[len(names)%len(zones)])
				}
			}
			waves := 0
			r.declareWave(waveName(waves), names...)
			r.renew()
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				r.now = r.now.Add(stepsPerRound * stepInterval)
				r.returnRebooted()
				r.renew()
				switch wave := r.machine.Wave(waveName(waves)); wave.Phase {
				case statepb.WavePhase_WAVE_PHASE_DONE:
					waves++
					r.declareWave(waveName(waves), names...)
				case statepb.WavePhase_WAVE_PHASE_STOPPED:
					b.Fatalf("the wave stopped: %s", wave.Reason)
				}
				b.StartTimer()
				if err := r.manager.manageVMs(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			if took := b.Elapsed() / time.Duration(b.N); took > maxRound {
				b.Errorf("a round takes %s, at most %s is allowed", took, maxRound)
			}
		})
	}
}

func waveName(number int) string { return fmt.Sprintf("w%d", number) }
