// Package metric holds the metrics of one VM and publishes them through expvar.
//
// docs/METRICS.md describes each metric.
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

// Set holds the metrics of one VM.
type Set struct {
	Requests         expvar.Int // requests with a valid key or on an open route
	Answered         expvar.Int // requests answered completely
	PromptTokens     expvar.Int
	CachedTokens     expvar.Int // prompt tokens that targets found in their caches
	OutputTokens     expvar.Int
	Retries          expvar.Int
	Resumes          expvar.Int
	AnswerMismatches expvar.Int
	TargetDeaths     expvar.Int
	StreamsBroken    expvar.Int
	PlatformCalls    expvar.Int
	Heartbeats       expvar.Int
	Borrows          expvar.Int
	Refusals         *expvar.Map
	FirstTokenMS     *expvar.Map // requests by time to first token; keys are upper bounds in milliseconds
	ConfigVersion    expvar.Int
	PlatformSilence  expvar.Int // milliseconds since the last contact with the platform

	// Metrics of the gateway:
	ConfigApplied expvar.Int  // when the configuration was applied, in Unix milliseconds
	Weights       *expvar.Map // newest named weights version by model
	HoldsLease    expvar.Int  // 1 while this VM sends the orders
	Orders        expvar.Int  // orders sent
	Fetches       expvar.Int  // requests sent with the instruction to fetch KV cache from another target
	Unreachable   expvar.Int  // targets that accept no connections
	LostServices  expvar.Int  // services of which this VM reaches no target
	Ejected       expvar.Int  // targets ejected because too many of their requests failed
	Leaving       expvar.Int  // targets that leave
	Resting       expvar.Int  // targets that rest or return from a rest
	Limited       expvar.Int  // targets that name a limit
	Brittle       expvar.Int  // targets that say that they are brittle
	BegunLate     expvar.Int  // requests that began on weights replaced for longer than allowed
	NotAdmitted   expvar.Int  // requests refused because brittle targets are nearly full
	// Requests refused under overload: beyond the room for their account, too late to be
	// answered in time, and given up by their callers before a target was chosen.
	OverRoom      expvar.Int
	TooLate       expvar.Int
	Abandoned     expvar.Int
	Releases      expvar.Int  // orders to release software versions that have not ended
	LeadsReleases expvar.Int  // 1 while this VM decides on them
	ReleaseEnds   *expvar.Map // orders that ended, by state, as far as this VM led them
	BlockedParts  expvar.Int  // parts of prompts that are refused because they crash targets
	Availability  *expvar.Map // changes of targets' availability by service and new state
	Preferred     expvar.Int  // targets that this VM prefers
	OutsideSubset expvar.Int  // requests for which it left them
	HotPrefixes   expvar.Int  // prefixes with several homes
	Connections   *expvar.Map // connections opened to targets, by cause
	CallerCuts    *expvar.Map // connections of callers that ended before the answer, by phase and by who closed them
	StoreCalls    *expvar.Map // calls to the store by verb and collection
	// Records of where streams began, sent to other VMs and received from them, and
	// batches of them that a VM did not confirm.
	OriginsSent     expvar.Int
	OriginsReceived expvar.Int
	OriginsNotSent  expvar.Int
	// Writes of such records to the store, writes that failed, and loads from it.
	OriginsStored    expvar.Int
	OriginsNotStored expvar.Int
	OriginsReloaded  expvar.Int
	BufferedBytes    expvar.Int // bytes of answers and bodies that are held, beyond the first of each
	BuffersDenied    expvar.Int // answers and bodies given up because memory for them ran out
	// Callers' connections: what they hold, how many were closed because they stopped, and
	// connections and requests that were refused because there was no room.
	CallerConnections expvar.Int
	CallerBytes       expvar.Int
	CallersClosed     expvar.Int
	CallersRefused    expvar.Int
	Tunneled          expvar.Int // targets that are reached through other VMs
	TunnelsOpened     expvar.Int
	TunnelsCarried    expvar.Int
	OriginLookups     *expvar.Map // of streams taken up, by what was known of where they began
	ByRoute           *Rows
	ByAccount         *Rows
	ByTarget          *Rows
}

// The maximum numbers of rows: as many accounts and targets as the largest
// deployment has, and as many routes as fit into 4 MB of histograms.
const (
	maxRoutes   = 100
	maxAccounts = 500
	maxTargets  = 1000
)

// firstTokenBounds are the upper bounds of the buckets of FirstTokenMS; name is the
// bound in milliseconds.
var firstTokenBounds = []struct {
	bound time.Duration
	name  string
}{
	{10 * time.Millisecond, "10"}, {25 * time.Millisecond, "25"}, {50 * time.Millisecond, "50"},
	{100 * time.Millisecond, "100"}, {200 * time.Millisecond, "200"}, {400 * time.Millisecond, "400"},
	{1000 * time.Millisecond, "1000"}, {5000 * time.Millisecond, "5000"},
}

