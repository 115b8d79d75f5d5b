package entry

import (
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/state"
	"sapphirering/internal/target"
)

// TestSilentConnectionIsReplaced lets the first connection to the only target
// go silent after one answer. The next request is answered over a new connection
// to the same target, to which dispatch is not held back.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, 8)
	var mu sync.Mutex
	served := make(map[string]int)
	f.addTarget("only", 8, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		served[r.RemoteAddr]++
		silent := len(served) == 1 && served[r.RemoteAddr] > 1
		mu.Unlock()
		if silent {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		echo(w, r)
	})
	is.Equal(f.call(state.NewID(), true, 2000).outcome, OutcomeAnswered)
	got := f.call(state.NewID(), true, 20_000)
	is.Equal(got.outcome, OutcomeAnswered)
	is.True(got.duration >= target.ProgressTimeout)
	is.True(got.duration < 2*target.ProgressTimeout)
	is.Equal(f.registry.FreeSlots("p"), 8) // the target still receives requests
	is.Equal(f.call(state.NewID(), true, 2000).outcome, OutcomeAnswered)
}
