package bench

import (
	"encoding/json"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
)

func account(name string, rate, share float64, contexts int, models ...string) Account {
	return Account{
		Account:  catalog.Account{Name: name, Rate: rate, Burst: 4 * rate},
		Models:   models,
		Share:    share,
		Contexts: contexts,
	}
}

// signOffs is the route to a service whose calls must run at most once.
var signOffs = catalog.Route{Name: "signoffs", Path: "/signoffs/", Service: "signoffs", Tokens: 1}

// rotas is the route to a service whose calls may be retried.
var rotas = catalog.Route{Name: "rotas", Path: "/rotas/", Service: "rotas", Idempotent: true, Open: true}

// Trentside returns the fleet of Trentside, the station cleaners.
func Trentside() Layout {
	return Layout{
		VMs:   6,
		Zones: []string{"a", "b", "c", "d"},
		Models: []Model{
			{Name: "round-summary", Engines: 9, CommonBlocks: 2, ContextBlocks: 5, RequestBytes: 2500, MaxTokens: 64},
			{Name: "handset", Engines: 4, Interactive: true, CommonBlocks: 1, ContextBlocks: 1, RequestBytes: 600, MaxTokens: 16},
		},
		Accounts: []Account{
			account("trentside-east", 350_000, 0.35, 14, "round-summary", "handset"),
			account("trentside-west", 350_000, 0.30, 14, "round-summary", "handset"),
			account("trentside-night", 200_000, 0.15, 8, "round-summary", "handset"),
			account("trentside-depots", 150_000, 0.12, 6, "round-summary", "handset"),
			account("trentside-trial", 100_000, 0.08, 4, "round-summary", "handset"),
		},
		Services:     []string{"signoffs", "rotas"},
		Routes:       []catalog.Route{signOffs, rotas},
		EngineBlocks: 48,
	}
}

// Demonstration returns a smaller fleet that serves both deployments, Trentside and
// Kasetne.
func Demonstration() Layout {
	return Layout{
		VMs:   3,
		Zones: []string{"a", "b"},
		Models: []Model{
			{Name: "round-summary", Engines: 2, CommonBlocks: 2, ContextBlocks: 4, RequestBytes: 2000, MaxTokens: 64},
			{Name: "handset", Engines: 1, Interactive: true, CommonBlocks: 1, ContextBlocks: 1, RequestBytes: 500, MaxTokens: 16},
			{Name: "ledger-assistant", Engines: 2, CommonBlocks: 2, ContextBlocks: 3, RequestBytes: 1500, MaxTokens: 64},
			{Name: "cash", Engines: 1, Interactive: true, CommonBlocks: 1, ContextBlocks: 1, RequestBytes: 400, MaxTokens: 16},
		},
		Accounts: []Account{
			account("trentside-east", 300_000, 0.3, 5, "round-summary", "handset"),
			account("trentside-west", 300_000, 0.2, 5, "round-summary", "handset"),
			account("kasetne-riga", 250_000, 0.3, 5, "ledger-assistant", "cash"),
			account("kasetne-liepaja", 250_000, 0.2, 5, "ledger-assistant", "cash"),
		},
		Services:     []string{"signoffs", "rotas"},
		Routes:       []catalog.Route{signOffs, rotas},
		EngineBlocks: 96,
	}
}

// Small returns a fleet for tests of single faults: one model with a shared prefix
// of two blocks, and slow engines, so that requests are in flight when a fault
// occurs.
func Small(engines int) Layout {
	return Layout{
		VMs:      3,
		Zones:    []string{"a", "b"},
		Models:   []Model{{Name: "ledger", Engines: engines, CommonBlocks: 1, ContextBlocks: 1, RequestBytes: 200, MaxTokens: 48}},
		Accounts: []Account{account("school", 1_000_000, 1, 4, "ledger"), account("other", 1_000_000, 0, 4, "ledger")},
		Services: []string{"signoffs", "rotas"},
		Routes:   []catalog.Route{signOffs, rotas},
		Decode:   20 * time.Millisecond,
	}
}

// Chat returns the body of a chat request with one message.
func Chat(model, content string, maxTokens int, stream bool) []byte {
	body := chatBody{Model: model, MaxTokens: maxTokens, Stream: stream, Messages: []chatMessage{{Role: "user", Content: content}}}
	text, _ := json.Marshal(body) // plain values: cannot fail
	return text
}
