// Package event defines the catalogue of numbered log events and the logger
// that writes them.
//
// Each event has a number that never changes, a level, a meaning and a remedy.
// "bramleygw events" generates docs/EVENTS.md from the catalogue, and a test
// checks that the two are equal.
//
// # Usage
//
//	log := event.New(os.Stderr, "vm-1", event.LevelInfo)
//	log.Emit(event.PlatformDown, event.Err(err))
package event

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/sirupsen/logrus"
)

// Level is the severity of an event.
type Level = logrus.Level

// The levels in use.
const (
	LevelError = logrus.ErrorLevel
	LevelWarn  = logrus.WarnLevel
	LevelInfo  = logrus.InfoLevel
	LevelDebug = logrus.DebugLevel
)

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
	Remedy  string
}

// Field is one named value of a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a field with the given name and value.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Err returns the field "error" with the message of err.
func Err(err error) Field {
	return Field{Name: "error", Value: err.Error()}
}

// Log writes events as JSON lines. A nil Log discards them.
type Log struct {
	entry *logrus.Entry
}

// timeFormat has milliseconds, because many lines are written in one second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a log that writes to w for the VM with the given name.
func New(w io.Writer, vm string, level Level) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Log{entry: logger.WithField("vm", vm)}
}

// ParseLevel returns the level with the given name.
func ParseLevel(name string) (Level, error) {
	return logrus.ParseLevel(name)
}

// Emit writes one event with the given fields.
func (log *Log) Emit(event Event, fields ...Field) {
	if log == nil || !log.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	values := logrus.Fields{"event": event.Number, "event_name": event.Name}
	for _, field := range fields {
		values[field.Name] = field.Value
	}
	log.entry.WithFields(values).Log(event.Level, event.Meaning)
}

// All returns the catalogue ordered by number.
func All() []Event {
	events := append([]Event(nil), catalogue...)
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Markdown returns the text of docs/EVENTS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Log events\n\nPrinted by `bramleygw events`. Numbers never change meaning.\n\n")
	text.WriteString("| number | name | level | meaning | remedy |\n|---|---|---|---|---|\n")
	for _, event := range All() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning, event.Remedy)
	}
	return text.String()
}
