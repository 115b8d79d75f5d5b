package standin

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/target"
)

func send(t *testing.T, method, url, token, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(target.HeaderRequestID, "id-1")
	request.Header.Set(target.HeaderDeadlineMS, "1000")
	request.Header.Set(target.HeaderAnnouncement, token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

// TestStaleAnnouncementIsRefused sends requests and task starts that name no
// announcement, one of another incarnation, or one that was never made.
func TestStaleAnnouncementIsRefused(t *testing.T) {
	is := is.New(t)
	s, err := Start(Config{VM: "vm-1", Listen: "127.0.0.1:0", Slots: 1})
	is.NoErr(err)
	defer s.Close()
	current := s.nextAnnouncement()
	stale := []string{"", "other/1", fmt.Sprintf("%s/%d", current.Incarnation, current.Sequence+100)}
	for _, token := range stale {
		for _, response := range []*http.Response{
			send(t, http.MethodPost, s.Address()+"/v1/run/q", token, "body"),
			send(t, http.MethodPut, s.Address()+"/v1/tasks/job/1", token, `{"start":true,"lease_ms":1000}`),
		} {
			is.Equal(response.Header.Get(target.HeaderNotRun), "stale announcement")
		}
	}
	is.Equal(len(s.Record().Runs), 0)
	is.Equal(send(t, http.MethodPost, s.Address()+"/v1/run/q", current.Token(), "body").Header.Get(target.HeaderNotRun), "")
	is.Equal(send(t, http.MethodPut, s.Address()+"/v1/tasks/job/1", current.Token(), `{"start":true,"lease_ms":1000}`).StatusCode, http.StatusOK)
	is.Equal(len(s.Record().Runs), 2)
}
