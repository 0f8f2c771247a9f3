// Package catalog holds the current configuration: client accounts, keys,
// models, routes and targets.
//
// A Snapshot is immutable. A Store publishes a new snapshot when changes arrive
// from the platform or from other VMs. The resource version of an object never
// decreases, so an accepted change is never reverted.
//
// # Usage
//
//	store := catalog.New()
//	store.Load(objects, version)        // a complete list
//	store.Apply(object)                 // one change from a watch
//	account := store.Snapshot().Account("school-7")
package catalog

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quota"
)

// Kind is the kind of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindAccount    Kind = "client_account"
	KindKey        Kind = "key"
	KindModel      Kind = "model"
	KindRoute      Kind = "route"
	KindTarget     Kind = "target"
	KindQuarantine Kind = "quarantine"
	KindObjective  Kind = "objective"
	KindRight      Kind = "right"
	KindPlan       Kind = "plan"
)

// Object is a configuration object at one resource version.
type Object struct {
	// ID is KIND.NAME, the object's name in the platform.
	ID      string          `json:"id"`
	Version objects.Version `json:"version"`
	// Deleted marks the deletion of the object at Version.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// ID returns the name of an object in the platform.
func ID(kind Kind, name string) string {
	return string(kind) + "." + name
}

// Kind returns the object's kind.
func (object Object) Kind() Kind {
	kind, _, _ := strings.Cut(object.ID, ".")
	return Kind(kind)
}

// Name returns the object's name within its kind.
func (object Object) Name() string {
	_, name, _ := strings.Cut(object.ID, ".")
	return name
}

// FromPlatform converts a platform object.
func FromPlatform(object objects.Object) Object {
	return Object{ID: object.Metadata.Name, Version: object.Metadata.ResourceVersion, Spec: object.Spec}
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Rate is in tokens per second, for the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in tokens, for the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is the account's relative share of a busy target; 0 counts as 1.
	Weight float64 `json:"weight,omitempty"`
}

// Check returns an error that says what is wrong with the account and how to
// correct it.
func (account Account) Check() error {
	switch {
	case !validName(account.Name):
		return errInvalidName
	case account.Rate <= 0:
		return errors.New("rate must be above 0 tokens a second")
	case account.Burst < account.Rate:
		return errors.New("burst must be at least one second of the rate")
	case account.Weight < 0:
		return errors.New("weight must not be negative; leave it out for 1")
	}
	return nil
}

// Key is the API key of an account; only its digest is stored.
type Key struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	// Digest is the SHA-256 digest of the key in hex.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Check returns an error that says what is wrong with the key and how to
// correct it.
func (key Key) Check() error {
	switch {
	case !validName(key.Name):
		return errInvalidName
	case key.Account == "":
		return errors.New("account must name a client account")
	case len(key.Digest) != 64:
		return errors.New("digest must be a SHA-256 in hex")
	}
	return nil
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"name"`
	// Weights is the version whose answers and cache entries are current.
	Weights string `json:"weights"`
	// NextWeights is the version that a roll-out is installing; targets with
	// either version serve requests until the roll-out ends.
	NextWeights string `json:"next_weights,omitempty"`
	// Accounts lists the accounts that may use the model; empty means all.
	Accounts []string `json:"accounts,omitempty"`
	// MinTargets is the minimum number of targets that plans keep in service.
	MinTargets int `json:"min_targets,omitempty"`
	// Interactive models take precedence over other models on busy targets.
	Interactive bool `json:"interactive,omitempty"`
}

// Check returns an error that says what is wrong with the model and how to
// correct it.
func (model Model) Check() error {
	switch {
	case !validName(model.Name):
		return errInvalidName
	case model.Weights == "":
		return errors.New("weights must name the weights version")
	case model.MinTargets < 0:
		return errors.New("min_targets must not be negative")
	}
	return nil
}

// Allows reports whether an account may use the model.
func (model Model) Allows(account string) bool {
	return allows(model.Accounts, account)
}

// Route forwards requests with a path prefix to a plain service.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix, such as /signoffs/.
	Path string `json:"path"`
	// Service is the name of the service whose targets handle the route.
	Service string `json:"service"`
	// Open routes require no key.
	Open bool `json:"open,omitempty"`
	// Idempotent routes allow a call to be retried.
	Idempotent bool     `json:"idempotent,omitempty"`
	Accounts   []string `json:"accounts,omitempty"`
	// Tokens is the number of tokens that one call counts against the account's
	// rate.
	Tokens float64 `json:"tokens,omitempty"`
}

// Check returns an error that says what is wrong with the route and how to
// correct it.
func (route Route) Check() error {
	switch {
	case !validName(route.Name):
		return errInvalidName
	case !strings.HasPrefix(route.Path, "/") || !strings.HasSuffix(route.Path, "/"):
		return errors.New("path must begin and end with /")
	case strings.HasPrefix(route.Path, "/v1/"):
		return errors.New("path must not begin with /v1/, which serves models")
	case route.Service == "":
		return errors.New("service must name the targets that run the route")
	}
	return nil
}

// Allows reports whether an account may use the route.
func (route Route) Allows(account string) bool {
	return allows(route.Accounts, account)
}

// TargetKind distinguishes engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Target is a back end.
type Target struct {
	Name             string         `json:"name"`
	Kind             TargetKind     `json:"kind"`
	Address          netip.AddrPort `json:"address"`
	AvailabilityZone string         `json:"availability_zone"`
	// Serves is the model that an engine serves, or the name of the service.
	Serves string `json:"serves"`
	// Weights is the version that an engine has loaded.
	Weights string `json:"weights,omitempty"`
	// Draining targets receive no new requests.
	Draining bool `json:"draining,omitempty"`
	// ChecksFencing reports whether the target rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// TLS reports whether connections to the target use TLS.
	TLS bool `json:"tls,omitempty"`
}

// Check returns an error that says what is wrong with the target and how to
// correct it.
func (target Target) Check() error {
	switch {
	case !validName(target.Name):
		return errInvalidName
	case target.Kind != Engine && target.Kind != Service:
		return errors.New("kind must be engine or service")
	case !target.Address.IsValid() || target.Address.Port() == 0:
		return errors.New("address must be IP:PORT")
	case target.Serves == "":
		return errors.New("serves must name a model or a service")
	case target.Kind == Engine && target.Weights == "":
		return errors.New("weights must name the version that the engine has loaded")
	}
	return nil
}

// Quarantine blocks a request that was in flight at two target failures.
type Quarantine struct {
	Digest string `json:"digest"`
	// Until is the wall-clock time at which the quarantine expires.
	Until time.Time `json:"until"`
}

// Check returns an error that says what is wrong with the quarantine and how to
// correct it.
func (quarantine Quarantine) Check() error {
	if quarantine.Digest == "" {
		return errors.New("digest must not be empty")
	}
	return nil
}

// Right is the right to issue tokens for a share of the accounts' rates.
type Right struct {
	Index  int    `json:"index"`
	Holder string `json:"holder"`
	// Incarnation distinguishes the holder's process from earlier processes with
	// the same name.
	Incarnation string `json:"incarnation"`
	// Released rights may be acquired by any VM, together with the remaining
	// bucket levels.
	Released bool          `json:"released,omitempty"`
	Levels   []quota.Level `json:"levels,omitempty"`
}

// Check returns an error that says what is wrong with the right and how to
// correct it.
func (right Right) Check() error {
	if right.Index < 0 || right.Index >= quota.Rights {
		return errors.Newf("index must lie between 0 and %d", quota.Rights-1)
	}
	return nil
}

// Objective is a service-level objective for one account or for all.
type Objective struct {
	Name string `json:"name"`
	// Account limits the objective to one account; empty means all.
	Account string `json:"account,omitempty"`
	// Measure is ttft (time to first token), completion or refusals.
	Measure string `json:"measure"`
	// Goal is the share of good requests, for example 0.99.
	Goal float64 `json:"goal"`
	// ThresholdMS is the maximum time to first token of a good request, in
	// milliseconds.
	ThresholdMS float64 `json:"threshold_ms,omitempty"`
}

// Check returns an error that says what is wrong with the objective and how to
// correct it.
func (objective Objective) Check() error {
	switch {
	case !validName(objective.Name):
		return errInvalidName
	case objective.Goal <= 0 || objective.Goal >= 1:
		return errors.New("goal must lie between 0 and 1")
	case objective.Measure != "ttft" && objective.Measure != "completion" && objective.Measure != "refusals":
		return errors.New("measure must be ttft, completion or refusals")
	case objective.Measure == "ttft" && objective.ThresholdMS <= 0:
		return errors.New("threshold_ms must be above 0 for ttft")
	}
	return nil
}

var errInvalidName = errors.New("name must have 1 to 100 letters, digits, - or _")

func validName(name string) bool {
	if len(name) == 0 || len(name) > 100 {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && !(r >= '0' && r <= '9') && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func allows(accounts []string, account string) bool {
	if len(accounts) == 0 {
		return true
	}
	for _, allowed := range accounts {
		if allowed == account {
			return true
		}
	}
	return false
}
