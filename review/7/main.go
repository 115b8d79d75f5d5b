// The case: an edge node freezes for a second while requesters hand jobs in, and their key is taken
// away meanwhile. No work unit may start of a job whose only attempt to hand it in was refused.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"sapphirering/review/6/lab"
)

const (
	rounds     = 8
	requesters = 60
	// loadTime is how long the requesters hand jobs in before the freeze, freezeTime how long it lasts.
	loadTime, freezeTime = 60 * time.Millisecond, time.Second
	// watchTime is how long starts are awaited after the last answer of a round.
	watchTime = 4 * time.Second
)

// attempt is the only attempt to hand a job in.
type attempt struct {
	id     string
	status int
	text   string
}

func main() {
	l := lab.Start(2)
	l.Work = func(string, int) time.Duration { return 100 * time.Millisecond }
	for i := range 6 {
		l.AddExecutor(&lab.Executor{ID: fmt.Sprintf("i-%d", i), Machine: fmt.Sprintf("m-%d", i), Zone: fmt.Sprintf("z%d", 1+i%3),
			Service: lab.Service, CPU: 16000, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}}, l.Controls)
	}
	key := func(round int) string { return fmt.Sprintf("key-of-round-%02d", round) }
	l.Put(lab.Manifest{MaxAttempts: 2, Keys: []string{key(0)}})
	l.Submit(l.NewRequester(0, key(0)), fmt.Sprintf("%016x", rand.Uint64()), job())
	for round := range rounds {
		attempts := playRound(l, key(round), key(round+1))
		judge(l, round, attempts)
	}
	lab.Held("in %d rounds no job ran that was only refused", rounds)
}

func job() lab.JobSpec {
	return lab.JobSpec{Spec: "proof", Phases: []lab.Phase{{Count: 1, CPU: 100, MemMb: 16, EstMs: 100}}}
}

// playRound hands jobs in with a key that is taken away while their edge node is frozen.
func playRound(l *lab.Lab, key, next string) []attempt {
	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var calls sync.WaitGroup
	for range requesters {
		calls.Go(func() {
			q := l.NewRequester(0, key)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id, spec := fmt.Sprintf("%016x", rand.Uint64()), job()
				l.AddJob(id, spec)
				status, text := q.Call(http.MethodPost, id, spec)
				mu.Lock()
				attempts = append(attempts, attempt{id, status, strings.TrimSpace(text)})
				mu.Unlock()
			}
		})
	}
	time.Sleep(loadTime)
	if l.Trouble {
		l.Edges[0].Signal(syscall.SIGSTOP)
		l.Record.Line("edge-1 is frozen")
	}
	close(stop)
	frozen := time.Now()
	l.Put(lab.Manifest{MaxAttempts: 2, Keys: []string{next}})
	time.Sleep(freezeTime - time.Since(frozen))
	if l.Trouble {
		l.Edges[0].Signal(syscall.SIGCONT)
		l.Record.Line("edge-1 goes on")
	}
	calls.Wait()
	return attempts
}

// judge waits for starts of the jobs of a round, and ends the case if one of a refused job begins.
func judge(l *lab.Lab, round int, attempts []attempt) {
	answered := make(map[int]int)
	for _, a := range attempts {
		answered[a.status]++
	}
	l.Record.Line("round %d: answers by status, 0 for none: %v", round, answered)
	time.Sleep(watchTime)
	starts := make(map[string]lab.Run)
	for _, r := range l.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		if _, known := starts[id]; !known {
			starts[id] = r
		}
	}
	ran := 0
	for _, a := range attempts {
		start, begun := starts[a.id]
		refused := a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden ||
			a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
		if refused && begun {
			ran++
			l.Record.Line("job %s: the only POST was answered %d (%s), and %s began on %s at %s", a.id, a.status, a.text, start.Task, start.Executor, start.Began.Format("15:04:05.000"))
		}
	}
	if ran > 0 {
		lab.Broken("REFUSED: %d of %d jobs of round %d ran though their only POST was refused", ran, len(attempts), round)
	}
}
