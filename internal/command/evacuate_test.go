package command

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestEvacuate checks the call that each order sends and what it prints; other arguments are refused.
func TestEvacuate(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem(t)
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
	}
	f.setAnswer("PUT /v1/evacuations/zone-b", answer(`{"evacuated":true}`))
	f.setAnswer("DELETE /v1/evacuations/zone-b", answer(`{}`))
	f.setAnswer("GET /v1/evacuations/zone-b", answer(`{"evacuated":true,"lines":["zone zone-b has been evacuated","0 tasks run"]}`))
	for _, test := range []struct{ order, want string }{
		{"begin", "begun: no task is started in zone zone-b\n"},
		{"finish", "finished: tasks are started in zone zone-b\n"},
		{"status", "zone zone-b has been evacuated\n0 tasks run\n"},
	} {
		code, out, errOut := f.runTool("evacuate", test.order, "zone-b")
		is.Equal(code, ExitOK)
		is.Equal(out, test.want)
		is.Equal(errOut, "")
	}
	for _, args := range [][]string{{"begin"}, {"stop", "zone-b"}, {"begin", "zone-b", "zone-c"}} {
		code, _, _ := f.runTool(append([]string{"evacuate"}, args...)...)
		is.Equal(code, ExitUsage)
	}
	code, _, _ := f.runTool("evacuate", "begin", "unknown")
	is.True(code != ExitOK)
}
