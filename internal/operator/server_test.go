package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/config"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const testSecret = "secret-of-hanako-0123456789"

// fakeCluster applies commands to one state machine.
type fakeCluster struct {
	machine *state.Machine
	index   uint64
	actors  []string
	// down makes proposals and status requests to the leader fail.
	down bool
	live bool
}

var errDown = errors.New("no leader is known")

func (c *fakeCluster) Propose(_ context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	if c.down {
		return nil, errDown
	}
	c.index++
	c.actors = append(c.actors, command.Actor)
	stamped := proto.CloneOf(command)
	stamped.TimeUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, err
	}
	return c.machine.Apply(c.index, data).(*statepb.Outcome), nil
}

func (c *fakeCluster) InForce(context.Context, uint64) (*wirepb.InForceResponse, error) {
	return &wirepb.InForceResponse{InForce: true}, nil
}

func (c *fakeCluster) ChangeMember(context.Context, wirepb.MemberRequest_Action, string) (uint64, error) {
	return 0, errDown
}

func (c *fakeCluster) Status(context.Context) (*wirepb.StatusResponse, error) {
	if c.down {
		return nil, errDown
	}
	return &wirepb.StatusResponse{ClusterId: "c", Leader: "m1"}, nil
}

func (c *fakeCluster) Local() LocalStatus {
	return LocalStatus{Name: "entry-a1", Zone: "a", SessionLive: c.live, RenewedAge: time.Second, AppliedIndex: c.index}
}

type fixture struct {
	is      *is.I
	cluster *fakeCluster
	handler http.Handler
	ready   bool
}

func newFixture(t *testing.T) *fixture {
	log.SetHandler(discard.New())
	f := &fixture{is: is.New(t), cluster: &fakeCluster{machine: state.New(), live: true}, ready: true}
	f.handler = NewServer(Config{
		Machine: f.cluster.machine, Cluster: f.cluster, Ready: func() bool { return f.ready },
		Keys: []config.OperatorKey{{Name: "bunta", Secret: "other-secret-0123456789"}, {Name: "hanako", Secret: testSecret}},
	}).Handler()
	return f
}

func (f *fixture) do(method, path, operation, body string) (int, Result, *httptest.ResponseRecorder) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testSecret)
	if operation != "" {
		request.Header.Set(HeaderOperationID, operation)
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	var result Result
	json.Unmarshal(recorder.Body.Bytes(), &result)
	return recorder.Code, result, recorder
}

const documentFormat = `{"team":"kita","revision":%d,"share":1,"upper_limit":%d,"queues":[]}`