// New returns an empty set for the VM and publishes it through expvar as
// "bramleygw." followed by the VM's name. If that name is already published, the
// new metrics replace the old ones.
func New(vm string) *Set {
	set := &Set{
		Refusals: new(expvar.Map).Init(), FirstTokenMS: new(expvar.Map).Init(), Weights: new(expvar.Map).Init(),
		Connections: new(expvar.Map).Init(), CallerCuts: new(expvar.Map).Init(),
		StoreCalls: new(expvar.Map).Init(), OriginLookups: new(expvar.Map).Init(), Availability: new(expvar.Map).Init(), ReleaseEnds: new(expvar.Map).Init(),
		ByRoute: NewRows(maxRoutes), ByAccount: NewRows(maxAccounts), ByTarget: NewRows(maxTargets),
	}
	name := "bramleygw." + vm
	if expvar.Get(name) == nil {
		expvar.Publish(name, set.vars())
	} else if published, ok := expvar.Get(name).(*expvar.Map); ok {
		set.publishTo(published) // the VM was restarted within the same process
	}
	return set
}

func (set *Set) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	set.publishTo(vars)
	return vars
}

func (set *Set) publishTo(vars *expvar.Map) {
	metrics := []struct {
		name  string
		value expvar.Var
	}{
		{"requests", &set.Requests}, {"answered", &set.Answered}, {"prompt_tokens", &set.PromptTokens},
		{"cached_tokens", &set.CachedTokens}, {"output_tokens", &set.OutputTokens}, {"retries", &set.Retries},
		{"resumes", &set.Resumes}, {"crossed", &set.AnswerMismatches}, {"target_deaths", &set.TargetDeaths},
		{"streams_broken", &set.StreamsBroken},
		{"platform_calls", &set.PlatformCalls}, {"heartbeats", &set.Heartbeats}, {"borrows", &set.Borrows},
		{"refusals", set.Refusals}, {"first_token_ms", set.FirstTokenMS},
		{"config_version", &set.ConfigVersion}, {"platform_silence_ms", &set.PlatformSilence},
		{"config_applied_unix_ms", &set.ConfigApplied}, {"weights", set.Weights}, {"leads", &set.HoldsLease}, {"store_calls", set.StoreCalls},
		{"orders", &set.Orders}, {"fetches", &set.Fetches}, {"targets_unreachable", &set.Unreachable}, {"services_lost", &set.LostServices},
		{"targets_ejected", &set.Ejected}, {"by_route", set.ByRoute}, {"by_account", set.ByAccount},
		{"by_target", set.ByTarget}, {"origins_sent", &set.OriginsSent}, {"origins_received", &set.OriginsReceived},
		{"origins_not_sent", &set.OriginsNotSent}, {"origin_lookups", set.OriginLookups},
		{"origins_stored", &set.OriginsStored}, {"origins_not_stored", &set.OriginsNotStored}, {"origins_reloaded", &set.OriginsReloaded},
		{"targets_tunneled", &set.Tunneled}, {"tunnels_opened", &set.TunnelsOpened}, {"tunnels_carried", &set.TunnelsCarried},
		{"availability", set.Availability}, {"targets_leaving", &set.Leaving}, {"targets_resting", &set.Resting},
		{"targets_limited", &set.Limited},
		{"targets_brittle", &set.Brittle},
		{"requests_not_admitted", &set.NotAdmitted},
		{"parts_blocked", &set.BlockedParts},
		{"connections_opened", set.Connections}, {"caller_cuts", set.CallerCuts},
		{"requests_over_room", &set.OverRoom}, {"requests_too_late", &set.TooLate}, {"requests_begun_late", &set.BegunLate}, {"requests_abandoned", &set.Abandoned},
		{"buffered_bytes", &set.BufferedBytes}, {"buffers_denied", &set.BuffersDenied},
		{"caller_connections", &set.CallerConnections}, {"caller_bytes", &set.CallerBytes},
		{"callers_closed", &set.CallersClosed}, {"callers_refused", &set.CallersRefused},
		{"targets_preferred", &set.Preferred},
		{"requests_outside_subset", &set.OutsideSubset},
		{"prefixes_hot", &set.HotPrefixes},
		{"releases_running", &set.Releases}, {"leads_releases", &set.LeadsReleases}, {"releases_ended", set.ReleaseEnds},
	}
	for _, entry := range metrics {
		vars.Set(entry.name, entry.value)
	}
}

// RecordFirstToken adds a request with the given time to first token to its bucket.
func (set *Set) RecordFirstToken(firstToken time.Duration) {
	for _, bucket := range firstTokenBounds {
		if firstToken <= bucket.bound {
			set.FirstTokenMS.Add(bucket.name, 1)
			return
		}
	}
	set.FirstTokenMS.Add("more", 1)
}
