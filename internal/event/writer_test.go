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

// TestWriterNeverBlocks logs far above the limit to an output that blocks:
// every call returns, and the dropped lines are counted.
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
	is.True(strings.Contains(text, "msg=broken")) // errors have a separate limit
	is.True(strings.Contains(text, "lines=3600"))
}

// TestWriterKeepsRareEvents floods the log with one event: lines of another event are still
// written, and no line is split between two writes.
func TestWriterKeepsRareEvents(t *testing.T) {
	is := is.New(t)
	out := new(recordedWrites)
	w := NewWriter(out, time.Now)
	at := time.Now()
	for range 3 * maxLinesPerSecond {
		is.NoErr(w.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "flood", Timestamp: at, Fields: log.Fields{"event": 1, "tasks": strings.Repeat("x", 100)}}))
	}
	for range 2 * reservedPerEvent {
		is.NoErr(w.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "rare", Timestamp: at, Fields: log.Fields{"event": 2}}))
	}
	is.NoErr(w.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "long", Timestamp: at, Fields: log.Fields{"event": 3, "tasks": strings.Repeat("x", 2*maxWriteBytes)}}))
	w.Close()
	text := strings.Join(out.writes, "")
	is.Equal(strings.Count(text, "msg=flood "), maxLinesPerSecond)
	is.Equal(strings.Count(text, "msg=rare "), reservedPerEvent)
	is.True(strings.Contains(text, "msg=long "))
	for _, write := range out.writes {
		is.True(strings.HasSuffix(write, "\n"))
		is.True(len(write) <= maxWriteBytes || strings.Count(write, "\n") == 1)
	}
}

// recordedWrites records each write separately.
type recordedWrites struct{ writes []string }

func (r *recordedWrites) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// BenchmarkAppend measures formatting one line of the size that TasksStarted has.
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
