package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/bramleygw/bramleygw/prefix"
)

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

var words = []string{
	"platform", "bench", "litter", "ledger", "receipt", "stairs", "lift", "glass", "ticket", "hall", "salt", "rota",
	"school", "month", "total", "slip", "cash", "paper", "swept", "checked", "reported", "closed", "early", "north",
}

// text returns a text of the given length that depends only on the seed.
func text(bytes int, seed uint64) string {
	buffer := make([]byte, 0, bytes+16)
	for state := prefix.Mix(seed + 1); len(buffer) < bytes; state = prefix.Mix(state + 1) {
		buffer = append(buffer, words[state%uint64(len(words))]...)
		buffer = append(buffer, ' ')
	}
	return string(buffer[:bytes])
}

// prompts generates requests with nested shared prefixes.
type prompts struct {
	random       *rand.Rand
	layout       Layout
	commonTexts  map[string]string // by account and model
	contextTexts map[string]string // by account, model and context
	// popularityOffset shifts which contexts are popular.
	popularityOffset int
	// generation is part of the key of each context: a new value replaces the texts
	// of all contexts.
	generation int
	zipf       map[int]*rand.Zipf
}

func newPrompts(layout Layout, seed uint64) *prompts {
	return &prompts{
		random: rand.New(rand.NewPCG(seed, 1)), layout: layout,
		commonTexts: map[string]string{}, contextTexts: map[string]string{}, zipf: map[int]*rand.Zipf{},
	}
}

// request is one request of the load. cost is the number of tokens charged for it:
// those of the prompt and the maximum of the answer.
type request struct {
	account *Account
	model   *Model
	body    []byte
	cost    float64
}

const (
	// blockTextBytes is the length of the text of a shared level, per block. The
	// level also holds a role, so that it ends near a block border.
	blockTextBytes = prefix.BlockBytes
	zipfSkew       = 1.2
)

func (prompts *prompts) pickAccount() *Account {
	draw := prompts.random.Float64()
	for i := range prompts.layout.Accounts {
		account := &prompts.layout.Accounts[i]
		if draw -= account.Share; draw < 0 {
			return account
		}
	}
	return &prompts.layout.Accounts[0]
}

func (prompts *prompts) pickModel(account *Account) *Model {
	name := account.Models[prompts.random.IntN(len(account.Models))]
	for i := range prompts.layout.Models {
		if prompts.layout.Models[i].Name == name {
			return &prompts.layout.Models[i]
		}
	}
	return &prompts.layout.Models[0]
}

// context picks one of an account's contexts by a Zipf distribution, so that a few
// are popular.
func (prompts *prompts) context(account *Account) int {
	zipf, ok := prompts.zipf[account.Contexts]
	if !ok {
		zipf = rand.NewZipf(prompts.random, zipfSkew, 2, uint64(account.Contexts-1))
		prompts.zipf[account.Contexts] = zipf
	}
	return (int(zipf.Uint64()) + prompts.popularityOffset) % account.Contexts
}

func cachedText(texts map[string]string, key string, bytes int) string {
	found, ok := texts[key]
	if !ok {
		found = text(bytes, prefix.Digest(key))
		texts[key] = found
	}
	return found
}

// newRequest returns the next request of an account. If the account is nil, one is
// picked at random by its share.
func (prompts *prompts) newRequest(account *Account, streamed bool) request {
	if account == nil {
		account = prompts.pickAccount()
	}
	model := prompts.pickModel(account)
	contextKey := fmt.Sprintf("%s/%s/%d/%d", account.Name, model.Name, prompts.context(account), prompts.generation)
	body := chatBody{
		Model: model.Name, MaxTokens: model.MaxTokens, Stream: streamed,
		Messages: []chatMessage{
			{Role: "system", Content: cachedText(prompts.commonTexts, account.Name+model.Name, model.CommonBlocks*blockTextBytes)},
			{Role: "system", Content: cachedText(prompts.contextTexts, contextKey, model.ContextBlocks*blockTextBytes)},
			{Role: "user", Content: text(model.RequestBytes/2+prompts.random.IntN(model.RequestBytes), prompts.random.Uint64())},
		},
	}
	encoded, _ := json.Marshal(body) // plain values: cannot fail
	length := 0
	for _, message := range body.Messages {
		length += len(message.Role) + len(message.Content) + 2
	}
	return request{account: account, model: model, body: encoded, cost: float64(prefix.Tokens(length) + model.MaxTokens)}
}
