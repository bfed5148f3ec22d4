// Package event defines the numbered log events. Each event has a fixed number,
// level and message; its variable parts are logged as key-value pairs.
// A test checks docs/events.md against the catalogue.
package event

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the severity of an event.
type Level string

// Levels of events.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Level   Level
	Message string
	Action  string // what an operator should do; empty if no action is needed
	Bulk    bool   // logged for each task, work, request or advice call, so that it may fill the log
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue while package variables are initialized.
// It panics if the number is already used.
func define(number int, l Level, message, action string) Event {
	if _, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event number %d is defined twice", number))
	}
	e := Event{Number: number, Level: l, Message: message, Action: action}
	catalogue[number] = e
	return e
}

// defineBulk is define for an event that is logged for each task, work, request or advice call.
func defineBulk(number int, l Level, message, action string) Event {
	e := define(number, l, message, action)
	e.Bulk = true
	catalogue[number] = e
	return e
}

// numberKey is the key of the number of the event in a log line.
const numberKey = "event"

// IsBulk reports whether the key-value pairs of a log line are those of a bulk event.
func IsBulk(keyvals []any) bool {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == numberKey {
			number, _ := keyvals[i+1].(int)
			return catalogue[number].Bulk
		}
	}
	return false
}

// Log writes the event with key-value pairs to logger.
func (e Event) Log(logger log.Logger, keyvals ...any) {
	kv := append([]any{numberKey, e.Number, "msg", e.Message}, keyvals...)
	switch e.Level {
	case Debug:
		logger = level.Debug(logger)
	case Warn:
		logger = level.Warn(logger)
	case Error:
		logger = level.Error(logger)
	default:
		logger = level.Info(logger)
	}
	_ = logger.Log(kv...) // a failing log sink must not fail the caller
}

// Catalogue returns all events sorted by number.
func Catalogue() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Markdown returns the catalogue as the table in docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| number | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Action)
	}
	return b.String()
}
