package relay

import (
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/routing"
)

// errScopeChanged is why a request is not sent as it was prepared: under the configuration in
// force now it uses other cache entries. It may be sent to the same target again.
var errScopeChanged = errors.New("the configuration has changed the cache scope of the request")

// cacheScope returns the scope of cache entries that the request uses if it is sent now. It
// follows from the configuration in force, which may be newer than the request.
func (job *job) cacheScope() routing.Scope {
	table, account := job.relay.Table(), job.account
	if account == nil {
		account = table.Account(job.request.Key) // it may have come after the request
	}
	return table.Scope(account)
}

// usesCache reports whether a target may keep cache entries of the request. It must not share
// them among all accounts, as it does without a salt, if the configuration or the request
// does not say which model it is for.
func (job *job) usesCache() bool {
	return job.request.Prompt != nil || job.service.Engines
}

// model returns the model of the request; empty if it names none.
func (job *job) model() string {
	if job.request.Prompt == nil {
		return ""
	}
	return job.request.Prompt.Model
}

// checkScope reports whether the prepared request still names the cache entries that it uses.
func (job *job) checkScope() error {
	if job.usesCache() && job.attempt.scope != job.cacheScope() {
		return errScopeChanged
	}
	return nil
}

// cacheSalt returns the text under which a target keeps the cache entries of a model in a scope.
// It includes the weights version because a store may still hold entries of earlier versions.
// Equal texts have equal parts: none of them contains a slash.
func cacheSalt(model, weights string, scope routing.Scope) string {
	salt := url.PathEscape(model) + "/" + weights
	if scope != "" {
		salt += "/" + string(scope)
	}
	return salt
}
