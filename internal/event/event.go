// Package event writes numbered log events. docs/EVENTS.md is the catalogue;
// a test keeps both equal.
package event

import (
	"github.com/apex/log"
)

// Event is one kind of log event.
type Event struct {
	// Number never changes and is never reused.
	Number int
	Level  log.Level
	// Text says what happened.
	Text string
	// Action says what an operator does about it, if anything.
	Action string
}

// Field is a named value of one event.
type Field struct {
	Name  string
	Value any
}

// F makes a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Err makes the field "error".
func Err(err error) Field { return Field{Name: "error", Value: err.Error()} }

var catalogue []Event

// All returns the catalogue by number.
func All() []Event { return append([]Event(nil), catalogue...) }

func define(number int, level log.Level, text, action string) Event {
	e := Event{Number: number, Level: level, Text: text, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// Emit writes the event to the log.
func (e Event) Emit(fields ...Field) {
	values := make(log.Fields, len(fields)+1)
	values["event"] = e.Number
	for _, field := range fields {
		values[field.Name] = field.Value
	}
	entry := log.WithFields(values)
	switch e.Level {
	case log.ErrorLevel:
		entry.Error(e.Text)
	case log.WarnLevel:
		entry.Warn(e.Text)
	default:
		entry.Info(e.Text)
	}
}
