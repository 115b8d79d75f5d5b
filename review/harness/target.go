package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TargetState is how a target behaves.
type TargetState int

// States of targets.
const (
	// Sound targets do what the pages say.
	Sound TargetState = iota
	// Gone targets have ended; their channels were closed.
	Gone
	// Cut targets are cut off and run on: they get no calls and their pings do not arrive.
	Cut
)

// Run is one run of a task, as the target saw it.
type Run struct {
	Task    string
	Attempt uint32
	Target  string
	Began   time.Time
	// Ended is zero while the run goes on; How is the kind of its end.
	Ended time.Time
	How   string

	work    time.Duration
	lasting bool
	needs   Resources
	stopAt  time.Time
}

// Resources are an amount of resources on the wire.
type Resources struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

type finishedRun struct {
	number  uint64
	task    string
	attempt uint32
	how     string
}

// Target is one incarnation of a stand-in target.
type Target struct {
	ID, Machine, Service, Zone, Addr string
	Labels                           []string
	Capacity                         Resources
	Born                             int64

	fleet      *Fleet
	server     *http.Server
	state      TargetState
	clockBegan time.Time
	fence      uint64
	leaseUntil int64
	running    map[string]*Run
	blocked    map[string]uint32
	ends       []finishedRun
	nextEnd    uint64
	seq        uint64
	stopped    chan struct{}
	beatAddr   string
	// lateGrant is set while the next call that grants a lease is to be carried out late.
	lateGrant func()
	lateBy    time.Duration
}

// Fleet holds all targets of a case and the history of their runs. Its mutex guards all of
// them.
type Fleet struct {
	mu      sync.Mutex
	record  *Record
	in      *Installation
	targets []*Target
	runs    []*Run
	nextID  int
	jobs    map[string]Job
	client  *http.Client
}

// NewFleet returns a fleet without targets.
func NewFleet(in *Installation) *Fleet {
	return &Fleet{
		record: in.Record, in: in, jobs: make(map[string]Job),
		client: &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
}

// Expect tells the fleet of a job before it is handed in, so that targets know what its
// tasks do.
func (f *Fleet) Expect(id string, job Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = job
}

// Start starts a new target on a machine.
func (f *Fleet) Start(machine, service, zone string, labels []string, capacity Resources) (*Target, error) {
	listener, err := f.in.TargetAddress()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nextID++
	t := &Target{
		ID: fmt.Sprintf("i-%04d", f.nextID), Machine: machine, Service: service, Zone: zone, Labels: labels, Capacity: capacity,
		Addr: listener.Addr().String(), Born: time.Now().UnixMilli(), fleet: f, clockBegan: time.Now(),
		running: make(map[string]*Run), blocked: make(map[string]uint32), stopped: make(chan struct{}),
	}
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", t.order(t.runStart))
	mux.HandleFunc("POST /run-stop", t.order(t.runStop))
	mux.HandleFunc("POST /pace", t.order(t.pace))
	mux.HandleFunc("POST /hold", t.order(t.hold))
	t.server = &http.Server{Handler: mux}
	f.record.Add("target %s of %s on %s starts at %s, labels %v", t.ID, service, machine, t.Addr, labels)
	go t.serve(listener)
	go t.beat()
	return t, nil
}

func (t *Target) serve(listener net.Listener) { _ = t.server.Serve(listener) }

// SetState changes the behaviour of a target.
func (t *Target) SetState(state TargetState) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.setState(state)
}

func (t *Target) setState(state TargetState) {
	names := map[TargetState]string{Sound: "is sound", Gone: "ends", Cut: "is cut off and runs on"}
	t.fleet.record.Add("target %s on %s %s", t.ID, t.Machine, names[state])
	if t.state == Gone {
		return
	}
	t.state = state
	if state != Gone {
		return
	}
	for _, run := range t.running {
		t.end(run, "gone")
	}
	t.ends = nil
	select {
	case <-t.stopped:
	default:
		close(t.stopped)
	}
	go t.server.Close()
}

// clockStart is what a target's clock shows at its start, in milliseconds.
const clockStart = 1000

func (t *Target) clock() int64 { return time.Since(t.clockBegan).Milliseconds() + clockStart }

// order decodes a call and serves it under the fleet's mutex.
func (t *Target) order(serve func(http.ResponseWriter, *call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		in := new(call)
		if err != nil || json.Unmarshal(data, in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Sapphirering-Expect-Instance"); id != "" && id != t.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		t.fleet.mu.Lock()
		defer t.fleet.mu.Unlock()
		if t.state == Sound && t.lateGrant != nil && r.URL.Path == "/hold" && in.ExpiryMs != 0 {
			t.carryOutLate(in)
			t.state = Cut
			t.fleet.record.Add("target %s on %s is cut off and runs on", t.ID, t.Machine)
		}
		if t.state == Cut {
			t.fleet.mu.Unlock()
			<-r.Context().Done()
			t.fleet.mu.Lock()
			return
		}
		t.settle()
		serve(w, in)
	}
}

// CutWithLateGrant cuts the target off from its next call that grants a lease on. That call
// has reached it, gets no answer, and is carried out late; the time that it grants counts
// from then. After is called once the cut begins.
func (t *Target) CutWithLateGrant(lateBy time.Duration, after func()) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.lateGrant, t.lateBy = after, lateBy
}

