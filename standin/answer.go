package standin

import (
	"strings"

	"github.com/bramleygw/bramleygw/prefix"
)

var vocabulary = strings.Fields(`platform bench ledger receipt cash round shift note bin stair lift
glass door ticket hall spill salt ice rota site key budget school month sum entry slip book box coin
paper total clean swept checked reported open closed late early north south yes no`)

// minAnswer is the minimum length of an answer, in tokens, unless the request
// sets a lower maximum.
const minAnswer = 4

// AnswerTokens returns the tokens of the answer to a prompt, at most maxTokens.
// The answer depends only on the model, the weights version and the prompt.
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

// Answer returns the complete answer as text; see AnswerTokens.
func Answer(model, weights string, prompt []byte, maxTokens int) string {
	return strings.Join(AnswerTokens(model, weights, prompt, maxTokens), "")
}
