package target

import (
	"strconv"
	"strings"
)

// minLimit is the lowest limit, in requests a second, that is used. A target that names
// a lower one is still asked now and then, or its limit would never be known to be over.
const minLimit = 0.05

// ParseLimit returns the limit that the values of a header name, in requests a second,
// or 0 if none of them does; the lowest counts. Values are decimal numbers; negative
// numbers and other texts name no limit. problem is the first value that was not used as
// it is, and empty if there is none.
func ParseLimit(values []string) (limit float64, problem string) {
	for _, value := range values {
		named, ok := parseLimitValue(value)
		if !ok && problem == "" {
			problem = quote(value)
		}
		if named > 0 && (limit == 0 || named < limit) {
			limit = named
		}
	}
	return limit, problem
}

// parseLimitValue returns the limit that a value names, and whether the value is used as
// it is.
func parseLimitValue(value string) (float64, bool) {
	value = strings.TrimSpace(value)
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false // also signs, exponents, "Inf" and "NaN"
	}
	number, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil:
		return 0, false
	case number < minLimit:
		return minLimit, false
	}
	return number, true
}
