package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/url"
	"slices"
	"strconv"
)

// Scope names the part of the KV caches that an account uses. Requests of different scopes
// share no cache entries. It contains no slash.
type Scope string

// The prefixes keep the names of accounts and digests apart, whatever accounts are called.
const (
	accountScopePrefix = "account:"
	commonScopePrefix  = "others:"
)

// Scope returns the scope in which requests of an account are sent under this configuration.
// The account is that of the request when it arrived, nil if it had none, and may come from an
// earlier configuration. An account that was isolated then or is now, or that no longer
// exists, shares nothing.
func (table *Table) Scope(account *Account) Scope {
	if account == nil {
		return table.commonScope
	}
	if scope, ok := table.isolated[account.Name]; ok {
		return scope
	}
	if account.Isolated || table.accountsByName[account.Name] == nil {
		return accountScope(account.Name)
	}
	return table.commonScope
}

// accountScope returns the scope that an account does not share.
func accountScope(name string) Scope {
	return Scope(accountScopePrefix + url.PathEscape(name))
}

// IsolatedAccounts returns the number of isolated accounts.
func (table *Table) IsolatedAccounts() int {
	return len(table.isolated)
}

// commonScope returns the scope of the accounts that are not isolated. It names those that are,
// so that no entry in it comes from one of them, whatever they were before. It is empty if
// no account is isolated.
func commonScope(isolated map[string]Scope) Scope {
	if len(isolated) == 0 {
		return ""
	}
	hash := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		hash.Write([]byte(strconv.Quote(name)))
	}
	return Scope(commonScopePrefix + hex.EncodeToString(hash.Sum(nil)[:commonScopeBytes]))
}

// commonScopeBytes is the length of the digest of the isolated accounts, in bytes.
const commonScopeBytes = 16
