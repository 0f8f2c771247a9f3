package relay

import (
	"bytes"
	"strconv"
)

// eventID returns the id of an event of a stream; empty when it has none.
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

// follows reports whether an event's id comes after another one's. Ids that are
// not numbers are taken as they come.
func follows(id, former string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseUint(former, 10, 64)
	if err != nil {
		return true
	}
	return number > last
}
