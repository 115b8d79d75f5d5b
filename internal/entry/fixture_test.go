package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/session"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

const secret = "secret-of-kita"

// fixture is one entry VM over a state machine that is not replicated.
type fixture struct {
	t        *testing.T
	server   *Server
	callers  *httptest.Server
	registry *target.Registry

	mu       sync.Mutex
	machine  *state.Machine
	index    uint64
	sequence uint64
}

// Propose applies the command at once.
func (f *fixture) Propose(_ context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	command = proto.CloneOf(command)
	command.TimeUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	f.index++
	return f.machine.Apply(f.index, data).(*statepb.Outcome), nil
}

// Renew always extends the lease.
func (f *fixture) Renew(context.Context, *wirepb.RenewRequest) (*wirepb.RenewResponse, error) {
	return &wirepb.RenewResponse{LeaseMs: 60_000}, nil
}

func (f *fixture) mustApply(command *statepb.Command) {
	f.t.Helper()
	outcome, err := f.Propose(context.Background(), command)
	if err != nil || outcome.Code != statepb.Code_CODE_OK {
		f.t.Fatalf("%v %v", outcome, err)
	}
}

// newFixture starts an entry VM for team kita with the given units.
func newFixture(t *testing.T, units uint32) *fixture {
	t.Helper()
	f := &fixture{t: t, machine: state.New()}
	f.registry = target.NewRegistry(f.machine, time.Now)
	holder := session.NewHolder(session.Config{
		MemberID: "m1", MemberName: "entry-1", Zone: "a", Lease: time.Minute, Machine: f.machine, Leader: f, Now: time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go holder.Run(ctx)
	f.server = NewServer(Config{
		Machine: f.machine, Holder: holder, Registry: f.registry, Client: target.NewClient(), Proposer: f, Now: time.Now,
	})
	f.callers = httptest.NewServer(f.server.Handler())
	t.Cleanup(f.callers.Close)
	hash := state.HashKey(secret)
	f.mustApply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: "p"}}}})
	f.mustApply(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{Document: &statepb.TeamDocument{
		Team: "kita", ShareWeight: 1, UpperLimitUnits: 100, Queues: []*statepb.Queue{{
			Name: "q", Pool: "p", Class: statepb.Class_CLASS_NORMAL, MaxQueued: 100, MaxDeadlineMs: 30_000,
			Needs: &statepb.Resources{Millicores: 1},
		}},
	}}}})
	f.mustApply(&statepb.Command{Body: &statepb.Command_GrantKey{GrantKey: &statepb.GrantKey{Key: &statepb.Key{Id: "k", Team: "kita", Hash: hash[:]}}}})
	for !holder.Live() {
		time.Sleep(time.Millisecond)
	}
	id, _ := holder.Session()
	f.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: id, Reservations: []*statepb.Reservation{{Team: "kita", Units: units}},
	}}})
	return f
}

// addTarget registers a target that h serves, with the given slots.
func (f *fixture) addTarget(name string, slots uint32, h http.HandlerFunc) {
	f.t.Helper()
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	f.sequence++
	a := target.Announcement{
		VM: name, Incarnation: "i", Sequence: f.sequence, Pool: "p", Zone: "a", Address: server.URL, Slots: slots,
	}
	f.mustApply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
		Name: name, Pool: "p", Zone: "a", Address: server.URL, Incarnation: "i", Slots: slots,
	}}}})
	if _, _, err := f.registry.Announce(a); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.keepAnnouncing(ctx, a)
}

func (f *fixture) keepAnnouncing(ctx context.Context, a target.Announcement) {
	ticker := time.NewTicker(target.AnnounceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.Sequence++
			f.registry.Announce(a)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status      int
	outcome     string
	body        string
	contentType string
	retryAfter  string
	duration    time.Duration
}

func (f *fixture) call(id string, repeatable bool, deadlineMS int) reply {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.callers.URL+"/v1/queues/q/requests", strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(target.HeaderRequestID, id)
	request.Header.Set(target.HeaderDeadlineMS, fmt.Sprint(deadlineMS))
	if !repeatable {
		request.Header.Set(HeaderRepeatable, "no")
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return reply{
		response.StatusCode, response.Header.Get(HeaderOutcome), string(body), response.Header.Get("Content-Type"),
		response.Header.Get("Retry-After"), time.Since(started),
	}
}

// echo answers as a working target does, with the request's id in the body.
func echo(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set("Content-Type", "application/x-proof")
	io.WriteString(w, "answer to "+r.Header.Get(target.HeaderRequestID))
}

// breakAfterRun reads the whole request and then breaks the connection.
func breakAfterRun(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// busy refuses as a target does that has no free capacity.
func busy(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderNotRun, "busy")
	w.WriteHeader(http.StatusServiceUnavailable)
}
