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
	// maxLinesPerSecond limits the volume of lines at level info; warnings and
	// errors together have a separate limit of the same size.
	maxLinesPerSecond = 400
	// reservedPerEvent is the number of lines per second that each event may write even
	// when other events have used up the limit: a flood of one event hides no other.
	reservedPerEvent = 20
	// maxWriteBytes limits one write: writes to a pipe are atomic up to PIPE_BUF bytes.
	maxWriteBytes = 4096
	// maxPendingBytes is the buffer size above which lines are dropped.
	maxPendingBytes = 1 << 20
	// flushInterval is the time between writes of the buffered lines.
	flushInterval = 200 * time.Millisecond
)

// Writer writes log lines in logfmt without ever blocking the code that logs:
// lines are buffered in memory and written once per flushInterval. Lines above
// the limits are dropped, and their number is logged.
type Writer struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	pending bytes.Buffer
	// second is the Unix second that info, warn and events count the lines of.
	second int64
	info   int
	warn   int
	// events counts the lines of the second by event number.
	events  map[any]int
	dropped int
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a log handler that writes to out until Close.
func NewWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, now: now, events: make(map[any]int), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// HandleLog buffers one line, or counts it as dropped.
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

// admit counts the line and reports whether it is within the limits.
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
		// There is nowhere to report that the log cannot be written.
		_, _ = w.out.Write(lines)
	}
}

// wholeLines returns the length of the whole lines at the front that fit into one write, or
// of the first line if it alone is longer.
func wholeLines(data []byte) int {
	if len(data) <= maxWriteBytes {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(data, '\n') + 1
}

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	close(w.closed)
	<-w.done
}
