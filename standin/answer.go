package standin

import (
	"strings"

	"github.com/bramleygw/bramleygw/prefix"
)

var vocabulary = strings.Fields(`platform bench ledger receipt cash round shift note bin stair lift
glass door ticket hall spill salt ice rota site key budget school month sum entry slip book box coin
paper total clean swept checked reported open closed late early north south yes no`)

// minAnswer is the shortest answer, in tokens, when the request allows it.
const minAnswer = 4

// AnswerTokens returns the pieces of the answer to a prompt: a pure function
// of model, weights version and prompt, at most maxTokens long.
func AnswerTokens(model, weights string, prompt []byte, maxTokens int) []string {
	state := uint64(prefix.Seed(model, weights, string(prompt)))
	count := minAnswer + int(state%uint64(4*minAnswer))
	count = min(count, maxTokens)
	tokens := make([]string, count)
	for i := range tokens {
		state = prefix.Mix(state + uint64(i) + 1)
		tokens[i] = vocabulary[state%uint64(len(vocabulary))] + " "
	}
	return tokens
}

// Answer returns the whole answer as text.
func Answer(model, weights string, prompt []byte, maxTokens int) string {
	return strings.Join(AnswerTokens(model, weights, prompt, maxTokens), "")
}
