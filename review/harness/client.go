package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Phase is one step of a job. Work is how long one task works on a sound target; it is not
// sent.
type Phase struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	MemMb          int64  `json:"memMb"`
	GPU            int64  `json:"gpu,omitempty"`
	EstMs          int64  `json:"estMs,omitempty"`
	Deps           []int  `json:"deps,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	Constraints    string `json:"constraints,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`

	Work time.Duration `json:"-"`
}

// Job is a job as a requester hands it in.
type Job struct {
	Spec   string  `json:"spec"`
	Phases []Phase `json:"phases"`
}

// Names of the manifest of all cases.
const (
	Host    = "jobs.example"
	Prefix  = "/jobs/"
	Key     = "key-of-the-tenant"
	Service = "render"
	Standby = "spare"
)

// Manifest returns a manifest with one route.
func Manifest(version, maxAttempts int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-jobs","host":"%s","prefix":"%s","kind":"mutating","timeoutMs":3000,"sloMs":600,"prio":1,"service":"%s","maxAttempts":%d,"slackFactor":1.6,"public":false}],`+
		`"services":[{"name":"%s","healthPath":"/healthz","maxConns":64,"proto":"h1","tls":false,"admissionCheck":true,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"tenant","apiKeys":["%s"],"prio":1,"weight":33,"cap":{"cpu":0,"memMb":0,"gpu":0}}]}`,
		version, Host, Prefix, Service, maxAttempts, Service, Key)
}

// ErrNoAnswer is returned if no daemon gave a clear answer in time.
var ErrNoAnswer = errors.New("no clear answer in time")

// Clients sends the calls of requesters and of the operator.
type Clients struct {
	in     *Installation
	record *Record
	http   *http.Client
	next   int
}

// NewClients returns the requesters and the operator of an installation.
func NewClients(in *Installation) *Clients {
	return &Clients{in: in, record: in.Record, http: &http.Client{Timeout: 3 * time.Second}}
}

// once sends one call and returns the status and the body of the answer.
func (c *Clients) once(base, method, path, body string) (int, string, error) {
	request, err := http.NewRequest(method, base+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Host = Host
	request.Header.Set("Authorization", "Token "+Key)
	request.Header.Set("X-Sapphirering-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Edge sends a requester's call to the edge daemons in turn until one gives an answer other
// than 429, 502, 503 or 504, and returns it.
func (c *Clients) Edge(method, path, body string, within time.Duration) (int, string, error) {
	end := time.Now().Add(within)
	for {
		c.next++
		edge := c.in.Edges[c.next%len(c.in.Edges)]
		status, answer, err := c.once(edge.Callers(), method, path, body)
		c.record.Add("requester: %s %s at %s: %d %s%s", method, path, edge.Name, status, answer, errorText(err))
		if err == nil && status != 429 && status != 502 && status != 503 && status != 504 {
			return status, answer, nil
		}
		if time.Now().After(end) {
			return status, answer, ErrNoAnswer
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// Submit hands a job in.
func (c *Clients) Submit(fleet *Fleet, id string, job Job, within time.Duration) error {
	fleet.Expect(id, job)
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	status, _, err := c.Edge(http.MethodPost, Prefix+id, string(body), within)
	if err == nil && status/100 != 2 {
		return fmt.Errorf("job %s was answered %d", id, status)
	}
	return err
}

// State returns the state of a job; "" if it is not known (410).
func (c *Clients) State(id string, within time.Duration) (string, error) {
	status, answer, err := c.Edge(http.MethodGet, Prefix+id, "", within)
	if err != nil || status == http.StatusGone {
		return "", err
	}
	var in struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(answer), &in); err != nil {
		return "", err
	}
	return in.State, nil
}

// Operator sends an operator's call to the core daemons in turn until one answers with 200.
func (c *Clients) Operator(method, path, body string, within time.Duration) (string, error) {
	end := time.Now().Add(within)
	for n := 0; ; n++ {
		cores := c.in.Cores()
		core := cores[n%len(cores)]
		status, answer, err := c.once(core.Control(), method, path, body)
		c.record.Add("operator: %s %s at %s: %d %.60s%s", method, path, core.Name, status, answer, errorText(err))
		if err == nil && status == http.StatusOK {
			return answer, nil
		}
		if time.Now().After(end) {
			return answer, ErrNoAnswer
		}
		time.Sleep(100 * time.Millisecond)
	}
}
