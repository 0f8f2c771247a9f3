// Package explain tells the story of one request from the logs of several VMs.
//
// It reads JSON lines as package event writes them, each alone or behind a prefix
// such as a time and a VM's name, and keeps those that name the request.
//
// # Usage
//
//	story, err := explain.Read(os.Stdin, "9c41d07be2a35f68")
//	fmt.Print(story)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNotFound is returned when no line names the request.
var ErrNotFound = errors.New("no line names this request; give the logs of all VMs, and check the id")

// maxLine bounds a line of a log.
const maxLine = 1 << 20 // bytes

// Line is one log line about the request.
type Line struct {
	// Order is the number before the line, when there is one; the time otherwise.
	Order string
	VM    string
	Event string
	// Meaning is what the event says, and Fields what it adds, ordered by name.
	Meaning string
	Fields  []string

	number float64
}

// Story is the lines about one request, in order.
type Story []Line

// shown are the members that have a place of their own in a Line.
var shown = map[string]bool{"event": true, "event_name": true, "level": true, "msg": true, "time": true, "vm": true, "request": true}

// Read returns the lines of the logs that name the request.
func Read(logs io.Reader, id string) (Story, error) {
	var story Story
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if line, ok := parse(lines.Bytes(), id); ok {
			story = append(story, line)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if len(story) == 0 {
		return nil, ErrNotFound
	}
	sort.SliceStable(story, func(i, j int) bool {
		if story[i].number != story[j].number {
			return story[i].number < story[j].number
		}
		return story[i].Order < story[j].Order
	})
	return story, nil
}

// parse reads one line; false when it does not name the request.
func parse(text []byte, id string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(id)) {
		return Line{}, false
	}
	var members map[string]any
	if json.Unmarshal(text[start:], &members) != nil || members["request"] != id {
		return Line{}, false
	}
	line := Line{VM: member(members, "vm"), Event: member(members, "event_name"), Meaning: member(members, "msg"), Order: member(members, "time")}
	if before := strings.Fields(string(text[:start])); len(before) > 0 {
		if number, err := strconv.ParseFloat(before[0], 64); err == nil {
			line.Order, line.number = before[0], number
		}
	}
	for name := range members {
		if !shown[name] {
			line.Fields = append(line.Fields, name+"="+member(members, name))
		}
	}
	sort.Strings(line.Fields)
	return line, true
}

func member(members map[string]any, name string) string {
	switch value := members[name].(type) {
	case nil:
		return ""
	case string:
		return value
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	default:
		return fmt.Sprint(value)
	}
}

// String returns a line for each step and what it adds below it.
func (story Story) String() string {
	var text strings.Builder
	for _, line := range story {
		fmt.Fprintf(&text, "%s  %s  %s: %s\n", line.Order, line.VM, line.Event, line.Meaning)
		if len(line.Fields) > 0 {
			fmt.Fprintf(&text, "        %s\n", strings.Join(line.Fields, "  "))
		}
	}
	return text.String()
}
