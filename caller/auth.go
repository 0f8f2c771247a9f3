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

// MaxKeyBytes is the longest key that is looked at.
const MaxKeyBytes = 512

var bearer = []byte("Bearer ")

// identity is whose request it is.
type identity struct {
	account *catalog.Account
	digest  string
	key     []byte // as sent; for keeping it out of what targets see
}

// Digest returns the form in which a key is stored.
func Digest(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:])
}

// ready refuses what this VM must not serve now.
func (server *Server) ready(now time.Time) error {
	if !server.Ready() {
		return refusal.New(refusal.NotReady, "this VM has no configuration yet; retry at once, another VM will answer").WithRetryAt(now.Add(time.Second))
	}
	return nil
}

// authenticate returns whose key came with the request.
func (server *Server) authenticate(ctx *fasthttp.RequestCtx, snapshot *catalog.Snapshot, now time.Time) (identity, error) {
	if err := server.ready(now); err != nil {
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
	known := snapshot.Key(digest)
	if known == nil || subtle.ConstantTimeCompare([]byte(known.Digest), []byte(digest)) != 1 {
		return identity{}, invalidKey()
	}
	if known.Withdrawn {
		return identity{}, refusal.New(refusal.KeyWithdrawn, "the key was withdrawn; ask the operator for a new one")
	}
	account := snapshot.Account(known.Account)
	if account == nil {
		return identity{}, invalidKey()
	}
	return identity{account: account, digest: digest, key: bytes.Clone(key)}, nil
}

func invalidKey() error {
	return refusal.New(refusal.InvalidKey, "the key is not known; check it or ask the operator")
}

// refuse writes a refusal.
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

// limitHeaders tells the account's limits, as the OpenAI API does.
func limitHeaders(ctx *fasthttp.RequestCtx, account *catalog.Account, left float64) {
	header := &ctx.Response.Header
	header.Set("X-Ratelimit-Limit-Tokens", strconv.FormatInt(int64(account.Burst), 10))
	header.Set("X-Ratelimit-Remaining-Tokens", strconv.FormatInt(int64(max(0, left)), 10))
	missing := max(0, account.Burst-left) / account.Rate
	header.Set("X-Ratelimit-Reset-Tokens", strconv.FormatFloat(missing, 'f', 3, 64)+"s")
}
