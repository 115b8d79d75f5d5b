package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/operator"
)

// fakeMembers answers status and member requests from a list of members.
type fakeMembers struct {
	mu      sync.Mutex
	members []operator.MemberView
	index   uint64
	// answers are sent to the first requests for changes, which then change nothing.
	answers []operator.Result
	// syncing is the number of status requests for which members have synced nothing.
	syncing int
	changes []string
}

func (f *fakeMembers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/status" {
		f.serveStatus(w)
		return
	}
	if len(f.answers) > 0 {
		answer := f.answers[0]
		f.answers = f.answers[1:]
		w.WriteHeader(map[string]int{"unavailable": http.StatusServiceUnavailable, "conflict": http.StatusConflict}[answer.Code])
		json.NewEncoder(w).Encode(answer)
		return
	}
	f.change(r.Method, strings.TrimPrefix(r.URL.Path, "/v1/members/"))
	json.NewEncoder(w).Encode(operator.Result{Code: "ok", Index: f.index})
}

func (f *fakeMembers) serveStatus(w http.ResponseWriter) {
	view := operator.StatusView{Members: append([]operator.MemberView(nil), f.members...)}
	if f.syncing > 0 {
		f.syncing--
	} else {
		for i := range view.Members {
			view.Members[i].MatchIndex = f.index
		}
	}
	json.NewEncoder(w).Encode(view)
}

func (f *fakeMembers) change(method, id string) {
	for i, m := range f.members {
		switch {
		case m.ID != id:
		case method == http.MethodPost && !m.Voter:
			f.index++
			f.members[i].Voter = true
			f.changes = append(f.changes, "promote "+id)
			return
		case method == http.MethodDelete:
			f.index++
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			f.changes = append(f.changes, "remove "+id)
			return
		}
	}
}

// TestMemberReplace runs a replacement from each point at which an earlier attempt
// may have ended, and with lost answers and conflicts.
func TestMemberReplace(t *testing.T) {
	old, learner := operator.MemberView{ID: "old", Name: "a", Voter: true}, operator.MemberView{ID: "new", Name: "a"}
	promoted := learner
	promoted.Voter = true
	for name, c := range map[string]struct {
		fake    *fakeMembers
		code    int
		changes string
		want    string
	}{
		"whole": {&fakeMembers{members: []operator.MemberView{old, learner}, index: 7},
			ExitOK, "promote new, remove old", "done: a second loss is survivable"},
		"promoted before": {&fakeMembers{members: []operator.MemberView{old, promoted}, index: 7},
			ExitOK, "remove old", "done: a second loss is survivable"},
		"done before": {&fakeMembers{members: []operator.MemberView{promoted}, index: 7},
			ExitOK, "", "done: a second loss is survivable"},
		"answers lost": {&fakeMembers{members: []operator.MemberView{old, learner}, index: 7,
			answers: []operator.Result{{Code: "unavailable"}, {Code: "unavailable"}}},
			ExitOK, "promote new, remove old", "done: a second loss is survivable"},
		"other change first": {&fakeMembers{members: []operator.MemberView{old, learner}, index: 7,
			answers: []operator.Result{{Code: "conflict"}}},
			ExitOK, "promote new, remove old", "done: a second loss is survivable"},
		"never synced": {&fakeMembers{members: []operator.MemberView{old, learner}, index: 7, syncing: 1 << 20},
			ExitFailed, "promote new", "a second loss is not survivable yet"},
		"new is missing": {&fakeMembers{members: []operator.MemberView{old}, index: 7},
			ExitFailed, "", "nothing was changed"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.fake)
			defer server.Close()
			key := filepath.Join(t.TempDir(), "key")
			is.NoErr(os.WriteFile(key, []byte("a secret of more than 16 bytes"), 0o600))
			var out, errOut bytes.Buffer
			code := Main([]string{"member", "-address", server.URL, "-key-file", key, "-timeout", "1500ms",
				"replace", "old", "new"}, &out, &errOut)
			t.Log(out.String(), errOut.String())
			is.Equal(strings.Join(c.fake.changes, ", "), c.changes)
			is.True(strings.Contains(out.String()+errOut.String(), c.want))
			is.Equal(code, c.code)
		})
	}
}
