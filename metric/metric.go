// Package metric holds the counters of one VM, published by expvar.
//
// docs/METRICS.md lists each metric.
//
// # Usage
//
//	set := metric.New("vm-1")
//	set.Requests.Add(1)
package metric

import (
	"expvar"
	"time"
)

// Set is the metrics of one VM.
type Set struct {
	Requests        expvar.Int // requests with a valid key or on an open route
	Answered        expvar.Int // requests answered whole
	PromptTokens    expvar.Int
	CachedTokens    expvar.Int // prompt tokens that targets found in their caches
	OutputTokens    expvar.Int
	Retries         expvar.Int
	Resumes         expvar.Int
	Crossed         expvar.Int
	TargetDeaths    expvar.Int
	StreamsBroken   expvar.Int
	PlatformCalls   expvar.Int
	Heartbeats      expvar.Int
	Borrows         expvar.Int
	Refusals        *expvar.Map
	FirstTokenMS    *expvar.Map // requests by time to first token, upper bound in milliseconds
	ConfigVersion   expvar.Int
	PlatformSilence expvar.Int // milliseconds since the platform was last in contact

	// Of the gateway:
	ConfigApplied expvar.Int  // when the configuration came into force, in Unix milliseconds
	Weights       *expvar.Map // newest named version by model
	Leads         expvar.Int  // 1 while this VM gives the orders
	Orders        expvar.Int  // orders sent
	Fetches       expvar.Int  // requests that were told to fetch KV cache from another target
	Unreachable   expvar.Int  // targets that accept no connections
	Ejected       expvar.Int  // targets that fail too many requests
	StoreCalls    *expvar.Map // calls to the store by verb and collection
	ByRoute       *Rows
	ByAccount     *Rows
	ByTarget      *Rows
}

// The most rows: as many accounts and targets as the largest deployment has, and
// routes within 4 MB of histograms.
const (
	mostRoutes   = 100
	mostAccounts = 500
	mostTargets  = 1000
)

// firstTokenBounds are the buckets of FirstTokenMS, in milliseconds.
var firstTokenBounds = []struct {
	bound time.Duration
	name  string
}{
	{10 * time.Millisecond, "10"}, {25 * time.Millisecond, "25"}, {50 * time.Millisecond, "50"},
	{100 * time.Millisecond, "100"}, {200 * time.Millisecond, "200"}, {400 * time.Millisecond, "400"},
	{1000 * time.Millisecond, "1000"}, {5000 * time.Millisecond, "5000"},
}

// New returns the metrics of a VM, published under its name.
func New(vm string) *Set {
	set := &Set{
		Refusals: new(expvar.Map).Init(), FirstTokenMS: new(expvar.Map).Init(), Weights: new(expvar.Map).Init(),
		StoreCalls: new(expvar.Map).Init(),
		ByRoute:    NewRows(mostRoutes), ByAccount: NewRows(mostAccounts), ByTarget: NewRows(mostTargets),
	}
	name := "bramleygw." + vm
	if expvar.Get(name) == nil {
		expvar.Publish(name, set.vars())
	} else if published, ok := expvar.Get(name).(*expvar.Map); ok {
		set.fill(published) // a restarted VM in the same process
	}
	return set
}

func (set *Set) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	set.fill(vars)
	return vars
}

func (set *Set) fill(vars *expvar.Map) {
	named := []struct {
		name  string
		value expvar.Var
	}{
		{"requests", &set.Requests}, {"answered", &set.Answered}, {"prompt_tokens", &set.PromptTokens},
		{"cached_tokens", &set.CachedTokens}, {"output_tokens", &set.OutputTokens}, {"retries", &set.Retries},
		{"resumes", &set.Resumes}, {"crossed", &set.Crossed}, {"target_deaths", &set.TargetDeaths},
		{"streams_broken", &set.StreamsBroken},
		{"platform_calls", &set.PlatformCalls}, {"heartbeats", &set.Heartbeats}, {"borrows", &set.Borrows},
		{"refusals", set.Refusals}, {"first_token_ms", set.FirstTokenMS},
		{"config_version", &set.ConfigVersion}, {"platform_silence_ms", &set.PlatformSilence},
		{"config_applied_unix_ms", &set.ConfigApplied}, {"weights", set.Weights}, {"leads", &set.Leads}, {"store_calls", set.StoreCalls},
		{"orders", &set.Orders}, {"fetches", &set.Fetches}, {"targets_unreachable", &set.Unreachable},
		{"targets_ejected", &set.Ejected}, {"by_route", set.ByRoute}, {"by_account", set.ByAccount},
		{"by_target", set.ByTarget},
	}
	for _, entry := range named {
		vars.Set(entry.name, entry.value)
	}
}

// FirstToken counts a time to first token.
func (set *Set) FirstToken(took time.Duration) {
	for _, bucket := range firstTokenBounds {
		if took <= bucket.bound {
			set.FirstTokenMS.Add(bucket.name, 1)
			return
		}
	}
	set.FirstTokenMS.Add("more", 1)
}
