package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	service = "press"
	key     = "sjnbanfqasnmgkcuyj8p"
	host    = "shop.example"
	prefix  = "/jobs/"
)

// record is the text of what was sent, answered and run, and the jobs that were sent.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
	jobs  map[string]jobBody
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: out, jobs: make(map[string]jobBody)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

// phase is a step of a job on the wire.
type phase struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemMb        int64 `json:"memMb"`
	EstMs        int64 `json:"estMs"`
	Deps         []int `json:"deps,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
}

type jobBody struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// jobOf returns the job of a work unit ID.K.STEP.INDEX and its step.
func (r *record) jobOf(task string) (jobBody, int, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return jobBody{}, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	job, known := r.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	return job, step, known && err == nil && step < len(job.Phases)
}

func (r *record) needsOf(task string) (int64, bool) {
	job, step, known := r.jobOf(task)
	if !known {
		return 0, false
	}
	return job.Phases[step].CPU, true
}

func (r *record) specOf(task string) string {
	job, _, _ := r.jobOf(task)
	return job.Spec
}

// caller is a requester; its calls go to the edge daemons in turn.
type caller struct {
	record *record
	edges  []string
	next   int
}

// callerDeadline is how long a requester waits for an answer.
const callerDeadline = 3 * time.Second

// call sends one request; status is 0 if no answer came.
func (c *caller) call(method, path string, body any) (status int, answer string) {
	address := c.edges[c.next%len(c.edges)]
	c.next++
	return c.callAt(address, method, path, body)
}

func (c *caller) callAt(address, method, path string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Sapphirering-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.record.add("%-6s %s: no answer", method, path)
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	answer = strings.TrimSpace(string(text))
	c.record.add("%-6s %s: %d %s", method, path, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (c *caller) submit(path, id string, job jobBody, within time.Duration) bool {
	c.record.mu.Lock()
	c.record.jobs[id] = job
	c.record.mu.Unlock()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, _ := c.call(http.MethodPost, path+id, job); status/100 == 2 {
			return true
		}
	}
	return false
}

// state returns the state of a job, "" without a clear answer.
func (c *caller) state(path, id string) (int, string) {
	status, answer := c.call(http.MethodGet, path+id, nil)
	var in struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &in) == nil {
		return status, in.State
	}
	return status, ""
}

// route is a queue of the manifest.
type route struct{ name, prefix string }

// capCPU limits what the tenant may have running, in thousandths of a core.
const capCPU = 2681063

// manifest returns a complete manifest with some routes to the one service.
func manifest(version int, maxAttempts int, routes ...route) map[string]any {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": "mutating", "timeoutMs": 3000, "sloMs": 600, "prio": 0,
			"service": service, "maxAttempts": maxAttempts, "slackFactor": 1.6, "public": false,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "proto": "h1", "tls": false, "admissionCheck": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "cugo130", "apiKeys": []string{key}, "prio": 1, "weight": 33, "cap": map[string]int64{"cpu": capCPU, "memMb": 8684317, "gpu": 0},
		}},
	}
}

// withCap sets what the tenant may have running.
func withCap(m map[string]any, cpu int64) map[string]any {
	m["tenants"].([]map[string]any)[0]["cap"] = map[string]int64{"cpu": cpu, "memMb": 8684317, "gpu": 0}
	return m
}

// replaceManifest sends a manifest until it is acknowledged.
func replaceManifest(r *record, control []string, body map[string]any, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for i, until := 0, time.Now().Add(within); time.Now().Before(until); i++ {
		if _, err := postJSON(client, "http://"+control[i%len(control)]+"/config/replace", body); err == nil {
			r.add("manifest   version %v acknowledged", body["version"])
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// servePlatform serves the list of the fleet's machines. Nothing is to be moved or kept up: there is one pool.
func servePlatform(f *fleet) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		machines := []map[string]any{}
		for _, e := range f.executors {
			m := map[string]any{
				"machine": e.machine, "pool": f.service, "state": "up", "zone": e.zone, "labels": []string{"a", e.rack},
				"capacity": map[string]int64{"cpu": e.cpu, "memMb": e.mem, "gpu": 0}, "id": e.id,
			}
			if !e.up {
				m["state"] = "down"
				delete(m, "id")
			}
			machines = append(machines, m)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "nextToken": ""})
	})
	busy := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	}
	mux.HandleFunc("POST /machine-move", busy)
	mux.HandleFunc("POST /machine-upkeep", busy)
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback(1), "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}
