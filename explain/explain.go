// Package explain tells the story of one request from the logs of several VMs.
//
// It reads JSON lines as package event writes them, each alone or behind a prefix
// such as a time and a VM's name, and keeps those that name the request. Of each
// VM that had the request it adds what the VM had last logged of itself before:
// its start, its configuration, its weights, whether it reached the platform.
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
	// Belief is set for lines that tell of the VM, not of the request.
	Belief bool

	number float64
}

// Story is the lines about one request, in order.
type Story []Line

// started is the event with which a process begins.
const started = "started"

// beliefs are the events that tell what a VM goes by.
var beliefs = map[string]bool{
	started: true, "draining": true, "config_applied": true, "weights_named": true, "platform_down": true, "platform_up": true,
}

// shown are the members that have a place of their own in a Line.
var shown = map[string]bool{"event": true, "event_name": true, "level": true, "msg": true, "time": true, "vm": true, "request": true}

// Read returns the lines of the logs that name the request.
func Read(logs io.Reader, id string) (Story, error) {
	var story Story
	before := map[string]map[string]Line{} // beliefs by VM and event
	met := map[string]bool{}               // VMs that had the request
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, ok := parse(lines.Bytes(), id)
		switch {
		case !ok || line.Belief && met[line.VM]:
			continue
		case line.Belief:
			if before[line.VM] == nil || line.Event == started { // a new process knows nothing
				before[line.VM] = map[string]Line{}
			}
			before[line.VM][line.Event] = line
			continue
		case !met[line.VM]:
			met[line.VM] = true
			for _, belief := range before[line.VM] {
				if belief.less(line) {
					story = append(story, belief)
				}
			}
		}
		story = append(story, line)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if len(met) == 0 {
		return nil, ErrNotFound
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].less(story[j]) })
	return story, nil
}

// less reports whether the line was written before another one.
func (line Line) less(other Line) bool {
	if line.number != other.number {
		return line.number < other.number
	}
	return line.Order < other.Order
}

// parse reads one line; false when it neither names the request nor tells a
// belief.
func parse(text []byte, id string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var members map[string]any
	if json.Unmarshal(text[start:], &members) != nil {
		return Line{}, false
	}
	belief := beliefs[member(members, "event_name")]
	if members["request"] != id && !belief {
		return Line{}, false
	}
	line := Line{VM: member(members, "vm"), Event: member(members, "event_name"), Meaning: member(members, "msg"), Order: member(members, "time"), Belief: belief}
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
		mark := ""
		if line.Belief {
			mark = "(before) "
		}
		fmt.Fprintf(&text, "%s  %s  %s%s: %s\n", line.Order, line.VM, mark, line.Event, line.Meaning)
		if len(line.Fields) > 0 {
			fmt.Fprintf(&text, "        %s\n", strings.Join(line.Fields, "  "))
		}
	}
	return text.String()
}
