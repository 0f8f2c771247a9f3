package relay

import "testing"

// A KV cache store holds only the entries of the last few seconds. Prompts whose
// unshared parts would take most of its space must not be saved.
func TestWorthSaving(t *testing.T) {
	shared := []Part{{ID: "top", Tokens: 500}, {ID: "school", Tokens: 4500}}
	for _, test := range []struct {
		name     string
		unshared int
		parts    []Part
		want     bool
	}{
		{"mostly shared", 1000, shared, true},
		{"as much unshared as shared", 5000, shared, true},
		{"long unshared part", 20_000, shared, false},
		{"nothing shared", 1000, nil, false},
	} {
		prompt := &Prompt{Input: test.unshared, Parts: append(append([]Part(nil), test.parts...), Part{ID: "own", Tokens: test.unshared})}
		for _, part := range test.parts {
			prompt.Input += part.Tokens
		}
		if got := prompt.worthSaving(); got != test.want {
			t.Errorf("%s: got saved %t, want %t", test.name, got, test.want)
		}
	}
}
