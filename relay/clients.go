package relay

import (
	"net/netip"
	"sync"

	"github.com/bramleygw/bramleygw/target"
)

// Clients holds a client for each target. It is safe for concurrent use.
type Clients struct {
	dialect target.Dialect

	mu      sync.Mutex // guards clients
	clients map[string]*target.Client
}

// NewClients returns an empty set that speaks the dialect.
func NewClients(dialect target.Dialect) *Clients {
	return &Clients{dialect: dialect, clients: map[string]*target.Client{}}
}

// Get returns the client of the target with the id at the address.
func (clients *Clients) Get(id string, address netip.AddrPort) *target.Client {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	known, ok := clients.clients[id]
	if ok && known.Address() == address {
		return known
	}
	if ok {
		known.Close()
	}
	created := target.NewWith(address, clients.dialect)
	clients.clients[id] = created
	return created
}

// Retain closes the idle connections to targets that keep does not name.
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
