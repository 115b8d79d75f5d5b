// Package standin is a small stand-in for a target: it announces itself, runs
// requests and tasks, and records every run, so that tests compare what ran
// with what callers were told.
package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sapphirering/internal/target"
)

// Config describes one target.
type Config struct {
	VM, Pool, Zone, Rack, Region string
	Listen                       string
	// Entries are the base URLs where the entry VMs of the zone take announcements.
	Entries      []string
	Slots        uint32
	Millicores   uint32
	MemoryMB     uint32
	Accelerators uint32
	// Work is how long a request runs unless its body says otherwise.
	Work time.Duration
	// FailAll makes the target fail everything that it starts.
	FailAll bool
}

// Run is the record of one run.
type Run struct {
	RequestID string `json:"request_id"`
	Team      string `json:"team"`
	VM        string `json:"vm"`
	// Task is true for an attempt of a job.
	Task    bool  `json:"task"`
	Started int64 `json:"started_unix_us"`
	Ended   int64 `json:"ended_unix_us"`
}

// Target is a running stand-in.
type Target struct {
	cfg         Config
	incarnation string
	listener    net.Listener
	server      *http.Server
	cancel      context.CancelFunc
	done        sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	// announced holds when each recent announcement was made.
	announced map[uint64]time.Time
	leaving   bool
	leftAt    time.Time
	drain     uint64
	// revision is the newest of any answer; answers of daemons that lag are ignored.
	revision uint64
	inFlight uint32
	peak     uint32
	runs     []*Run
	tasks    map[string]*task
}

type task struct {
	status     target.TaskStatus
	leaseUntil time.Time
	finishAt   time.Time
	run        *Run
}

// Start starts a target.
func Start(cfg Config) (*Target, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in target %s: %w", cfg.VM, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		cfg: cfg, listener: listener, cancel: cancel,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		announced:   make(map[uint64]time.Time), tasks: make(map[string]*task),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run/{queue}", t.serveRun)
	mux.HandleFunc("PUT /v1/tasks/{job}/{attempt}", t.serveTask)
	mux.HandleFunc("DELETE /v1/tasks/{job}/{attempt}", t.serveStopTask)
	mux.HandleFunc("GET /record", t.serveRecord)
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) { t.Leave() })
	t.server = &http.Server{Handler: mux}
	t.done.Go(func() { t.server.Serve(listener) })
	t.done.Go(func() { t.announceLoop(ctx) })
	t.done.Go(func() { t.taskLoop(ctx) })
	return t, nil
}

// Address returns the base URL of the target.
func (t *Target) Address() string { return "http://" + t.listener.Addr().String() }

// Token returns the token of the newest announcement.
func (t *Target) Token() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Announcement{Incarnation: t.incarnation, Sequence: t.sequence}.Token()
}

// Close stops the target at once.
func (t *Target) Close() {
	t.cancel()
	t.server.Close()
	t.done.Wait()
}

// Leave makes the target announce that it is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving {
		t.leaving, t.leftAt = true, time.Now()
	}
}

// Record is what the target has run.
type Record struct {
	VM string `json:"vm"`
	// Peak is the most that ran at once.
	Peak   uint32 `json:"peak"`
	Runs   []Run  `json:"runs"`
	LeftAt int64  `json:"left_unix_us"`
}

// Record returns what the target has run.
func (t *Target) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := Record{VM: t.cfg.VM, Peak: t.peak}
	if !t.leftAt.IsZero() {
		record.LeftAt = t.leftAt.UnixMicro()
	}
	for _, run := range t.runs {
		record.Runs = append(record.Runs, *run)
	}
	return record
}

func (t *Target) serveRecord(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(t.Record())
}

// announceLoop announces to each entry VM on its own: a frozen one must not
// hold up the announcements to the others.
func (t *Target) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: target.AnnounceInterval * 2}
	var loops sync.WaitGroup
	for _, entry := range t.cfg.Entries {
		loops.Go(func() {
			for ctx.Err() == nil {
				t.announce(ctx, client, entry, t.nextAnnouncement())
				select {
				case <-ctx.Done():
				case <-time.After(target.AnnounceInterval):
				}
			}
		})
	}
	loops.Wait()
}

func (t *Target) nextAnnouncement() target.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.announced[t.sequence] = time.Now()
	for sequence, at := range t.announced {
		if time.Since(at) > 2*target.MaxAnnouncementAge {
			delete(t.announced, sequence)
		}
	}
	return target.Announcement{
		VM: t.cfg.VM, Incarnation: t.incarnation, Sequence: t.sequence, Pool: t.cfg.Pool, Zone: t.cfg.Zone,
		Rack: t.cfg.Rack, Region: t.cfg.Region, Address: t.Address(), Slots: t.cfg.Slots,
		Millicores: t.cfg.Millicores, MemoryMB: t.cfg.MemoryMB, Accelerators: t.cfg.Accelerators,
		Leaving: t.leaving, DrainRevision: t.drain, InFlight: t.inFlight,
	}
}

func (t *Target) announce(ctx context.Context, client *http.Client, entry string, a target.Announcement) {
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/announcements", bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var answer target.AnnouncementAnswer
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer.Revision < t.revision {
		return
	}
	t.revision = answer.Revision
	if answer.Drain && answer.DrainRevision > t.drain {
		t.drain = answer.DrainRevision
		t.leaving, t.leftAt = true, time.Now()
	} else if !answer.Drain && t.drain != 0 && answer.Phase == "VM_PHASE_ACTIVE" {
		t.drain, t.leaving = 0, false
	}
}

