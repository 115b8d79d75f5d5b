package event

import (
	"fmt"
	"sort"
	"strings"

	"github.com/apex/log"
)

// sections are the sections of the page, one per thousand of event numbers.
var sections = []struct {
	from  int
	title string
}{
	{1000, "Daemon and operators"}, {2000, "Consensus and membership"}, {3000, "Sessions and reservations"},
	{4000, "Requests and targets"}, {5000, "Jobs, shares and placement"}, {6000, "Control, capacity and maintenance"}, {7000, "Jobs with steps and their targets"},
}

// Page returns the text of docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Generated from `internal/event` by `go run ./tools/gendocs`; a test checks that it is up to date.\n")
	b.WriteString("Every log line has `event=NUMBER`. Numbers are never changed or reused.\n")
	b.WriteString("Raise an alarm on every event of level error and on a warning that repeats; events of level info are for the record only.\n")
	events := All()
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	for _, section := range sections {
		fmt.Fprintf(&b, "\n## %d: %s\n\n", section.from, section.title)
		b.WriteString("| event | level | what happened | what to do |\n|---|---|---|---|\n")
		for _, e := range events {
			if e.Number/1000 == section.from/1000 {
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
