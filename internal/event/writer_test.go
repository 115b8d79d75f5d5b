package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// stuckOutput blocks every write until it is released.
type stuckOutput struct {
	mu       sync.Mutex
	out      bytes.Buffer
	released chan struct{}
}

func (s *stuckOutput) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestWriterNeverBlocks logs far above the bound to an output that takes
// nothing: every call returns, and the lines that were dropped are counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuckOutput{released: make(chan struct{})}
	w := NewWriter(out, time.Now)
	began := time.Now()
	at := time.Now()
	for range 10 * maxLinesPerSecond {
		is.NoErr(w.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "m", Timestamp: at, Fields: log.Fields{"a": "b c", "n": 5}}))
	}
	is.NoErr(w.HandleLog(&log.Entry{Level: log.ErrorLevel, Message: "broken", Timestamp: at}))
	is.True(time.Since(began) < time.Second)
	close(out.released)
	w.Close()
	text := out.out.String()
	is.Equal(strings.Count(text, "msg=m "), maxLinesPerSecond)
	is.True(strings.Contains(text, `level=info msg=m a="b c" n=5`))
	is.True(strings.Contains(text, "msg=broken")) // errors have a bound of their own
	is.True(strings.Contains(text, "lines=3600"))
}

// BenchmarkAppend is the cost of writing one line, as a placement has it.
func BenchmarkAppend(b *testing.B) {
	w := &Writer{}
	entry := &log.Entry{Level: log.InfoLevel, Message: "tasks of a job placed", Timestamp: time.Now(), Fields: log.Fields{
		"event": 7008, "job": "5caff036e7ff7572", "index": 62, "tasks": strings.Repeat("0.0.1/1@i-37718e53fb,", 6),
	}}
	b.ReportAllocs()
	for range b.N {
		w.append(entry)
		w.pending.Reset()
	}
}
