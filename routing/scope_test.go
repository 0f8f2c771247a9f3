package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against WALL in any order of changes: an account that is isolated, or was when it made
// cache entries, shares them with others. VMs have any of the last versions, and requests
// arrive under one version and are sent under a later one.
func TestIsolatedAccountsShareNoScope(t *testing.T) {
	const (
		histories = 300
		versions  = 12
		accounts  = 4
		requests  = 60
		lag       = 3 // versions by which a VM may be behind
	)
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 1))
		var tables []*Table
		makers := map[Scope][]string{} // accounts that made entries
		for version := range versions {
			config := Config{Version: int64(version)}
			for _, account := range random.Perm(accounts) {
				if random.IntN(5) > 0 { // not removed
					config.Accounts = append(config.Accounts, Account{Name: fmt.Sprint(account), Keys: []string{fmt.Sprint("k", account)}, Isolated: random.IntN(3) == 0})
				}
			}
			tables = append(tables, NewTable(config))
			for range requests {
				inForce := tables[max(0, version-random.IntN(lag)):]
				arrived, sent := inForce[0], inForce[random.IntN(len(inForce))]
				account := arrived.Account(fmt.Sprint("k", random.IntN(accounts)))
				if account == nil {
					continue // refused
				}
				scope := sent.Scope(account)
				for _, maker := range makers[scope] {
					if maker != account.Name && (sent.isolated[maker] != "" || sent.isolated[account.Name] != "") {
						t.Fatalf("seed %d, version %d: account %s uses entries of account %s in scope %q, and one of them is isolated", seed, sent.Version, account.Name, maker, scope)
					}
				}
				makers[scope] = append(makers[scope], account.Name)
			}
		}
	}
}

// VMs that have the same configuration must use the same names, whatever they had before.
func TestScopeFollowsFromTheIsolatedAccountsAlone(t *testing.T) {
	isolated := func(name string) Account { return Account{Name: name, Isolated: true} }
	table := func(accounts ...Account) *Table { return NewTable(Config{Accounts: accounts}) }
	shared := Account{Name: "s"}
	first := table(isolated("a"), shared, isolated("b"))
	for _, test := range []struct {
		name  string
		other *Table
		want  bool // the same scope
	}{
		{"another order", table(isolated("b"), isolated("a"), shared), true},
		{"further accounts", table(isolated("a"), isolated("b"), shared, Account{Name: "t"}), true},
		{"two entries of an account", table(isolated("a"), isolated("b"), shared, Account{Name: "b"}), true},
		{"one of them alone", table(isolated("a"), shared), false},
		{"another one", table(isolated("a"), isolated("c"), shared), false},
		{"names that run together", table(isolated(`a"b`), shared), false},
		{"none", table(shared), false},
	} {
		if got := first.Scope(&shared) == test.other.Scope(&shared); got != test.want {
			t.Errorf("%s: got the same scope: %t, want %t", test.name, got, test.want)
		}
	}
	if got := table(shared).Scope(&shared); got != "" {
		t.Errorf("got scope %q without isolated accounts, want none", got)
	}
	unnamed := isolated("")
	if got := table(unnamed, shared).Scope(&unnamed); got == "" || got == table(unnamed, shared).Scope(&shared) {
		t.Errorf("got scope %q for an isolated account without a name, want one of its own", got)
	}
}
