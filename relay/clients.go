package relay

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/target"
)

// Clients holds a client for each target. It is safe for concurrent use.
type Clients struct {
	// OnOpen, if set, is called after each connection that was opened. It is set before
	// the first call of Get.
	OnOpen func(target.Cause)
	// OnMismatch, if set, is called for each answer of a target that was discarded because
	// it carries the ID of another request. It is set before the first call of Get.
	OnMismatch func(id string, mismatch target.Mismatch)

	dialect target.Dialect

	mu      sync.Mutex // guards clients
	clients map[string]*target.Client
}

// NewClients returns an empty set whose clients use the dialect.
func NewClients(dialect target.Dialect) *Clients {
	return &Clients{dialect: dialect, clients: map[string]*target.Client{}}
}

// Get returns the client for the target with the ID and address. If the address of
// a known target changed, the old client is closed and replaced.
func (clients *Clients) Get(id string, address netip.AddrPort) *target.Client {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	existing, ok := clients.clients[id]
	if ok && existing.Address() == address {
		return existing
	}
	if ok {
		existing.Close()
	}
	created := target.NewWithDialect(address, clients.dialect)
	created.OnOpen = clients.OnOpen
	if clients.OnMismatch != nil {
		created.OnMismatch = func(mismatch target.Mismatch) { clients.OnMismatch(id, mismatch) }
	}
	clients.clients[id] = created
	return created
}

// CloseExpired closes the idle connections, to the targets for which applies returns
// true, that are older than the target's Keep-Alive allows.
func (clients *Clients) CloseExpired(applies func(id string) bool, now time.Time) {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for id, client := range clients.clients {
		if applies(id) {
			client.CloseExpired(now)
		}
	}
}

// Retain closes and removes the clients of targets for which keep returns false.
func (clients *Clients) Retain(keep func(id string) bool) {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for id, client := range clients.clients {
		if !keep(id) {
			client.Close()
			delete(clients.clients, id)
		}
	}
}
