package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const documentText = "team: kita\nrevision: 3\nshare: 1\nupper_limit: 8\n"

// fakeSystem is an entry VM that answers the tool as a test has set.
type fakeSystem struct {
	*httptest.Server
	mu sync.Mutex
	// answers holds the handlers by "METHOD path" without the query.
	answers map[string]func(w http.ResponseWriter, r *http.Request)
	// operations holds the operation ids of the changes that arrived.
	operations []string
	folder     string
}

func newFakeSystem(t *testing.T) *fakeSystem {
	f := &fakeSystem{answers: make(map[string]func(http.ResponseWriter, *http.Request)), folder: t.TempDir()}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if id := r.Header.Get(operator.HeaderOperationID); id != "" {
			f.operations = append(f.operations, id)
		}
		answer := f.answers[r.Method+" "+r.URL.Path]
		if answer == nil {
			reply(404, operator.Result{Code: "not-found", Message: r.Method + " " + r.URL.Path})(w, r)
			return
		}
		answer(w, r)
	}))
	t.Cleanup(f.Close)
	f.write(t, "operator.keys", "hanako:0123456789abcdef")
	f.write(t, "kita.yaml", documentText)
	return f
}

func (f *fakeSystem) write(t *testing.T, name, text string) string {
	path := filepath.Join(f.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// setAnswer sets the answer to "METHOD path".
func (f *fakeSystem) setAnswer(what string, answer http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[what] = answer
}

// operation returns the operation id of the n-th change.
func (f *fakeSystem) operation(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operations[n]
}

// changes counts the changes that arrived.
func (f *fakeSystem) changes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.operations)
}

func (f *fakeSystem) path(name string) string { return filepath.Join(f.folder, name) }

func reply(status int, value any) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(value)
	}
}

// dropFirstAnswers takes n requests and closes their connections without an answer, then
// answers.
func dropFirstAnswers(n int, then func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			then(w, r)
			return
		}
		n--
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
}

// runTool runs the tool against the fake system.
func (f *fakeSystem) runTool(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	full := append([]string{args[0], "-address", f.URL, "-key-file", f.path("operator.keys")}, args[1:]...)
	code = Main(full, &o, &e)
	return code, o.String(), e.String()
}

func TestResendAfterLostAnswersUsesOneOperationID(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("PUT /v1/documents/kita", dropFirstAnswers(2, reply(200, operator.Result{Code: "ok", Revision: 4, Index: 4})))
	code, out, errOut := f.runTool("apply", f.path("kita.yaml"))
	is.Equal(code, ExitOK)
	is.Equal(out, "ok: revision 4, committed\n")
	is.Equal(errOut, "")
	is.Equal(f.changes(), 3)
	is.Equal(f.operation(0), f.operation(2))
}

func TestLostAnswerNamesTheOperationID(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("PUT /v1/documents/kita", dropFirstAnswers(1000, nil))
	code, _, errOut := f.runTool("apply", "-timeout", "500ms", f.path("kita.yaml"))
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, "-operation-id "+f.operation(0)))
	f.setAnswer("PUT /v1/documents/kita", reply(200, operator.Result{Code: "ok", Revision: 4}))
	code, _, _ = f.runTool("apply", "-operation-id", f.operation(0), f.path("kita.yaml"))
	is.Equal(code, ExitOK)
	is.Equal(f.operation(f.changes()-1), f.operation(0))
}

func TestConflictPrintsTheDocumentInForce(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("PUT /v1/documents/kita", reply(409, operator.Result{Code: "conflict", Message: "5 is in force", Revision: 5}))
	f.setAnswer("GET /v1/documents/kita", reply(200, operator.DocumentView{
		Document: &config.Document{Team: "kita", Revision: 5, Share: 1, UpperLimit: 20},
	}))
	code, _, errOut := f.runTool("apply", f.path("kita.yaml"))
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(errOut, "revision 5 of kita is in force"))
	is.True(strings.Contains(errOut, "~ upper_limit: 20 -> 8"))
}

func TestSecondAddressIsTried(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	dead := httptest.NewServer(nil)
	dead.Close()
	cutOff := httptest.NewServer(http.HandlerFunc(reply(503, operator.Result{Code: "unavailable", Message: "no leader"})))
	defer cutOff.Close()
	f.setAnswer("GET /v1/keys", reply(200, []operator.KeyView{{ID: "k1", Team: "kita"}}))
	code, out, _ := f.runTool("key", "-address", dead.URL+","+cutOff.URL+","+f.URL, "list")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "k1"))
}

func TestWaitNamesTheMembersWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("PUT /v1/documents/kita", reply(200, operator.Result{Code: "ok", Revision: 9, Index: 9}))
	f.setAnswer("GET /v1/in-force/9", reply(200, operator.InForceView{Waiting: []string{"m7"}}))
	f.setAnswer("GET /v1/status", reply(200, operator.StatusView{Members: []operator.MemberView{{ID: "m7", Name: "entry-c1"}}}))
	code, _, errOut := f.runTool("apply", "-wait", "-timeout", "400ms", f.path("kita.yaml"))
	is.Equal(code, ExitNotInForce)
	is.True(strings.Contains(errOut, "waits for entry-c1"))
}

