package target

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRest bounds the rest that a target can ask for. A target that asked for longer is
// sent one request then, which it may turn away again: it does not stay out of use
// because of one wrong header.
const maxRest = time.Minute

// ParseRest returns the end of the rest that the values of a Retry-After header ask
// for, or zero if none of them does; the longest counts. Values are seconds and may be
// fractional. Zero, negative numbers, dates and other texts ask for no rest, and rests
// are limited to maxRest. problem is the first value that was not used as it is, and
// empty if there is none.
func ParseRest(values []string, now time.Time) (until time.Time, problem string) {
	longest := time.Duration(0)
	for _, value := range values {
		length, ok := parseRestLength(value)
		if !ok && problem == "" {
			problem = quote(value)
		}
		longest = max(longest, length)
	}
	if longest == 0 {
		return time.Time{}, problem
	}
	return now.Add(longest), problem
}

// parseRestLength returns the rest that a value asks for, and whether the value is
// used as it is.
func parseRestLength(value string) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") != "" {
		return 0, false // also signs, exponents, "Inf" and "NaN"
	}
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange): // the range error comes with +Inf
		return 0, false
	case seconds <= 0:
		return 0, false
	case seconds > maxRest.Seconds():
		return maxRest, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// maxLoggedValue is the length to which a header value is cut in the log.
const maxLoggedValue = 40

func quote(value string) string {
	return strconv.Quote(value[:min(len(value), maxLoggedValue)])
}
