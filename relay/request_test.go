package relay

import "testing"

// The pattern: a store of KV cache that holds what comes in a few seconds, and
// prompts whose own parts would take most of its room.
func TestOnlyPromptsThatOthersShareAreSaved(t *testing.T) {
	shared := []Part{{ID: "top", Tokens: 500}, {ID: "school", Tokens: 4500}}
	for _, test := range []struct {
		name  string
		own   int
		parts []Part
		want  bool
	}{
		{"mostly shared", 1000, shared, true},
		{"as much own as shared", 5000, shared, true},
		{"a long own part", 20_000, shared, false},
		{"nothing shared", 1000, nil, false},
	} {
		prompt := &Prompt{Input: test.own, Parts: append(append([]Part(nil), test.parts...), Part{ID: "own", Tokens: test.own})}
		for _, part := range test.parts {
			prompt.Input += part.Tokens
		}
		if got := prompt.worthSaving(); got != test.want {
			t.Errorf("%s: got saved %t, want %t", test.name, got, test.want)
		}
	}
}