// carryOutLate schedules the late call.
func (t *Target) carryOutLate(c *call) {
	granted := c.ExpiryMs - t.clock()
	t.fleet.record.Add("target %s: a hold that grants %d ms gets no answer and is carried out %s later", t.ID, granted, t.lateBy)
	after := t.lateGrant
	t.lateGrant = nil
	time.AfterFunc(t.lateBy, func() {
		t.fleet.mu.Lock()
		defer t.fleet.mu.Unlock()
		t.settle()
		if c.Fence >= t.fence {
			t.extendLease(t.clock() + granted)
			t.fleet.record.Add("target %s: the late hold is carried out, the lease now ends in %d ms", t.ID, t.leaseUntil-t.clock())
		}
	})
	go after()
}

// call is the body of a call about runs.
type call struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	ExpiryMs   int64  `json:"expiryMs"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpointToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Pct        int    `json:"pct"`
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (t *Target) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"tsMs": t.clock(), "reason": reason})
}

// staleFence refuses a call with a fence below the highest that was seen.
func (t *Target) staleFence(w http.ResponseWriter, c *call) bool {
	if c.Fence < t.fence {
		t.refuse(w, "fence")
		return true
	}
	t.fence = c.Fence
	return false
}

func (t *Target) extendLease(expiryMs int64) {
	t.leaseUntil = max(t.leaseUntil, min(expiryMs, t.clock()+MaxLease.Milliseconds()))
}

func (t *Target) runStart(w http.ResponseWriter, c *call) {
	if t.staleFence(w, c) {
		return
	}
	if run := t.running[c.Task]; run != nil && run.Attempt == c.Attempt {
		answer(w, http.StatusOK, map[string]any{"tsMs": t.clock()})
		return
	}
	job, ok := t.fleet.jobs[strings.SplitN(c.Task, ".", 2)[0]]
	if !ok {
		t.fleet.record.Add("target %s: start of %s, which nobody handed in", t.ID, c.Task)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	phase := job.Phases[stepOf(c.Task)]
	needs := Resources{CPU: phase.CPU, MemMb: phase.MemMb, GPU: phase.GPU}
	switch {
	case c.Attempt <= t.blocked[c.Task] || t.running[c.Task] != nil:
		t.extendLease(c.ExpiryMs)
		t.refuse(w, "old")
		return
	case c.ExpiryMs <= t.clock():
		t.refuse(w, "late")
		return
	case !t.fits(needs):
		t.extendLease(c.ExpiryMs)
		t.fleet.record.Add("target %s: start of %s run %d refused: room", t.ID, c.Task, c.Attempt)
		t.refuse(w, "room")
		return
	}
	t.extendLease(c.ExpiryMs)
	run := &Run{Task: c.Task, Attempt: c.Attempt, Target: t.ID, Began: time.Now(), work: phase.Work, lasting: phase.LongRunning, needs: needs}
	t.running[c.Task] = run
	t.fleet.runs = append(t.fleet.runs, run)
	t.fleet.record.Add("target %s on %s: starts %s run %d", t.ID, t.Machine, c.Task, c.Attempt)
	answer(w, http.StatusOK, map[string]any{"tsMs": t.clock()})
}

func stepOf(task string) int {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[len(parts)-2])
	return step
}

func (t *Target) fits(needs Resources) bool {
	used := needs
	for _, run := range t.running {
		used.CPU += run.needs.CPU
		used.MemMb += run.needs.MemMb
		used.GPU += run.needs.GPU
	}
	return used.CPU <= t.Capacity.CPU && used.MemMb <= t.Capacity.MemMb && used.GPU <= t.Capacity.GPU
}

func (t *Target) runStop(w http.ResponseWriter, c *call) {
	if t.staleFence(w, c) {
		return
	}
	t.blocked[c.Task] = max(t.blocked[c.Task], c.Attempt)
	if run := t.running[c.Task]; run != nil && run.Attempt <= c.Attempt && run.stopAt.IsZero() {
		t.fleet.record.Add("target %s: stops %s run %d", t.ID, c.Task, run.Attempt)
		run.stopAt = time.Now().Add(KillGrace / 2)
	}
	answer(w, http.StatusOK, map[string]any{"tsMs": t.clock()})
}

func (t *Target) pace(w http.ResponseWriter, c *call) {
	if t.staleFence(w, c) {
		return
	}
	answer(w, http.StatusOK, map[string]any{"tsMs": t.clock()})
}

// hold renews the lease and lists the runs; it waits for an end as long as the call allows.
func (t *Target) hold(w http.ResponseWriter, c *call) {
	if t.staleFence(w, c) {
		return
	}
	if c.ExpiryMs != 0 {
		t.extendLease(c.ExpiryMs)
	}
	t.ends = slices.DeleteFunc(t.ends, func(e finishedRun) bool { return e.number <= c.LastSeen })
	deadline := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for len(t.ends) == 0 && time.Now().Before(deadline) && t.state == Sound {
		t.fleet.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		t.fleet.mu.Lock()
		t.settle()
	}
	if t.state != Sound {
		// The process has ended or is cut off: no answer comes.
		t.fleet.mu.Unlock()
		time.Sleep(5 * time.Second)
		t.fleet.mu.Lock()
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range t.running {
		percent := 100.0
		if !run.lasting {
			percent = min(99, 100*float64(time.Since(run.Began))/float64(max(run.work, 1)))
		}
		running = append(running, []any{run.Task, run.Attempt, "", percent, run.needs.CPU})
	}
	for _, e := range t.ends[:min(len(t.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"tsMs": t.clock(), "born": t.Born, "running": running, "finished": finished})
}

// settle ends the runs that are due.
func (t *Target) settle() {
	now := time.Now()
	if t.leaseUntil != 0 && t.clock() > t.leaseUntil {
		lapsed := t.clockBegan.Add(time.Duration(t.leaseUntil-clockStart) * time.Millisecond)
		for _, run := range t.running {
			if !run.stopAt.IsZero() && run.stopAt.Before(lapsed) {
				t.end(run, "stopped")
				run.Ended = run.stopAt
				continue
			}
			t.end(run, "lapsed")
			run.Ended = lapsed
		}
	}
	for _, run := range t.running {
		switch {
		case !run.stopAt.IsZero():
			if now.After(run.stopAt) {
				t.end(run, "stopped")
				run.Ended = run.stopAt
			}
		case !run.lasting && now.Sub(run.Began) >= run.work:
			t.end(run, "done")
		}
	}
}

func (t *Target) end(run *Run, how string) {
	delete(t.running, run.Task)
	t.blocked[run.Task] = max(t.blocked[run.Task], run.Attempt)
	run.Ended, run.How = time.Now(), how
	t.fleet.record.Add("target %s on %s: %s run %d ends: %s", t.ID, t.Machine, run.Task, run.Attempt, how)
	if how == "gone" {
		return
	}
	t.nextEnd++
	t.ends = append(t.ends, finishedRun{t.nextEnd, run.Task, run.Attempt, how})
}

// Runs returns a copy of all runs.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Run
	for _, t := range f.targets {
		if t.state != Gone {
			t.settle()
		}
	}
	for _, run := range f.runs {
		out = append(out, *run)
	}
	return out
}

// RunsOf returns the runs of a job.
func (f *Fleet) RunsOf(job string) []Run {
	return slices.DeleteFunc(f.Runs(), func(r Run) bool { return !strings.HasPrefix(r.Task, job+".") })
}

// beat sends pings until the target ends, each to the control addresses in turn until one
// acknowledges it.
func (t *Target) beat() {
	next := int(t.Born % 3)
	for {
		t.sendBeat(&next)
		select {
		case <-t.stopped:
			return
		case <-time.After(HeartbeatInterval):
		}
		for t.isCut() {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (t *Target) isCut() bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.state == Cut
}

func (t *Target) sendBeat(next *int) {
	f := t.fleet
	f.mu.Lock()
	t.seq++
	body, _ := json.Marshal(map[string]any{
		"service": t.Service, "addr": t.Addr, "zone": t.Zone, "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0,
		"capacity": t.Capacity, "labels": t.Labels, "machine": t.Machine, "tsMs": t.clock(), "seq": t.seq, "born": t.Born,
	})
	f.mu.Unlock()
	for range 6 {
		select {
		case <-t.stopped:
			return
		default:
		}
		base := t.beatAddr
		if base == "" {
			cores := f.in.Cores()
			base = cores[*next%len(cores)].Control()
		}
		response, err := f.client.Post(base+"/instances/"+t.ID+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			data, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				var in struct {
					Addr string `json:"heartbeatAddr"`
				}
				if json.Unmarshal(data, &in) == nil && in.Addr != "" {
					t.beatAddr = "http://" + in.Addr
				}
				return
			}
		}
		t.beatAddr = ""
		*next++
		time.Sleep(50 * time.Millisecond)
	}
}

// Close ends all targets.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.state != Gone {
			t.setState(Gone)
		}
	}
}

// Target returns the target with an id, or nil.
func (f *Fleet) Target(id string) *Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}
