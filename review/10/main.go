// The case: the only executor with room refuses all starts, as an unhealthy one does. The jobs that
// wait meanwhile have not begun, and must be counted as pending.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sapphirering/review/6/lab"
)

const (
	// One of the executors refuses starts: at most the share .15 of srv_grey.
	executors = 7
	jobs      = 12
	whole     = 16000
	// countedAfter is visible_ms and 2 s: jobs accepted longer ago are judged.
	countedAfter = 5 * time.Second
	// reads of the count, readPause apart, must all be wrong.
	reads, readPause = 5, 500 * time.Millisecond
)

func main() {
	l := lab.Start(2)
	l.Work = func(job string, _ int) time.Duration {
		if strings.HasPrefix(job, "f") {
			return 60 * time.Second
		}
		return 300 * time.Millisecond
	}
	for i := range executors {
		l.AddExecutor(&lab.Executor{ID: fmt.Sprintf("i-%d", i), Machine: fmt.Sprintf("m-%d", i), Zone: fmt.Sprintf("z%d", 1+i%3),
			Service: lab.Service, CPU: whole, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}}, l.Controls)
	}
	l.Put(lab.Manifest{MaxAttempts: 3, Keys: []string{"key-of-house-a"}})
	q := l.NewRequester(0, "key-of-house-a")
	// Long jobs fill all executors but one.
	for range executors - 1 {
		l.Submit(q, fmt.Sprintf("f%015x", rand.Uint64()>>4), lab.JobSpec{Spec: "long", Phases: []lab.Phase{{Count: 1, CPU: whole, MemMb: 64, EstMs: 60000}}})
	}
	for end := time.Now().Add(15 * time.Second); len(l.Runs()) < executors-1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			lab.Unable("the long jobs do not run")
		}
	}
	full := make(map[string]bool)
	for _, r := range l.Runs() {
		full[r.Executor] = true
	}
	if l.Trouble {
		l.RefuseStarts(l.ExecutorExcept(full))
	}
	var ids []string
	for range jobs {
		id := fmt.Sprintf("a%015x", rand.Uint64()>>4)
		l.Submit(q, id, lab.JobSpec{Spec: "proof", Phases: []lab.Phase{{Count: 1, CPU: 880, MemMb: 64, EstMs: 300}}})
		ids = append(ids, id)
	}
	time.Sleep(countedAfter + time.Second)
	wrong := 0
	for n := range reads {
		begun := make(map[string]bool)
		for _, r := range l.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			begun[id] = true
		}
		waiting := 0
		for _, id := range ids {
			if !begun[id] {
				waiting++
			}
		}
		status, text := q.Call(http.MethodGet, "", nil)
		var in struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &in) != nil {
			lab.Unable("GET of the queue: answered %d %s", status, text)
		}
		l.Record.Line("read %d: pending %d, and %d jobs accepted over %s before have not begun", n, in.Pending, waiting, countedAfter)
		if 2*in.Pending < waiting {
			wrong++
		}
		time.Sleep(readPause)
	}
	if wrong == reads {
		lab.Broken("MIXED: in all %d reads under half of the jobs that had not begun were pending", reads)
	}
	lab.Held("%d of %d reads gave under half of the jobs that had not begun", wrong, reads)
}
