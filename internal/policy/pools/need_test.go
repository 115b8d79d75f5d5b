package pools

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"
)

// TestNeed checks the room that a job needs now, and the part of it that it no longer needs
// after 1.5 s.
func TestNeed(t *testing.T) {
	for _, test := range []struct {
		name         string
		work         Work
		now, passing int64
	}{
		{"ends before a VM could serve", Work{MillisMS: 5_000_000, ChainMS: 1000, LeftMS: 2000}, 4166, 4166},
		{"runs on", Work{MillisMS: 320_000_000, ChainMS: 4000, LeftMS: 6000}, 80_000, 5926},
		{"has run for a while", Work{MillisMS: 320_000_000, ChainMS: 4000, RunMS: 1000, LeftMS: 5000}, 80_000, 22_858},
		{"ends before a VM arrives", Work{MillisMS: 160_000_000, ChainMS: 2000, RunMS: 500, LeftMS: 3000}, 80_000, 80_000},
		{"waits for room", Work{MillisMS: 5_000_000, ChainMS: 1000, LeftMS: 2000, Waits: true}, 4166, 0},
		{"late, within the time that late work may take", Work{MillisMS: 24_000_000, ChainMS: 1000, LeftMS: 500, Waits: true}, 2000, 0},
		{"late by its objective long ago", Work{MillisMS: 24_000_000, ChainMS: 4000, LeftMS: -9000}, 2000, 750},
		{"nothing left", Work{LeftMS: 1000}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now, passing := test.work.Need(1500)
			if now != test.now || passing != test.passing {
				t.Errorf("need %d, passing %d; want %d, %d", now, passing, test.now, test.passing)
			}
		})
	}
}

// TestArriving checks that the arrivals of the time before count, and the newer half of
// them twice once enough jobs show a rise.
func TestArriving(t *testing.T) {
	work := Work{MillisMS: 8_000_000, ChainMS: 1000, LeftMS: 1000} // needs 8 cores
	for _, test := range []struct {
		name     string
		arriveMS []int64
		want     int64
	}{
		{"nothing", nil, 0},
		{"evenly", []int64{600, 1100, 1600, 1900}, 4 * 8000},
		{"rising with few jobs", []int64{1600, 1700, 1900}, 3 * 8000},
		{"rising", []int64{700, 1500, 1600, 1700, 1900}, 2 * 4 * 8000},
		{"falling", []int64{600, 700, 800, 900, 1800}, 5 * 8000},
		{"before the time that counts", []int64{10, 20, 30}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var history ArrivalHistory
			history.Note(1, Work{}) // the history starts here
			for _, at := range test.arriveMS {
				history.Note(at, work)
			}
			is.Equal(history.Arriving(1999, 1500), test.want)
		})
	}
}

