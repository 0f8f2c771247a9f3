package relay

import (
	"bytes"
	"strconv"
)

// eventID returns the ID of a stream event, or an empty string if it has none.
func eventID(text []byte) string {
	for len(text) > 0 {
		line := text
		if end := bytes.IndexAny(text, "\r\n"); end >= 0 {
			line, text = text[:end], text[end+1:]
		} else {
			text = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isComment reports whether an event consists of comments alone.
func isComment(text []byte) bool {
	for line := range bytes.FieldsFuncSeq(text, func(char rune) bool { return char == '\r' || char == '\n' }) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// isAfter reports whether an event's ID is greater than the previous one. IDs that
// are not numbers are not compared and count as in order.
func isAfter(id, previous string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	previousNumber, err := strconv.ParseUint(previous, 10, 64)
	if err != nil {
		return true
	}
	return number > previousNumber
}
