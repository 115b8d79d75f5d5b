// Package event defines and writes numbered log events. docs/EVENTS.md lists
// them; a test checks that it matches the catalogue.
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
	// Action says what an operator should do about it; empty if nothing.
	Action string
}

// Field is a named value of one event.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Err returns the field "error".
func Err(err error) Field { return Field{Name: "error", Value: err.Error()} }

// catalogue holds the defined events.
var catalogue []Event

// All returns all defined events, in the order of their definition.
func All() []Event { return append([]Event(nil), catalogue...) }

// define adds an event to the catalogue.
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
