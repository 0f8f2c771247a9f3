// Package explain reconstructs the timeline of one request from the logs of
// several VMs.
//
// It reads JSON lines as package event writes them, each optionally preceded by a
// prefix such as a time and a VM's name, and selects those that name the request.
// For each VM that handled the request it adds the VM's state before the request,
// as last logged: its start, its configuration, its weights, whether it could
// reach the platform.
//
// # Usage
//
//	timeline, err := explain.Read(os.Stdin, "9c41d07be2a35f68")
//	fmt.Print(timeline)
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about the request or about a VM that handled it.
type Line struct {
	// Order is the number that precedes the JSON object, or the time in the line
	// if there is no such number.
	Order string
	VM    string
	Event string
	// Meaning is the event's message. Fields holds the other fields of the line as
	// NAME=VALUE, sorted by name.
	Meaning string
	Fields  []string
	// VMState is set for lines that report the state of the VM, not of the request.
	VMState bool

	number float64 // the number that precedes the JSON object; 0 without one
}

// Timeline is the log lines about one request, in order.
type Timeline []Line

// started is the event that a process logs when it starts.
const started = "started"

// vmStateEvents are the events that report the state of a VM.
var vmStateEvents = map[string]bool{
	started: true, "draining": true, "config_applied": true, "weights_named": true, "platform_down": true, "platform_up": true,
}

// lineMembers are the members of a log line that Line.Fields leaves out.
var lineMembers = map[string]bool{"event": true, "event_name": true, "level": true, "msg": true, "time": true, "vm": true, "request": true}

// Read returns the timeline of the request with the given id: the lines of logs
// that name it, and for each VM that handled it the state that the VM had logged
// before. It returns ErrNotFound if no line names the request.
func Read(logs io.Reader, id string) (Timeline, error) {
	var timeline Timeline
	states := map[string]map[string]Line{} // latest state lines by VM and event
	handled := map[string]bool{}           // VMs that handled the request
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parse(lines.Bytes(), id)
		switch {
		case !ok || line.VMState && handled[line.VM]:
			continue
		case line.VMState:
			if states[line.VM] == nil || line.Event == started { // a new process has no earlier state
				states[line.VM] = map[string]Line{}
			}
			states[line.VM][line.Event] = line
			continue
		case !handled[line.VM]:
			handled[line.VM] = true
			for _, state := range states[line.VM] {
				if state.less(line) {
					timeline = append(timeline, state)
				}
			}
		}
		timeline = append(timeline, line)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if len(handled) == 0 {
		return nil, ErrNotFound
	}
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].less(timeline[j]) })
	return timeline, nil
}

// less reports whether line was written before other.
func (line Line) less(other Line) bool {
	if line.number != other.number {
		return line.number < other.number
	}
	return line.Order < other.Order
}

// parse decodes one log line, which may have a prefix. It returns false if the line
// neither names the request nor reports the state of a VM.
func parse(text []byte, id string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var members map[string]any
	if json.Unmarshal(text[start:], &members) != nil {
		return Line{}, false
	}
	vmState := vmStateEvents[member(members, "event_name")]
	if members["request"] != id && !vmState {
		return Line{}, false
	}
	line := Line{VM: member(members, "vm"), Event: member(members, "event_name"), Meaning: member(members, "msg"), Order: member(members, "time"), VMState: vmState}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		if number, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			line.Order, line.number = prefix[0], number
		}
	}
	for name := range members {
		if !lineMembers[name] {
			line.Fields = append(line.Fields, name+"="+member(members, name))
		}
	}
	sort.Strings(line.Fields)
	return line, true
}

// member returns the text of a member, empty if it is absent.
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

// String formats each line of the timeline as one row, with its fields on a
// second, indented row.
func (timeline Timeline) String() string {
	var text strings.Builder
	for _, line := range timeline {
		mark := ""
		if line.VMState {
			mark = "(before) "
		}
		fmt.Fprintf(&text, "%s  %s  %s%s: %s\n", line.Order, line.VM, mark, line.Event, line.Meaning)
		if len(line.Fields) > 0 {
			fmt.Fprintf(&text, "        %s\n", strings.Join(line.Fields, "  "))
		}
	}
	return text.String()
}
