package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
)

const (
	keyBytes  = 32
	keyPrefix = "bgw-"
)

// issueRequest is the request body for issuing a key.
type issueRequest struct {
	Name    string `json:"name"`
	Account string `json:"account"`
}

// IssuedKey is the response to issuing a key. It is the only response that
// contains the key itself.
type IssuedKey struct {
	Name    string          `json:"name"`
	Account string          `json:"account"`
	Version objects.Version `json:"version"`
	Key     string          `json:"key"`
}

// keyView is a key in the list of keys. It omits the digest.
type keyView struct {
	Name      string          `json:"name"`
	Account   string          `json:"account"`
	Withdrawn bool            `json:"withdrawn"`
	Version   objects.Version `json:"version"`
}

// withdrawal is the response to the withdrawal of a key.
type withdrawal struct {
	Name string `json:"name"`
	// Recorded is false if the withdrawal is not yet recorded in the platform.
	// It is in force on the VMs in any case.
	Recorded bool `json:"recorded"`
}

func (call *call) keys(name, verb string) (any, error) {
	switch {
	case call.IsGet() && name == "":
		return call.listKeys()
	case call.IsPost() && name == "":
		return call.issueKey()
	case call.IsPost() && verb == "withdraw":
		recorded, err := call.server.Fleet.Withdraw(call.context, name)
		if err != nil {
			return nil, err
		}
		_ = call.audit("withdraw", catalog.KindKey, name, 0) // a withdrawal succeeds even if its audit record is not written
		return withdrawal{Name: name, Recorded: recorded}, nil
	case call.IsPost() && verb == "rotate":
		return call.rotateKey(name)
	}
	return nil, refusal.New(refusal.MethodNotAllowed, "use GET or POST on keys, or POST keys/NAME/withdraw or keys/NAME/rotate")
}

func (call *call) listKeys() (any, error) {
	page, err := call.list(catalog.KindKey)
	if err != nil {
		return nil, err
	}
	for i := range page.Items {
		var key catalog.Key
		if err := json.Unmarshal(page.Items[i].Spec, &key); err != nil {
			return nil, err
		}
		view := keyView{Name: key.Name, Account: key.Account, Withdrawn: key.Withdrawn, Version: page.Items[i].Version}
		page.Items[i].Spec, _ = json.Marshal(view) // strings, bools and integers only: cannot fail
	}
	return page, nil
}

func (call *call) issueKey() (any, error) {
	var sent issueRequest
	if err := json.Unmarshal(call.PostBody(), &sent); err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body must be {name, account}")
	}
	return call.newKey(sent.Name, sent.Account)
}

func (call *call) newKey(name, account string) (any, error) {
	if call.server.Fleet.Catalog().Snapshot().Account(account) == nil {
		return nil, refusal.New(refusal.NotFound, "account must name a client account; create it first")
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(key))
	spec := catalog.Key{Name: name, Account: account, Digest: hex.EncodeToString(sum[:])}
	if err := spec.Check(); err != nil {
		return nil, refusal.New(refusal.BadRequest, err.Error())
	}
	text, _ := json.Marshal(spec) // strings, bools and integers only: cannot fail
	item, err := call.write(catalog.KindKey, name, 0, text)
	if err != nil {
		return nil, err
	}
	call.SetStatusCode(fasthttp.StatusCreated)
	return IssuedKey{Name: name, Account: account, Version: item.Version, Key: key}, nil
}

// rotateKey issues an additional key for the account of the named one. The
// operator withdraws the old key once all callers use the new one.
func (call *call) rotateKey(name string) (any, error) {
	stored := call.server.Fleet.Catalog().Snapshot().KeyNamed(name)
	if stored == nil {
		return nil, objects.ErrNotFound
	}
	var sent issueRequest
	if err := json.Unmarshal(call.PostBody(), &sent); err != nil || sent.Name == "" {
		return nil, refusal.New(refusal.BadRequest, "the body must be {name} with the new key's name")
	}
	return call.newKey(sent.Name, stored.Account)
}
