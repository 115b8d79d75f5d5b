package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/platform"
	"sapphirering/test/standin"
)

// TestResendReturnsSameOperation checks that a call repeated after a lost answer returns
// the operation that the first call began and does not begin a second reboot.
func TestResendReturnsSameOperation(t *testing.T) {
	is := is.New(t)
	p, err := standin.StartPlatform("127.0.0.1:0", 20*time.Millisecond)
	is.NoErr(err)
	defer p.Close()
	var stops, starts atomic.Int32
	p.AddVM("vm1", standin.VMControl{
		Stop: func() { stops.Add(1) }, Start: func() error { starts.Add(1); return nil },
	})
	client := platform.NewClient(p.Address())
	request := platform.Request{VM: "vm1", Action: "reboot"}
	p.LoseAnswers(1)
	_, err = client.PutOperation(context.Background(), "w.vm1.7", request)
	is.True(err != nil)
	deadline := time.Now().Add(5 * time.Second)
	for {
		operation, err := client.PutOperation(context.Background(), "w.vm1.7", request)
		is.NoErr(err)
		if operation.Ended() {
			is.Equal(operation.State, platform.StateDone)
			break
		}
		is.True(time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(p.Reboots("vm1"), 1)
	is.Equal(stops.Load(), int32(1))
	is.Equal(starts.Load(), int32(1))
	_, err = client.PutOperation(context.Background(), "w.vm1.7", platform.Request{VM: "vm1", Action: "other"})
	is.True(err != nil) // an id cannot be used for another action
}

// TestUnexpectedAnswersAreErrors checks that answers about another operation or VM, with
// another status than 200 or with invalid JSON are not taken as the operation's state.
func TestUnexpectedAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]struct {
		status int
		body   string
	}{
		"other operation": {http.StatusOK, `{"id":"x","vm":"vm1","state":"done"}`},
		"other VM":        {http.StatusOK, `{"id":"op","vm":"vm2","state":"done"}`},
		"error status":    {http.StatusBadGateway, `{"id":"op","vm":"vm1","state":"done"}`},
		"truncated JSON":  {http.StatusOK, `{"id":"op","vm":"vm1"`},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(answer.status)
				w.Write([]byte(answer.body))
			}))
			defer server.Close()
			if got, err := platform.NewClient(server.URL).PutOperation(context.Background(), "op", platform.Request{VM: "vm1"}); err == nil {
				t.Fatalf("answer was accepted: %+v", got)
			}
		})
	}
}