// steadyBurst simulates a pool in the middle of a burst: jobs of two wide steps, one
// after the other, arrive at a constant rate, and as many end. It returns the share of
// jobs in time and the VM-seconds in the pool.
func steadyBurst(seed int64, need func(Work) (now, passing int64)) (inTime, vmSeconds float64) {
	const (
		stepMS, burstMS, moveMS = 100, 30_000, 1500
		vmMillis                = 64_000
		width, stepTime, within = 80_000, 2100, 7300
	)
	type job struct{ came, begun, left int64 }
	rng := rand.New(rand.NewSource(seed))
	where, idle, arrives := make(map[string]string), make(map[string]int64), make(map[string]int64)
	for i := range 60 {
		where[fmt.Sprintf("v%02d", i)] = "rest"
	}
	var history ArrivalHistory
	var jobs []job
	var done, late int
	for now := int64(1); now < burstMS; now += stepMS {
		if rng.Intn(1000) < 300 { // three a second
			jobs = append(jobs, job{came: now, left: 2})
			history.Note(now, Work{MillisMS: 2 * width * stepTime, ChainMS: 2 * stepTime, LeftMS: within})
		}
		p, rest := Pool{Name: "p", NeedMillis: history.Arriving(now, moveMS)}, Pool{Name: "rest", Resting: true}
		room := int64(0)
		for i := range 60 {
			vm := VM{Name: fmt.Sprintf("v%02d", i), CPUMillis: vmMillis}
			switch {
			case where[vm.Name] == "rest":
				rest.VMs = append(rest.VMs, vm)
			case arrives[vm.Name] > now:
				p.Incoming, p.IncomingMillis = p.Incoming+1, p.IncomingMillis+vmMillis
			default:
				p.VMs = append(p.VMs, vm)
				room += vmMillis
			}
		}
		vmSeconds += float64(len(p.VMs)+p.Incoming) * stepMS / 1000
		used, open := int64(0), jobs[:0]
		for _, j := range jobs {
			if j.begun > 0 && now-j.begun >= stepTime {
				j.begun, j.left = 0, j.left-1
			}
			if j.left == 0 {
				done++
				if now-j.came > within {
					late++
				}
				continue
			}
			work := Work{MillisMS: j.left * width * stepTime, ChainMS: j.left * stepTime, LeftMS: j.came + within - now, Waits: true}
			if j.begun > 0 || used+width <= room {
				if j.begun == 0 {
					j.begun = now
				}
				used += width
				work.Waits, work.RunMS = false, now-j.begun
			}
			asks, passing := need(work)
			p.NeedMillis, p.PassingMillis = p.NeedMillis+asks, p.PassingMillis+passing
			open = append(open, j)
		}
		jobs = open
		for i := range p.VMs {
			vm := &p.VMs[i]
			if int64(i)*vmMillis < used {
				idle[vm.Name], vm.Tasks = now, 1
			}
			vm.IdleMS = now - idle[vm.Name]
		}
		moves, _ := Plan(&Snapshot{NowMS: now, Budget: 12, MayRest: true, Pools: []Pool{p, rest}, Prices: Prices{MoveVMSeconds: 1.1, MoveMS: moveMS},
			Fits: func(string, string) bool { return true }})
		for _, m := range moves {
			where[m.VM], idle[m.VM], arrives[m.VM] = m.To, now+moveMS, now+moveMS
		}
	}
	return 1 - float64(late)/float64(done), vmSeconds
}

// TestReplaySteadyBurst compares Need with one that expects no present work to end:
// over five bursts it takes at least a tenth fewer VM-seconds, and about as many jobs
// end in time.
func TestReplaySteadyBurst(t *testing.T) {
	var inTime, inTimeAll, vmSeconds, vmSecondsAll float64
	for seed := range int64(5) {
		a, b := steadyBurst(seed, func(w Work) (int64, int64) { return w.Need(1500) })
		c, d := steadyBurst(seed, func(w Work) (int64, int64) { return w.need(), 0 })
		inTime, vmSeconds, inTimeAll, vmSecondsAll = inTime+a/5, vmSeconds+b, inTimeAll+c/5, vmSecondsAll+d
	}
	t.Logf("with passing need and without: in time %.3f and %.3f, VM-seconds %.0f and %.0f", inTime, inTimeAll, vmSeconds, vmSecondsAll)
	if inTime < inTimeAll-0.02 || vmSeconds > 0.9*vmSecondsAll {
		t.Error("subtracting the passing need is no better than not doing so")
	}
}

// TestLargeBurstShowsAtOnce starts bursts at several rates: at 93 jobs a second Arriving
// returns at least three quarters of the true need within two bins, and with few jobs it
// does not return far too much.
func TestLargeBurstShowsAtOnce(t *testing.T) {
	const aheadMS, jobNeed = 1500, 7_000
	arriving := func(perSecond, forMS int64) float64 {
		var history ArrivalHistory
		for at := int64(10_000); at < 20_000; at += 1000 {
			history.Note(at, Work{MillisMS: jobNeed * 1000, ChainMS: 1000, LeftMS: 1500})
		}
		begin := int64(20_000)
		for at := begin; at < begin+forMS; at += 1000 / perSecond {
			history.Note(at, Work{MillisMS: jobNeed * 1000, ChainMS: 1000, LeftMS: 1500})
		}
		one := Work{MillisMS: jobNeed * 1000, ChainMS: 1000, LeftMS: 1500}.need()
		return float64(history.Arriving(begin+forMS, aheadMS)) / float64(one*perSecond*aheadMS/1000)
	}
	for _, test := range []struct {
		perSecond, forMS int64
		least, most      float64
	}{{93, 400, 0.75, 1.2}, {93, 700, 0.8, 1.2}, {5, 700, 0, 1.5}, {25, 700, 0.5, 1.3}} {
		if got := arriving(test.perSecond, test.forMS); got < test.least || got > test.most {
			t.Errorf("%d jobs a second for %d ms: %.2f of the true need is expected", test.perSecond, test.forMS, got)
		}
	}
}
