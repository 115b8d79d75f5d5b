package event

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxLinesPerSecond bounds the log's volume; warnings and errors have a
	// bound of their own of the same size.
	maxLinesPerSecond = 400
	// reservedPerEvent is how many lines of one event a second may have while others have
	// used up the bound: a flood of one event hides no other.
	reservedPerEvent = 20
	// maxWriteBytes bounds one write: up to PIPE_BUF bytes a pipe takes whole.
	maxWriteBytes = 4096
	// maxPendingBytes bounds what waits to be written.
	maxPendingBytes = 1 << 20
	// flushInterval bounds how late a line is written.
	flushInterval = 200 * time.Millisecond
)

// Writer writes log lines in logfmt without ever blocking who logs: lines wait
// in memory and go out once an interval. Above the bounds they are
// dropped, counted, and the count is written.
type Writer struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	pending bytes.Buffer
	second  int64
	info    int
	warn    int
	// events counts the lines of this second by event.
	events  map[any]int
	dropped int
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a handler that writes to out until Close.
func NewWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, now: now, events: make(map[any]int), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// HandleLog takes one line.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(e) {
		w.dropped++
		return nil
	}
	w.append(e)
	return nil
}

// admit reports whether the line is within the bounds of its second.
func (w *Writer) admit(e *log.Entry) bool {
	if second := e.Timestamp.Unix(); second != w.second {
		w.second, w.info, w.warn = second, 0, 0
		clear(w.events)
	}
	count := &w.info
	if e.Level >= log.WarnLevel {
		count = &w.warn
	}
	*count++
	event := e.Fields["event"]
	w.events[event]++
	return (*count <= maxLinesPerSecond || w.events[event] <= reservedPerEvent) && w.pending.Len() < maxPendingBytes
}

func (w *Writer) append(e *log.Entry) {
	b := &w.pending
	b.WriteString("time=")
	b.Write(e.Timestamp.UTC().AppendFormat(b.AvailableBuffer(), "2006-01-02T15:04:05.000Z"))
	b.WriteString(" level=")
	b.WriteString(e.Level.String())
	writeField(b, "msg", e.Message)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeField(b, name, e.Fields[name])
	}
	b.WriteByte('\n')
}

func writeField(b *bytes.Buffer, name string, value any) {
	b.WriteByte(' ')
	b.WriteString(name)
	b.WriteByte('=')
	text, ok := value.(string)
	if !ok {
		text = fmt.Sprint(value)
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\r\t") {
		b.Write(strconv.AppendQuote(b.AvailableBuffer(), text))
		return
	}
	b.WriteString(text)
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.closed:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.append(&log.Entry{
			Level: log.WarnLevel, Message: LinesDropped.Text, Timestamp: w.now(),
			Fields: log.Fields{"event": LinesDropped.Number, "lines": w.dropped},
		})
		w.dropped = 0
	}
	data := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.mu.Unlock()
	for len(data) > 0 {
		lines := data[:wholeLines(data)]
		data = data[len(lines):]
		// Nobody is left to tell of a log that cannot be written.
		_, _ = w.out.Write(lines)
	}
}

// wholeLines returns the length of the lines at the front that one write takes: at least one.
func wholeLines(data []byte) int {
	if len(data) <= maxWriteBytes {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(data, '\n') + 1
}

// Close writes what waits.
func (w *Writer) Close() {
	close(w.closed)
	<-w.done
}
