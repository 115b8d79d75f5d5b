// The case: the operator starts two waves with a machine in common. Neither may be said to be complete
// before the upkeep of that machine has begun for it.
package main

import (
	"fmt"
	"time"

	"sapphirering/review/6/lab"
)

const (
	executors     = 6
	first, second = 2, 1
	shared        = "m-0"
	watchTime     = 40 * time.Second
)

func main() {
	l := lab.Start(1)
	for i := range executors {
		l.AddExecutor(&lab.Executor{ID: fmt.Sprintf("i-%d", i), Machine: fmt.Sprintf("m-%d", i), Zone: fmt.Sprintf("z%d", 1+i%3),
			Service: lab.Service, CPU: 16000, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}}, l.Controls)
	}
	l.Put(lab.Manifest{MaxAttempts: 2, Keys: []string{"key-of-house-a"}})
	time.Sleep(4 * time.Second) // all executors have announced themselves
	l.StartWave(first, []string{shared, "m-1"}, 1)
	await("the upkeep of the shared machine for the first wave", func() bool { return !l.UpkeepBegan(first, shared).IsZero() })
	if !l.Trouble {
		await("the end of the first wave", func() bool { return l.WaveState(first) == "complete" })
	}
	l.StartWave(second, []string{shared}, 1)
	declared := time.Now()
	state := ""
	for state != "complete" && time.Since(declared) < watchTime {
		if now := l.WaveState(second); now != state {
			state = now
			l.Record.Line("GET /wave-get/%d: %s", second, state)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if state != "complete" {
		lab.Unable("wave %d is %q after %s", second, state, watchTime)
	}
	if l.UpkeepBegan(second, shared).IsZero() {
		lab.Broken("MIXED: wave %d is complete %.1f s after it was declared, and no upkeep of its only machine has begun since", second, time.Since(declared).Seconds())
	}
	lab.Held("wave %d is complete, and the upkeep of its machine has begun", second)
}

func await(what string, holds func() bool) {
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	lab.Unable("not within %s: %s", watchTime, what)
}