// fresh reports whether a dispatch relies on a recent announcement of this incarnation.
func (t *Target) fresh(header string) bool {
	incarnation, text, _ := strings.Cut(header, "/")
	sequence, err := strconv.ParseUint(text, 10, 64)
	at, ok := t.announced[sequence]
	return err == nil && ok && incarnation == t.incarnation && time.Since(at) <= target.MaxAnnouncementAge+target.AnnounceInterval
}

// refusal returns why new work is refused, or "".
func (t *Target) refusal(r *http.Request) string {
	switch {
	case !t.fresh(r.Header.Get(target.HeaderAnnouncement)):
		return "stale announcement"
	case t.leaving && time.Since(t.leftAt) > target.MaxAnnouncementAge:
		return "leaving"
	case t.inFlight >= t.cfg.Slots:
		return "busy"
	}
	return ""
}

func (t *Target) begin(r *http.Request, run *Run) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason := t.refusal(r); reason != "" {
		return reason
	}
	t.start(run)
	return ""
}

func (t *Target) start(run *Run) {
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	run.VM, run.Started = t.cfg.VM, time.Now().UnixMicro()
	t.runs = append(t.runs, run)
}

func (t *Target) finish(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	run.Ended = time.Now().UnixMicro()
}

// Body is what callers of the stand-in send; other bodies are echoed as well.
type Body struct {
	WorkMS int `json:"work_ms"`
}

// runDeadline is when a request must have stopped, counted from its arrival.
func runDeadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadlineMS), 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// serveRun answers with the digest of the request's id and body.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	deadline := runDeadline(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(target.HeaderRequestID)
	w.Header().Set(target.HeaderRequestID, id)
	run := &Run{RequestID: id, Team: r.Header.Get(target.HeaderTeam)}
	if reason := t.begin(r, run); reason != "" {
		refuse(w, reason)
		return
	}
	defer t.finish(run)
	work := t.cfg.Work
	var asked Body
	if json.Unmarshal(body, &asked) == nil && asked.WorkMS > 0 {
		work = time.Duration(asked.WorkMS) * time.Millisecond
	}
	if !t.work(w, work, deadline) {
		panic(http.ErrAbortHandler)
	}
	if t.cfg.FailAll {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprint(w, Digest(id, body))
}

// refuse answers that the work was not started.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotRun, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work takes the time of a request, with informational responses as progress.
// It stops at the deadline and returns false when the work is not finished.
func (t *Target) work(w http.ResponseWriter, left time.Duration, deadline time.Time) bool {
	for left > 0 {
		step := min(left, target.ProgressInterval, time.Until(deadline))
		if step <= 0 {
			return false
		}
		time.Sleep(step)
		if left -= step; left > 0 {
			w.WriteHeader(http.StatusProcessing)
		}
	}
	return true
}

// Digest is the answer that a caller expects for its request.
func Digest(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return hex.EncodeToString(sum[:])
}

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	var request target.TaskRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("job") + "/" + r.PathValue("attempt")
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.tasks[key]
	if known == nil {
		if !request.Start {
			json.NewEncoder(w).Encode(target.TaskStatus{State: target.TaskAbsent})
			return
		}
		if reason := t.refusal(r); reason != "" {
			refuse(w, reason)
			return
		}
		known = t.startTask(r.PathValue("job"), request)
		t.tasks[key] = known
	}
	known.leaseUntil = time.Now().Add(time.Duration(request.LeaseMS) * time.Millisecond)
	json.NewEncoder(w).Encode(known.status)
}

func (t *Target) startTask(job string, request target.TaskRequest) *task {
	work := t.cfg.Work
	var asked Body
	if json.Unmarshal(request.Payload, &asked) == nil && asked.WorkMS > 0 {
		work = time.Duration(asked.WorkMS) * time.Millisecond
	}
	run := &Run{RequestID: job, Team: request.Team, Task: true}
	t.start(run)
	return &task{
		status:   target.TaskStatus{State: target.TaskRunning, Answer: []byte(Digest(job, request.Payload))},
		finishAt: time.Now().Add(work), run: run,
	}
}

func (t *Target) serveStopTask(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("job") + "/" + r.PathValue("attempt")
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.tasks[key]
	if known == nil {
		json.NewEncoder(w).Encode(target.TaskStatus{State: target.TaskAbsent})
		return
	}
	if known.status.State == target.TaskRunning {
		t.endTask(known, target.TaskStatus{State: target.TaskStopped, Reason: "stopped", Checkpoint: "checkpoint"})
	}
	json.NewEncoder(w).Encode(known.status)
}

func (t *Target) endTask(k *task, status target.TaskStatus) {
	k.status = status
	t.inFlight--
	k.run.Ended = time.Now().UnixMicro()
}

// taskLoop finishes tasks and stops those whose lease ran out.
func (t *Target) taskLoop(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.checkTasks(time.Now())
		}
	}
}

func (t *Target) checkTasks(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.tasks {
		switch {
		case k.status.State != target.TaskRunning:
		case now.After(k.leaseUntil):
			t.endTask(k, target.TaskStatus{State: target.TaskStopped, Reason: "task lease ran out"})
		case now.After(k.finishAt) && t.cfg.FailAll:
			t.endTask(k, target.TaskStatus{State: target.TaskFailed, Reason: "the stand-in fails everything"})
		case now.After(k.finishAt):
			t.endTask(k, target.TaskStatus{State: target.TaskDone, Answer: k.status.Answer})
		}
	}
}