func TestBadRequestsGetTypedErrorsAndChangeNothing(t *testing.T) {
	f := newFixture(t)
	id := state.NewID()
	good := fmt.Sprintf(documentFormat, 0, 8)
	for _, c := range []struct {
		name, method, path, operation, body string
		status                              int
		message                             string
	}{
		{"unknown path", "GET", "/v1/nothing", "", "", 404, "no such path"},
		{"unknown root path", "GET", "/nothing", "", "", 404, "no such path"},
		{"wrong method", "POST", "/v1/documents/kita", id, good, 405, "not allowed"},
		{"no operation id", "PUT", "/v1/documents/kita", "", good, 400, HeaderOperationID},
		{"operation id of version 4", "PUT", "/v1/documents/kita", "5f0c5a0e-6d5e-4b5e-8d4a-0e8f6b1c2d3e", good, 400, "version 4"},
		{"unknown field", "PUT", "/v1/documents/kita", id, `{"team":"kita","shares":1}`, 400, "shares"},
		{"not JSON", "PUT", "/v1/documents/kita", id, `team: kita`, 400, "body"},
		{"two values", "PUT", "/v1/documents/kita", id, good + good, 400, "more than one"},
		{"another team", "PUT", "/v1/documents/minami", id, good, 400, "team"},
		{"bad field", "PUT", "/v1/documents/kita", id, `{"team":"kita","upper_limit":1}`, 400, "share"},
		{"too large", "PUT", "/v1/documents/kita", id, `{"team":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413, "larger"},
		{"delete without revision", "DELETE", "/v1/documents/kita", id, "", 400, "revision"},
		{"bad key hash", "PUT", "/v1/keys/k", id, `{"team":"kita","sha256_hex":"xy"}`, 400, "sha256_hex"},
		{"bad page", "GET", "/v1/jobs?limit=0", "", "", 400, "limit"},
		{"unknown job", "POST", "/v1/jobs/x/cancel", id, "", 404, "does not exist"},
		{"bad index", "GET", "/v1/in-force/x", "", "", 400, "index"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, result, _ := f.do(c.method, c.path, c.operation, c.body)
			is.Equal(status, c.status)
			is.True(strings.Contains(result.Message, c.message)) // the message names the fault
			is.Equal(f.cluster.index, uint64(0))                 // no command was proposed
		})
	}
}

func TestUnknownOperatorKeyIsRefused(t *testing.T) {
	f := newFixture(t)
	for _, header := range []string{"", "Bearer ", "Bearer wrong-key-0123456789", "Basic " + testSecret + "x"} {
		request := httptest.NewRequest("GET", "/v1/documents", nil)
		request.Header.Set("Authorization", header)
		recorder := httptest.NewRecorder()
		f.handler.ServeHTTP(recorder, request)
		f.is.Equal(recorder.Code, http.StatusUnauthorized)
	}
}

func TestConflictingAndResentChanges(t *testing.T) {
	f := newFixture(t)
	first, second := state.NewID(), state.NewID()
	status, won, _ := f.do("PUT", "/v1/documents/kita", first, fmt.Sprintf(documentFormat, 0, 8))
	f.is.Equal(status, 200)
	status, lost, _ := f.do("PUT", "/v1/documents/kita", second, fmt.Sprintf(documentFormat, 0, 9))
	f.is.Equal(status, 409)
	f.is.Equal(lost.Revision, won.Revision) // the conflict names the revision in force
	status, again, _ := f.do("PUT", "/v1/documents/kita", first, fmt.Sprintf(documentFormat, 0, 8))
	f.is.Equal(status, 200)
	f.is.Equal(again.Revision, won.Revision) // a resend gets the first outcome
	status, _, _ = f.do("PUT", "/v1/documents/kita", first, fmt.Sprintf(documentFormat, 0, 10))
	f.is.Equal(status, 400) // the id belongs to another command
	f.is.Equal(f.cluster.machine.Document("kita").UpperLimitUnits, uint32(8))
	f.is.Equal(f.cluster.actors[0], "hanako") // the actor is recorded
}

func TestResentDeleteGetsTheFirstOutcome(t *testing.T) {
	f := newFixture(t)
	_, created, _ := f.do("PUT", "/v1/documents/kita", state.NewID(), fmt.Sprintf(documentFormat, 0, 8))
	id := state.NewID()
	path := fmt.Sprintf("/v1/documents/kita?revision=%d", created.Revision)
	for range 2 {
		status, _, _ := f.do("DELETE", path, id, "")
		f.is.Equal(status, 200)
	}
}

func TestDaemonCutOffFromTheLeader(t *testing.T) {
	f := newFixture(t)
	f.cluster.down, f.cluster.live = true, false
	status, result, _ := f.do("PUT", "/v1/documents/kita", state.NewID(), fmt.Sprintf(documentFormat, 0, 8))
	f.is.Equal(status, 503)
	f.is.True(strings.Contains(result.Message, HeaderOperationID)) // the message says how to resend
	_, _, recorder := f.do("GET", "/v1/status", "", "")
	var view StatusView
	f.is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &view))
	f.is.Equal(view.CutOff, errDown.Error())
	_, _, recorder = f.do("GET", "/readyz", "", "")
	f.is.Equal(recorder.Code, 200)
	f.is.True(strings.Contains(recorder.Body.String(), "cut off"))
	f.ready = false
	_, _, recorder = f.do("GET", "/readyz", "", "")
	f.is.Equal(recorder.Code, 503)
	_, _, recorder = f.do("GET", "/healthz", "", "")
	f.is.Equal(recorder.Code, 200) // healthz answers during the shutdown
}

func TestJobListIsPaged(t *testing.T) {
	f := newFixture(t)
	var jobs []*statepb.Job
	for i := range 25 {
		jobs = append(jobs, &statepb.Job{Id: fmt.Sprintf("j%02d", i), Team: "kita", Answer: []byte("x")})
	}
	seen, after := 0, ""
	for {
		page := jobPage(jobs, after, 10, func(job *statepb.Job) bool { return job.Id != "j03" })
		for _, job := range page.Jobs {
			f.is.True(job.ID > after || after == "")
			f.is.True(job.Answer == nil) // answers are not listed
		}
		seen += len(page.Jobs)
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	f.is.Equal(seen, 24)
}

func TestSecretsReachNeitherLogNorAnswers(t *testing.T) {
	f := newFixture(t)
	var out bytes.Buffer
	log.SetHandler(logfmt.New(&out))
	f.do("PUT", "/v1/documents/kita", state.NewID(), fmt.Sprintf(documentFormat, 0, 8))
	hash := state.HashKey("caller-secret-0123456789")
	body := fmt.Sprintf(`{"team":"kita","sha256_hex":"%x"}`, hash)
	status, _, _ := f.do("PUT", "/v1/keys/kita-key", state.NewID(), body)
	f.is.Equal(status, 200)
	_, _, keys := f.do("GET", "/v1/keys", "", "")
	_, _, document := f.do("GET", "/v1/documents/kita", "", "")
	f.is.True(strings.Contains(document.Body.String(), `"kita-key"`)) // keys are shown with the document
	all := out.String() + keys.Body.String() + document.Body.String()
	f.is.True(strings.Contains(out.String(), "event=1050") && strings.Contains(out.String(), "actor=hanako"))
	f.is.True(!strings.Contains(all, testSecret))
	f.is.True(!strings.Contains(all, fmt.Sprintf("%x", hash)))
}

// TestSlowRequestBodyTimesOut checks that the server answers and closes the connection
// when a client stops in the middle of a request body.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	is := is.New(t)
	server := NewServer(Config{
		Machine: state.New(), Cluster: &fakeCluster{}, Keys: []config.OperatorKey{{Name: "hanako", Secret: testSecret}},
	})
	server.timeout = 100 * time.Millisecond
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "PUT /v1/documents/kita HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", testSecret)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	answer, err := io.ReadAll(conn)
	is.NoErr(err) // the server answered and closed the connection
	is.True(strings.Contains(string(answer), "400 Bad Request"))
}

func TestMetricsDescribeTheState(t *testing.T) {
	f := newFixture(t)
	f.do("PUT", "/v1/documents/kita", state.NewID(), fmt.Sprintf(documentFormat, 0, 8))
	_, _, recorder := f.do("GET", "/metrics", "", "")
	text := recorder.Body.String()
	for _, line := range []string{
		"# TYPE sapphirering_session_live gauge", "sapphirering_session_live 1", "sapphirering_documents 1",
		`sapphirering_team_upper_limit{team="kita"} 8`,
	} {
		f.is.True(strings.Contains(text, line+"\n")) // the line is in the metrics
	}
}

// Explain returns one line that names the object.
func (c *fakeCluster) Explain(_ context.Context, kind, id string) ([]string, error) {
	return []string{kind + " " + id}, nil
}
