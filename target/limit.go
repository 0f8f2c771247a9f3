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
	return parseLowest(values, minLimit)
}

// minTolerance is the lowest number of rejections a second that is used. A target that
// bears none is as brittle as one that names this number.
const minTolerance = 0.5

// ParseTolerance returns the rejections a second that a target bears by the values of a
// header. It is like ParseLimit.
func ParseTolerance(values []string) (tolerance float64, problem string) {
	return parseLowest(values, minTolerance)
}

// parseLowest returns the lowest number that the values name, but at least the given one.
func parseLowest(values []string, least float64) (lowest float64, problem string) {
	for _, value := range values {
		named, ok := parseAtLeast(value, least)
		if !ok && problem == "" {
			problem = quote(value)
		}
		if named > 0 && (lowest == 0 || named < lowest) {
			lowest = named
		}
	}
	return lowest, problem
}

// parseAtLeast returns the number that a value names, and whether the value is used as it
// is.
func parseAtLeast(value string, least float64) (float64, bool) {
	value = strings.TrimSpace(value)
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false // also signs, exponents, "Inf" and "NaN"
	}
	number, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil:
		return 0, false
	case number < least:
		return least, false
	}
	return number, true
}
