package event

import (
	"fmt"
	"sort"
	"strings"

	"github.com/apex/log"
)

// series are the hundreds of numbers by subject.
var series = []struct {
	from  int
	title string
}{
	{1000, "Daemon and operators"}, {2000, "Agreement and membership"}, {3000, "Sessions and reservations"},
	{4000, "Requests and targets"}, {5000, "Jobs, shares and placement"}, {6000, "Control, capacity and maintenance"}, {7000, "Jobs of steps and their targets"},
}

// Page returns docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Generated from `internal/event` by `go run ./tools/gendocs`; a test keeps both equal.\n")
	b.WriteString("Every log line has `event=NUMBER`. Numbers are never changed or reused.\n")
	b.WriteString("Alarm on level error at once and on a warning that repeats; events of level info are the record.\n")
	events := All()
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	for _, part := range series {
		fmt.Fprintf(&b, "\n## %d: %s\n\n", part.from, part.title)
		b.WriteString("| event | level | what happened | what to do |\n|---|---|---|---|\n")
		for _, e := range events {
			if e.Number/1000 == part.from/1000 {
				fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, levelName(e.Level), e.Text, e.Action)
			}
		}
	}
	return b.String()
}

func levelName(level log.Level) string {
	switch level {
	case log.ErrorLevel:
		return "error"
	case log.WarnLevel:
		return "warning"
	}
	return "info"
}
