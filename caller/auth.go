package caller

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

// MaxKeyBytes is the maximum length of a key. Longer keys are refused without a
// lookup.
const MaxKeyBytes = 512

var bearer = []byte("Bearer ")

// identity identifies the account that sent a request.
type identity struct {
	account *catalog.Account
	digest  string // of the key
	key     []byte // as received; used to reject requests that would pass it to targets
}

// Digest returns the form in which a key is stored.
func Digest(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:])
}

// checkReady returns a refusal while this VM has no configuration.
func (server *Server) checkReady(now time.Time) error {
	if !server.Ready() {
		return refusal.New(refusal.NotReady, "this VM has no configuration yet; retry at once, another VM will answer").WithRetryAt(now.Add(time.Second))
	}
	return nil
}

// authenticate returns the identity for the request's key. The error is a refusal.
func (server *Server) authenticate(ctx *fasthttp.RequestCtx, snapshot *catalog.Snapshot, now time.Time) (identity, error) {
	if err := server.checkReady(now); err != nil {
		return identity{}, err
	}
	if server.Members.Isolated(now) {
		return identity{}, refusal.New(refusal.Isolated, "this VM is cut off and cannot check keys; retry, another VM will answer").WithRetryAt(now.Add(time.Second))
	}
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearer)
	if !ok || len(key) == 0 {
		return identity{}, refusal.New(refusal.MissingKey, "send your key as Authorization: Bearer KEY")
	}
	if len(key) > MaxKeyBytes {
		return identity{}, invalidKey()
	}
	digest := Digest(key)
	storedKey := snapshot.Key(digest)
	if storedKey == nil || subtle.ConstantTimeCompare([]byte(storedKey.Digest), []byte(digest)) != 1 {
		return identity{}, invalidKey()
	}
	if storedKey.Withdrawn {
		return identity{}, refusal.New(refusal.KeyWithdrawn, "the key was withdrawn; ask the operator for a new one")
	}
	account := snapshot.Account(storedKey.Account)
	if account == nil {
		return identity{}, invalidKey()
	}
	return identity{account: account, digest: digest, key: bytes.Clone(key)}, nil
}

// invalidKey returns the refusal of an unknown key.
func invalidKey() error {
	return refusal.New(refusal.InvalidKey, "the key is not known; check it or ask the operator")
}

// refuse answers the request with a refusal.
func refuse(ctx *fasthttp.RequestCtx, refused *refusal.Refusal) {
	ctx.Response.Reset()
	ctx.SetStatusCode(refused.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(refusal.OutcomeHeader, string(refused.Outcome))
	if refused.Status() == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	if !refused.RetryAt.IsZero() {
		seconds := int64(time.Until(refused.RetryAt)+time.Second-1) / int64(time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	}
	ctx.SetBody(refused.JSON())
}

// setLimitHeaders sets the headers with the account's token limits, which are those
// of the OpenAI API. remaining is the number of tokens left in the account's bucket.
func setLimitHeaders(ctx *fasthttp.RequestCtx, account *catalog.Account, remaining float64) {
	header := &ctx.Response.Header
	header.Set("X-Ratelimit-Limit-Tokens", strconv.FormatInt(int64(account.Burst), 10))
	header.Set("X-Ratelimit-Remaining-Tokens", strconv.FormatInt(int64(max(0, remaining)), 10))
	secondsToFull := max(0, account.Burst-remaining) / account.Rate
	header.Set("X-Ratelimit-Reset-Tokens", strconv.FormatFloat(secondsToFull, 'f', 3, 64)+"s")
}
