// Package standin is a small stand-in for a target: it announces itself, runs
// requests and tasks, and records every run, so that tests can compare what ran
// with the answers that callers received.
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
	// Entries are the base URLs at which the zone's entry VMs accept announcements.
	Entries      []string
	Slots        uint32
	Millicores   uint32
	MemoryMB     uint32
	Accelerators uint32
	// Work is the run time of a request or task whose body gives none (see Body).
	Work time.Duration
	// FailAll makes the target fail everything that it starts.
	FailAll bool
}

// Run records one run of a request or of a job's attempt.
type Run struct {
	RequestID string `json:"request_id"`
	Team      string `json:"team"`
	VM        string `json:"vm"`
	// Task is true for an attempt of a job.
	Task    bool  `json:"task"`
	Started int64 `json:"started_unix_us"`
	Ended   int64 `json:"ended_unix_us"`
}

// Target is a running stand-in target.
type Target struct {
	cfg         Config
	incarnation string
	listener    net.Listener
	server      *http.Server
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	// announced holds the time of each recent announcement, by sequence number.
	announced     map[uint64]time.Time
	leaving       bool
	leftAt        time.Time
	drainRevision uint64
	// newestRevision is the highest revision in any answer. Answers with a lower one, from
	// daemons that lag, are ignored.
	newestRevision uint64
	inFlight       uint32
	peak           uint32
	runs           []*Run
	tasks          map[string]*task
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
	t.goroutines.Go(func() { t.server.Serve(listener) })
	t.goroutines.Go(func() { t.announceLoop(ctx) })
	t.goroutines.Go(func() { t.taskLoop(ctx) })
	return t, nil
}

// Address returns the base URL of the target.
func (t *Target) Address() string { return "http://" + t.listener.Addr().String() }

// Token returns the token that identifies the newest announcement.
func (t *Target) Token() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Announcement{Incarnation: t.incarnation, Sequence: t.sequence}.Token()
}

// Close stops the target at once, without announcing that it leaves.
func (t *Target) Close() {
	t.cancel()
	t.server.Close()
	t.goroutines.Wait()
}

// Leave makes the target announce that it is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving {
		t.leaving, t.leftAt = true, time.Now()
	}
}

// Record lists what the target has run.
type Record struct {
	VM string `json:"vm"`
	// Peak is the highest number of concurrent runs.
	Peak   uint32 `json:"peak"`
	Runs   []Run  `json:"runs"`
	LeftAt int64  `json:"left_unix_us"`
}

// Record returns a copy of the target's record.
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

// announceLoop announces to each entry VM in a goroutine of its own: a frozen
// entry VM must not delay the announcements to the others.
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
		Leaving: t.leaving, DrainRevision: t.drainRevision, InFlight: t.inFlight,
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
	if answer.Revision < t.newestRevision {
		return
	}
	t.newestRevision = answer.Revision
	if answer.Drain && answer.DrainRevision > t.drainRevision {
		t.drainRevision = answer.DrainRevision
		t.leaving, t.leftAt = true, time.Now()
	} else if !answer.Drain && t.drainRevision != 0 && answer.Phase == "VM_PHASE_ACTIVE" {
		t.drainRevision, t.leaving = 0, false
	}
}

// isRecent reports whether the header of a dispatch names a recent announcement of this incarnation.
func (t *Target) isRecent(header string) bool {
	incarnation, text, _ := strings.Cut(header, "/")
	sequence, err := strconv.ParseUint(text, 10, 64)
	at, ok := t.announced[sequence]
	return err == nil && ok && incarnation == t.incarnation && time.Since(at) <= target.MaxAnnouncementAge+target.AnnounceInterval
}

// refusal returns why new work is refused, or "".
func (t *Target) refusal(r *http.Request) string {
	switch {
	case !t.isRecent(r.Header.Get(target.HeaderAnnouncement)):
		return "stale announcement"
	case t.leaving && time.Since(t.leftAt) > target.MaxAnnouncementAge:
		return "leaving"
	case t.inFlight >= t.cfg.Slots:
		return "busy"
	}
	return ""
}

func (t *Target) tryStart(r *http.Request, run *Run) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason := t.refusal(r); reason != "" {
		return reason
	}
	t.recordStart(run)
	return ""
}

func (t *Target) recordStart(run *Run) {
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	run.VM, run.Started = t.cfg.VM, time.Now().UnixMicro()
	t.runs = append(t.runs, run)
}

func (t *Target) recordEnd(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	run.Ended = time.Now().UnixMicro()
}

// Body is a request body or task payload that sets its run time. Other bodies are accepted as well.
type Body struct {
	WorkMS int `json:"work_ms"`
}

// runDeadline returns the time by which a request must have stopped, counted from its arrival.
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
	if reason := t.tryStart(r, run); reason != "" {
		refuse(w, reason)
		return
	}
	defer t.recordEnd(run)
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

// refuse answers that the request or task was not started, with the reason.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotRun, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work sleeps for the run time of a request and reports progress by informational
// responses. It stops at the deadline and then returns false.
func (t *Target) work(w http.ResponseWriter, remaining time.Duration, deadline time.Time) bool {
	for remaining > 0 {
		step := min(remaining, target.ProgressInterval, time.Until(deadline))
		if step <= 0 {
			return false
		}
		time.Sleep(step)
		if remaining -= step; remaining > 0 {
			w.WriteHeader(http.StatusProcessing)
		}
	}
	return true
}

// Digest returns the answer that a caller expects to its request.
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
	t.recordStart(run)
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

// taskLoop ends tasks that have run their time and stops those whose lease has expired.
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