func TestExitCodesOfErrors(t *testing.T) {
	f := newFakeSystem(t)
	f.write(t, "bad.yaml", "team: kita\nshares: 1\n")
	open := f.write(t, "open.keys", "hanako:0123456789abcdef")
	if err := os.Chmod(open, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"unknown flag", []string{"get", "-what"}, ExitUsage, "-what"},
		{"too many arguments", []string{"apply", "a", "b"}, ExitUsage, "want FILE"},
		{"wrong output", []string{"get", "-o", "xml"}, ExitUsage, "not table or json"},
		{"wrong file", []string{"apply", f.path("bad.yaml")}, ExitUsage, "bad.yaml:2: shares: unknown field"},
		{"no such file", []string{"check", "document", f.path("none")}, ExitUsage, "no such file"},
		{"readable key file", []string{"get", "-key-file", open}, ExitUsage, "want 0600"},
		{"refused", []string{"get", "nobody"}, ExitFailed, "not-found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := f.runTool(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.says)) // the error names the fault
		})
	}
	if Main([]string{"nothing"}, &bytes.Buffer{}, &bytes.Buffer{}) != ExitUsage {
		t.Error("unknown command is accepted")
	}
}

func TestHelpOfEveryCommand(t *testing.T) {
	is := is.New(t)
	var all bytes.Buffer
	is.Equal(Main([]string{"help"}, &all, &all), ExitOK)
	for _, sub := range subcommands() {
		is.True(strings.Contains(all.String(), sub.name)) // listed
		var out bytes.Buffer
		is.Equal(Main([]string{"help", sub.name}, &out, &out), ExitOK)
		is.True(strings.Contains(out.String(), "exit codes:"))
	}
}

func TestDeleteWithLostAnswerPrintsTheCommand(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("GET /v1/documents/kita", reply(200, operator.DocumentView{Document: &config.Document{Team: "kita", Revision: 17}}))
	f.setAnswer("DELETE /v1/documents/kita", dropFirstAnswers(1000, nil))
	code, _, errOut := f.runTool("delete", "-timeout", "400ms", "kita")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, "delete kita 17"))
}

func TestDocumentPrintedByGetCanBeApplied(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("GET /v1/documents/kita", reply(200, operator.DocumentView{
		Document: &config.Document{Team: "kita", Revision: 5, Share: 1, UpperLimit: 20},
		Keys:     []operator.KeyView{{ID: "kita-2027", Team: "kita"}},
	}))
	code, out, _ := f.runTool("get", "kita")
	is.Equal(code, ExitOK)
	is.True(strings.HasPrefix(out, "# key kita-2027"))
	doc, err := config.ParseDocument([]byte(out))
	is.NoErr(err)
	is.Equal(doc.Revision, uint64(5))
	code, out, _ = f.runTool("diff", f.write(t, "same.yaml", out))
	is.Equal(code, ExitOK)
	is.Equal(out, "in force: revision 5; file: based on revision 5\n")
}

func TestGrantSendsOnlyTheHash(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	var sent operator.KeyRequest
	f.setAnswer("PUT /v1/keys/k1", func(w http.ResponseWriter, r *http.Request) {
		json.NewDecoder(r.Body).Decode(&sent)
		reply(200, operator.Result{Code: "ok"})(w, r)
	})
	code, out, errOut := f.runTool("key", "grant", "kita", "k1", f.path("secret"))
	is.Equal(code, ExitOK)
	secret, err := os.ReadFile(f.path("secret"))
	is.NoErr(err)
	info, err := os.Stat(f.path("secret"))
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	is.Equal(sent.SHA256Hex, fmt.Sprintf("%x", state.HashKey(string(secret))))
	is.True(!strings.Contains(out+errOut, string(secret)))
	is.NoErr(os.Chmod(f.path("secret"), 0o644))
	code, _, _ = f.runTool("key", "grant", "kita", "k1", f.path("secret"))
	is.Equal(code, ExitUsage) // a secret that other users may read is refused
}

func TestJobListReadsEveryPage(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("GET /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "" {
			w.Write([]byte(`{"jobs":[{"id":"j1","state":"queued"}],"next":"j1"}`))
			return
		}
		w.Write([]byte(`{"jobs":[{"id":"j2","state":"queued"}]}`))
	})
	code, out, _ := f.runTool("job", "list", "queued")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "j1") && strings.Contains(out, "j2"))
}

func TestStatusLines(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	f.setAnswer("GET /v1/status", reply(200, operator.StatusView{
		ClusterID: "c", Members: []operator.MemberView{
			{ID: "1", Name: "entry-a1", Zone: "a", Voter: true, Leader: true, Active: true},
			{ID: "2", Name: "entry-b1", Zone: "b", Voter: true, Active: true},
			{ID: "3", Name: "entry-c1", Zone: "c", Voter: true},
		},
		Sessions: []operator.SessionView{
			{Member: "1", State: "open"}, {Member: "2", State: "open"}, {Member: "3", State: "expired"},
		},
	}))
	_, out, _ := f.runTool("status")
	for _, line := range []string{
		"leader: entry-a1 (zone a)", "voters: 3, of which 2 answer; a quorum is 2; NO further voter may be lost",
		"zone c: 0 of 1 entry VMs hold a session", "cut off or down: entry-c1 (zone c)",
	} {
		is.True(strings.Contains(out, line+"\n"))
	}
	f.setAnswer("GET /v1/status", reply(200, operator.StatusView{CutOff: "no leader is known", AnsweredBy: operator.LocalView{Name: "entry-c1"}}))
	_, out, _ = f.runTool("status")
	is.True(strings.HasPrefix(out, "CUT OFF: entry-c1"))
}
