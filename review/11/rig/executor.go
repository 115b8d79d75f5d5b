package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// work is the spec of a job in this test: what its work units do on an executor.
type work struct {
	// WorkMs is how long a work unit works.
	WorkMs int64 `json:"workMs"`
}

func (w work) spec() string {
	data, _ := json.Marshal(w)
	return string(data)
}

// unit is one run of a work unit on an executor.
type unit struct {
	task      string
	attempt   int
	work      work
	startedAt time.Time
	stoppedAt time.Time
}

// doneMs is the work done so far.
func (u *unit) doneMs(now time.Time) int64 { return now.Sub(u.startedAt).Milliseconds() }

// fleet holds the executors of one service. One lock guards all of them.
type fleet struct {
	service string
	record  *record

	mu        sync.Mutex
	executors []*executor
	// starts and ends hold what the executors have taken and listed, in order.
	starts []startSeen
	ends   []endSeen
}

type startSeen struct {
	at       time.Time
	task     string
	attempt  int
	executor string
}

type endSeen struct {
	at            time.Time
	task          string
	attempt       int
	how, executor string
}

// executor is a sound stand-in for one executor, which speaks PROTOCOL.md.
type executor struct {
	fleet             *fleet
	id, machine, zone string
	rack              string
	addr              string
	cpu, mem          int64
	control           []string
	server            *http.Server

	up      bool
	born    int64
	bootAt  time.Time
	seq     uint64
	fence   uint64
	lease   int64
	nextEnd uint64
	running map[string]*unit
	blocked map[string]int
	ended   [][]any
	pingTo  string
	// front is the proxy at addr, if there is one before the executor.
	front *front
}

func newFleet(service string, r *record) *fleet {
	return &fleet{service: service, record: r}
}

// add starts an executor.
func (f *fleet) add(n int, cpu int64, control []string) (*executor, error) {
	e := f.newExecutor(n, cpu, control)
	return e, e.boot()
}

// addBehindProxy starts an executor that is reached through a proxy.
func (f *fleet) addBehindProxy(n int, cpu int64, control []string) (*executor, error) {
	e := f.newExecutor(n, cpu, control)
	front, err := newFront(f.record, e.addr)
	if err != nil {
		return nil, err
	}
	e.front = front
	return e, e.boot()
}

func (f *fleet) newExecutor(n int, cpu int64, control []string) *executor {
	host := loopback(100 + n)
	e := &executor{
		fleet: f, id: fmt.Sprintf("i-%02d", n), machine: fmt.Sprintf("m-%02d", n), zone: fmt.Sprintf("z%d", n%zones+1),
		rack: fmt.Sprintf("r%d-%d", n%zones+1, n/12), addr: net.JoinHostPort(host, strconv.Itoa(freePort(host))), cpu: cpu, mem: 65536, control: control,
	}
	f.mu.Lock()
	f.executors = append(f.executors, e)
	f.mu.Unlock()
	return e
}

