package target

import "testing"

func TestParseLimit(t *testing.T) {
	for _, test := range []struct {
		values  []string
		limit   float64
		problem bool
	}{
		{nil, 0, false},
		{[]string{"3.3"}, 3.3, false},
		{[]string{" 20 "}, 20, false},
		{[]string{"7", "2.5", "9"}, 2.5, false},
		{[]string{"0"}, minLimit, true},
		{[]string{"0.0001"}, minLimit, true},
		{[]string{"-3"}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{"Inf"}, 0, true},
		{[]string{"1e9"}, 0, true},
		{[]string{"1.2.3"}, 0, true},
		{[]string{"few"}, 0, true},
		{[]string{""}, 0, true},
		{[]string{"few", "4"}, 4, true},
	} {
		limit, problem := ParseLimit(test.values)
		if limit != test.limit || (problem != "") != test.problem {
			t.Errorf("%q: got %v, problem %q, want %v, problem %t", test.values, limit, problem, test.limit, test.problem)
		}
	}
}

func TestParseTolerance(t *testing.T) {
	for _, test := range []struct {
		values    []string
		tolerance float64
		problem   bool
	}{
		{nil, 0, false},
		{[]string{"7", "3"}, 3, false},
		{[]string{"0"}, minTolerance, true},
		{[]string{"-1"}, 0, true},
		{[]string{"yes"}, 0, true},
	} {
		tolerance, problem := ParseTolerance(test.values)
		if tolerance != test.tolerance || (problem != "") != test.problem {
			t.Errorf("%q: got %v, problem %q, want %v, problem %t", test.values, tolerance, problem, test.tolerance, test.problem)
		}
	}
}