// boot begins a new life of the executor, which knows nothing of the one before.
func (e *executor) boot() error {
	at := e.addr
	if e.front != nil {
		at = e.front.inner
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.call(e.runStart))
	mux.HandleFunc("POST /run-stop", e.call(e.runStop))
	mux.HandleFunc("POST /pace", e.call(func(*orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", e.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux}
	e.fleet.mu.Lock()
	now := time.Now()
	e.server, e.up, e.born, e.bootAt = server, true, now.UnixMilli(), now
	e.seq, e.fence, e.lease, e.nextEnd, e.ended = 0, 0, 0, 0, nil
	e.running, e.blocked = make(map[string]*unit), make(map[string]int)
	born := e.born
	e.fleet.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go func() {
		time.Sleep(firstPing)
		e.ping(born)
	}()
	return nil
}

// crash ends the executor without a word: what ran there is gone.
func (e *executor) crash() {
	e.fleet.mu.Lock()
	e.up = false
	e.running = make(map[string]*unit)
	server := e.server
	e.fleet.mu.Unlock()
	server.Close()
}

func (e *executor) clock() int64 { return time.Since(e.bootAt).Milliseconds() + 1000 }

// ping sends the heartbeats of one life.
func (e *executor) ping(born int64) {
	client := &http.Client{Timeout: time.Second}
	for next := 0; ; {
		e.fleet.mu.Lock()
		if !e.up || e.born != born {
			e.fleet.mu.Unlock()
			return
		}
		e.seq++
		body := map[string]any{
			"service": e.fleet.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0,
			"capacity": map[string]int64{"cpu": e.cpu, "memMb": e.mem, "gpu": 0}, "labels": []string{"a", e.rack},
			"tsMs": e.clock(), "seq": e.seq, "born": e.born, "machine": e.machine,
		}
		to := e.pingTo
		e.fleet.mu.Unlock()
		if to == "" {
			to = e.control[next%len(e.control)]
		}
		answer, err := postJSON(client, "http://"+to+"/instances/"+e.id+"/heartbeat", body)
		e.fleet.mu.Lock()
		if err != nil {
			// The next node is called.
			e.pingTo = ""
			next++
			e.fleet.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var in struct {
			HeartbeatAddr string `json:"heartbeatAddr"`
		}
		if json.Unmarshal(answer, &in) == nil && in.HeartbeatAddr != "" {
			e.pingTo = in.HeartbeatAddr
		}
		e.fleet.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

func postJSON(client *http.Client, url string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return answer, fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return answer, nil
}

// orderBody is the body of the calls about runs.
type orderBody struct {
	Task            string `json:"task"`
	Attempt         int    `json:"attempt"`
	Spec            string `json:"spec"`
	ExpiryMs        int64  `json:"expiryMs"`
	Fence           uint64 `json:"fence"`
	CheckpointToken string `json:"checkpointToken"`
	LastSeen        uint64 `json:"lastSeen"`
	WaitMs          int64  `json:"waitMs"`
}

// admit reads a call and answers one that is meant for another executor. The fleet's lock is held if it
// returns true.
func (e *executor) admit(w http.ResponseWriter, r *http.Request, body *orderBody) bool {
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if id := r.Header.Get("X-Sapphirering-Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	e.fleet.mu.Lock()
	if !e.up {
		e.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	return true
}

func (e *executor) writeAnswer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"tsMs": e.clock(), "born": e.born}
	if reason != "" {
		body["reason"] = reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) call(handle func(*orderBody) (status int, reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		if !e.admit(w, r, &body) {
			return
		}
		defer e.fleet.mu.Unlock()
		status, reason := http.StatusConflict, "fence"
		if body.Fence >= e.fence {
			e.fence = body.Fence
			status, reason = handle(&body)
		}
		e.writeAnswer(w, status, reason)
	}
}

func (e *executor) extend(expiry int64) {
	e.lease = max(e.lease, min(expiry, e.clock()+maxTTL.Milliseconds()))
}

func (e *executor) runStart(b *orderBody) (int, string) {
	f := e.fleet
	if u := e.running[b.Task]; u != nil && u.attempt == b.Attempt {
		e.extend(b.ExpiryMs)
		return http.StatusOK, ""
	}
	if u := e.running[b.Task]; b.Attempt <= e.blocked[b.Task] || u != nil {
		e.extend(b.ExpiryMs)
		return http.StatusConflict, "old"
	}
	if b.ExpiryMs <= e.clock() {
		return http.StatusConflict, "late"
	}
	var w work
	needs, known := f.record.needsOf(b.Task)
	if json.Unmarshal([]byte(b.Spec), &w) != nil {
		return http.StatusBadRequest, ""
	}
	if !known || b.Spec != f.record.specOf(b.Task) || b.CheckpointToken != "" {
		f.record.add("foreign    %s on %s: no requester sent it", b.Task, e.id)
	}
	used := int64(0)
	for task := range e.running {
		n, _ := f.record.needsOf(task)
		used += n
	}
	if used+needs > e.cpu {
		e.extend(b.ExpiryMs)
		return http.StatusConflict, "room"
	}
	e.extend(b.ExpiryMs)
	now := time.Now()
	e.running[b.Task] = &unit{task: b.Task, attempt: b.Attempt, work: w, startedAt: now}
	f.starts = append(f.starts, startSeen{now, b.Task, b.Attempt, e.id})
	f.record.add("start      %s attempt %d on %s", b.Task, b.Attempt, e.id)
	return http.StatusOK, ""
}

func (e *executor) runStop(b *orderBody) (int, string) {
	if u := e.running[b.Task]; u != nil && u.attempt <= b.Attempt && u.stoppedAt.IsZero() {
		u.stoppedAt = time.Now()
		e.fleet.record.add("stop       %s attempt %d on %s", b.Task, b.Attempt, e.id)
	}
	e.blocked[b.Task] = max(e.blocked[b.Task], b.Attempt)
	return http.StatusOK, ""
}

// hold renews the lease and lists the runs; the answer waits for an end.
func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !e.admit(w, r, &body) {
		return
	}
	defer e.fleet.mu.Unlock()
	if body.Fence < e.fence {
		e.writeAnswer(w, http.StatusConflict, "fence")
		return
	}
	e.fence = body.Fence
	if body.ExpiryMs > 0 {
		e.extend(body.ExpiryMs)
	}
	e.ended = slices.DeleteFunc(e.ended, func(row []any) bool { return row[0].(uint64) <= body.LastSeen })
	born := e.born
	for until := time.Now().Add(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond); len(e.ended) == 0 && time.Now().Before(until); {
		e.fleet.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.fleet.mu.Lock()
		if !e.up || e.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running := [][]any{}
	for _, u := range e.running {
		running = append(running, []any{u.task, u.attempt, "", min(100*u.doneMs(now)/max(u.work.WorkMs, 1), 100), 0})
	}
	finished := e.ended[:min(len(e.ended), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"tsMs": e.clock(), "born": e.born, "running": running, "finished": finished})
}

// end ends a run and lists its end.
func (e *executor) end(u *unit, how string, now time.Time) {
	delete(e.running, u.task)
	e.blocked[u.task] = max(e.blocked[u.task], u.attempt)
	e.nextEnd++
	e.ended = append(e.ended, []any{e.nextEnd, u.task, u.attempt, how, ""})
	e.fleet.ends = append(e.fleet.ends, endSeen{now, u.task, u.attempt, how, e.id})
	e.fleet.record.add("end        %s attempt %d on %s: %s", u.task, u.attempt, e.id, how)
}

// run advances the work of all executors until the process ends.
func (f *fleet) run() {
	for range time.Tick(10 * time.Millisecond) {
		f.mu.Lock()
		f.advance(time.Now())
		f.mu.Unlock()
	}
}

// advance ends what is due.
func (f *fleet) advance(now time.Time) {
	for _, e := range f.executors {
		if !e.up {
			continue
		}
		lapsed := e.clock() > e.lease
		for _, u := range e.running {
			switch {
			case lapsed:
				e.end(u, "lapsed", now)
			case !u.stoppedAt.IsZero():
				if now.Sub(u.stoppedAt) >= killGrace/2 {
					e.end(u, "stopped", now)
				}
			case u.doneMs(now) >= u.work.WorkMs:
				e.end(u, "done", now)
			}
		}
	}
}
