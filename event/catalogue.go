package event

var catalogue []Event

func register(number int, name string, level Level, meaning, remedy string) Event {
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning, Remedy: remedy}
	catalogue = append(catalogue, event)
	return event
}

// Process events.
var (
	Started          = register(101, "started", LevelInfo, "the process accepts requests", "none")
	Draining         = register(102, "draining", LevelInfo, "graceful shutdown has begun; requests in flight are completed", "none")
	Stopped          = register(103, "stopped", LevelInfo, "the process stopped", "none")
	LinesDropped     = register(106, "lines_dropped", LevelWarn, "log lines were dropped because the output was not read fast enough", "read standard output faster, or log less")
	SettingsChanged  = register(105, "settings_changed", LevelInfo, "the settings file has changed; the process keeps the settings that it read at its start", "restart the process if the change affects it")
	MetricsNotServed = register(108, "metrics_not_served", LevelWarn, "the metrics port could not be opened; metrics are served at the readiness address only", "choose a free port with --metrics-port")
	MachineSuspended = register(109, "machine_suspended", LevelWarn, "the machine was suspended and its clock stood still; the times of named weights were corrected", "do not suspend VMs that serve")
	SettingsIgnored  = register(107, "settings_ignored", LevelInfo, "the settings file has fields that this version ignores", "none, unless one is misspelt")
	NotReady         = register(104, "not_ready", LevelWarn, "no configuration has been received yet from the platform or from another VM", "check platform.address and peers in the settings")
)

// Configuration events.
var (
	ConfigApplied  = register(201, "config_applied", LevelInfo, "a configuration version is in force", "none")
	ConfigRejected = register(202, "config_rejected", LevelError, "a configuration object could not be read; its last valid version stays in force", "correct the object named in the fields")
	ConfigFromPeer = register(203, "config_from_peer", LevelInfo, "the configuration was copied from another VM", "none")
	FetchFailed    = register(205, "fetch_failed", LevelInfo, "changes could not be copied from another VM that has newer ones", "none if that VM has stopped; the copy is repeated with the next heartbeat that shows newer ones")
	ConfigOlder    = register(206, "config_older", LevelInfo, "a configuration arrived that is older than the one in force, which stays", "none")
	KeyWithdrawn   = register(204, "key_withdrawn", LevelInfo, "a key was withdrawn; its requests are ended", "none")
)

// Platform events.
var (
	PlatformDown = register(301, "platform_down", LevelWarn, "the platform is unreachable; the VM keeps serving with its last known configuration", "check the platform; until it is reachable again, rights are not handed over, and keys can be withdrawn through this VM but not issued")
	PlatformUp   = register(302, "platform_up", LevelInfo, "the platform is reachable again", "none")
	WatchSilent  = register(304, "watch_silent", LevelWarn, "a watch of the platform got no answer until its deadline; it is started again on another connection", "if it repeats, check the network between the VM and the platform")
	WatchGone    = register(303, "watch_gone", LevelInfo, "the watch fell too far behind, so the platform no longer has the missing changes; the collection is listed again", "none")
)

// Membership events.
var (
	PeerNotTold     = register(405, "peer_not_told", LevelDebug, "a notification sent to another VM was not acknowledged", "none if that VM has stopped")
	NotUnregistered = register(406, "not_unregistered", LevelInfo, "a stopping VM could not remove its registration", "none; the other VMs mark it lost when its heartbeats stop")
	OriginsNotSent  = register(408, "origins_not_sent", LevelInfo, "records of where streams began were not acknowledged by another VM that should hold them", "none if that VM has stopped; other VMs hold the records too")
	OriginNotTold   = register(409, "origin_not_told", LevelDebug, "another VM did not answer where a stream began", "none if that VM has stopped")
	PeerLost        = register(401, "peer_lost", LevelWarn, "heartbeats from another VM have stopped arriving", "check the VM and the network between the availability zones")
	ZoneSummed      = register(407, "zone_summed", LevelInfo, "the counts of another availability zone are now received as summaries from its representatives, no longer from each of its VMs", "none")
	PeerHeard       = register(402, "peer_heard", LevelInfo, "heartbeats from another VM are arriving", "none")
	Isolated        = register(403, "isolated", LevelError, "neither the platform nor a majority of the VMs is reachable; keyed requests are refused", "restore the network connection of this VM or replace the VM")
	IsolationOver   = register(404, "isolation_over", LevelInfo, "the VM is no longer isolated and serves keyed requests again", "none")
)

// Limit events.
var (
	RightTaken     = register(501, "right_taken", LevelDebug, "this VM acquired a right, which lets it issue tokens for a share of the accounts' rates", "none")
	RightReleased  = register(502, "right_released", LevelDebug, "this VM released a right to a share of the accounts' rates", "none")
	RightRecovered = register(503, "right_recovered", LevelInfo, "this VM took over a right to a share of the accounts' rates that its last holder had not released", "none")
)

// Target events.
var (
	TargetDied      = register(601, "target_died", LevelWarn, "connections to a target broke with requests in flight", "check the target; it receives requests again once it answers")
	TargetRestarted = register(602, "target_restarted", LevelInfo, "a target restarted; its cache is empty", "none")
	CrossedAnswer   = register(603, "crossed_answer", LevelError, "an answer carried the id of another request; the answer was discarded and the connection closed", "check the target and any proxy in front of it")
	StreamResumed   = register(604, "stream_resumed", LevelInfo, "a stream was resumed at its offset on a new connection", "none")
	StreamBroken    = register(605, "stream_broken", LevelWarn, "a stream could not be completed and was ended with an error event", "check the target")
	Quarantined     = register(606, "request_quarantined", LevelWarn, "a request was in flight at two targets when they failed and is now refused", "inspect the caller's request; the quarantine entry expires by itself")
)

// Events of parts of prompts that crash targets.
var (
	PartBlocked   = register(607, "part_blocked", LevelWarn, "a part of prompts is refused: targets died whenever a prompt with it ran; the source is deaths, another VM or the store", "find out with request_refused who sends the part; it is accepted again at the time in the fields, or once a prompt with it is answered")
	PartNotStored = register(609, "part_not_stored", LevelWarn, "a change of the refused parts of prompts could not be stored within a minute; VMs that start learn of it from other VMs alone", "check the platform")
	PartCleared   = register(608, "part_cleared", LevelInfo, "a part of prompts is no longer refused: a prompt with it was answered", "none")
)

// Events of targets and KV cache stores: registration and reachability.
var (
	TargetListed      = register(610, "target_listed", LevelInfo, "a target's registration is new or changed", "none")
	TargetGone        = register(611, "target_gone", LevelInfo, "a target's registration was removed", "none")
	TargetUnreadable  = register(612, "target_unreadable", LevelWarn, "a registration could not be read; it names no target to use", "find out which system wrote the object")
	TargetLost        = register(615, "target_lost", LevelWarn, "a target accepts no connections; it receives no new requests; the source is a failed attempt or a probe", "check the target; it is probed until it answers")
	TargetReached     = register(616, "target_reached", LevelInfo, "a target accepts connections again; the source is a probe or an answer", "none")
	ServiceLost       = register(630, "service_lost", LevelWarn, "this VM reaches no target of a service directly; it sends requests through other VMs (632) or refuses them", "if other VMs log this too, check the targets, else the network of this VM")
	ServiceReached    = register(631, "service_reached", LevelInfo, "this VM reaches a target of a service again", "none")
	TargetLeaving     = register(617, "target_leaving", LevelInfo, "a target leaves; it receives nothing more from this VM, and what runs there is completed; the source is an answer, its registration or another VM", "none; a start of the target later than this one is used again")
	TargetResting     = register(618, "target_resting", LevelInfo, "a target turned a request away and asked for a rest; it receives nothing more from this VM until the time in the fields, then one request, and its share once that one is answered", "add targets if rests are frequent")
	TargetReturned    = register(619, "target_returned", LevelInfo, "the first request after a target's rest was answered; the target receives its share again", "none")
	RestNotTaken      = register(625, "rest_not_taken", LevelWarn, "a target asked for a rest in a way that cannot be used as it is: no positive number of seconds, or more than the maximum; the fields hold the value and the rest that was taken", "correct the target's Retry-After header")
	TargetLimited     = register(626, "target_limited", LevelInfo, "a target named how many requests a second it takes from all VMs together, or named another number; the source is an answer or another VM", "find out why the target is in need")
	TargetUnlimited   = register(627, "target_unlimited", LevelInfo, "a target no longer names a limit", "none")
	LimitNotTaken     = register(628, "limit_not_taken", LevelWarn, "a target named a limit that cannot be used as it is: no positive decimal number; the fields hold the value and the limit that was taken", "correct the target's header")
	TargetBrittle     = register(633, "target_brittle", LevelInfo, "a target said that it falls over if it has to reject more requests a second than the fields hold, or named another number; requests that it may have to reject are refused; the source is an answer or another VM", "find out why the target is brittle")
	TargetSturdy      = register(634, "target_sturdy", LevelInfo, "a target no longer says that it is brittle", "none")
	BrittleNotTaken   = register(635, "brittle_not_taken", LevelWarn, "a target said how brittle it is in a way that cannot be used as it is: no positive decimal number; the fields hold the value and the number that was taken", "correct the target's header")
	ServiceOverloaded = register(660, "service_overloaded", LevelWarn, "callers ask all VMs for more prompt tokens of a service than its targets take; requests are refused by priority and fair shares", "add targets, or find out with by_account which account asks for more than usual")
	ServiceRelieved   = register(661, "service_relieved", LevelInfo, "the targets of a service take again what callers ask for", "none")
	SubsetChanged     = register(665, "subset_changed", LevelDebug, "this VM prefers other targets of a service than before: targets or VMs came or went, or its load changed", "none")
	HomesChanged      = register(666, "homes_changed", LevelInfo, "this VM found that a prefix needs more or fewer homes for the load of all VMs", "none")
	TargetTunneled    = register(632, "target_tunneled", LevelWarn, "this VM is cut off from a target's service and sends requests for the target through another VM, which reaches it", "check the network between this VM and the target")
	CacheStoreUp      = register(613, "cache_store_up", LevelInfo, "a KV cache store accepts connections", "none")
	CacheStoreDown    = register(614, "cache_store_down", LevelWarn, "a KV cache store closed its connection; targets do not fetch from it", "check the KV cache store")
)

// Events of streams that can be resumed: what the store has for the loss of all VMs.
var (
	SoftwareLogged    = register(640, "software_logged", LevelInfo, "the log of a service's software versions was changed in the store; the fields hold its versions", "none")
	SoftwareNotLogged = register(641, "software_not_logged", LevelWarn, "the log of a service's software versions could not be read or written; streams begin all the same, and after the loss of all VMs may be refused", "check the platform")
	OriginsNotStored  = register(642, "origins_not_stored", LevelInfo, "records of where streams began could not be written to the store; they are written again", "check the platform if many lines follow each other")
	OriginsReloaded   = register(643, "origins_reloaded", LevelInfo, "this VM loaded the records of where streams began from the store, to continue streams that no VM knows", "none; it follows the loss of many VMs")
	OriginsNotLoaded  = register(644, "origins_not_loaded", LevelWarn, "this VM could not load the records of where streams began, or one object of them, from the store; streams that no VM knows are refused", "check the platform; delete an object that cannot be read")
)

// Weights events.
var (
	WeightsNamed = register(620, "weights_named", LevelInfo, "operators named a new weights version", "none")
	WeightsDated = register(629, "weights_dated", LevelInfo, "another VM told when a weights version was named: earlier than this VM knew, or at all", "none")
	OrderGiven   = register(621, "order_given", LevelInfo, "an order was sent to a target", "none")
	OrderFailed  = register(622, "order_failed", LevelWarn, "a target did not answer a poll or an order", "check the target; the poll or order is retried")
	LeaseTaken   = register(623, "lease_taken", LevelInfo, "this VM acquired the lease and now sends the orders", "none")
	LeaseLost    = register(624, "lease_lost", LevelWarn, "the lease could not be renewed; no order was sent", "none if another VM has acquired the lease")
)

// Events of releases of software versions.
var (
	ReleaseOrdered    = register(645, "release_ordered", LevelInfo, "an order to release a software version became known, or its state changed", "none")
	ReleaseStage      = register(646, "release_stage", LevelInfo, "this VM leads a release and stored its next stage", "none")
	ReleaseBad        = register(647, "release_bad", LevelWarn, "a software version answers worse than the others of its service on a route: failures, slow_first or slow_rest; it gets no more requests; the source is this VM's counts or another VM", "find out what is wrong with the version; release another one")
	ReleaseEnded      = register(648, "release_ended", LevelInfo, "this VM leads a release and wrote its final state", "if it was rolled back without release_bad, check that targets of the version are registered and get requests")
	ReleaseNotStored  = register(649, "release_not_stored", LevelWarn, "a stage or a state of a release could not be stored; the write is repeated", "check the platform")
	ReleaseLed        = register(650, "release_led", LevelInfo, "this VM acquired the lease of releases and decides on them", "none")
	ReleaseUnreadable = register(651, "release_unreadable", LevelWarn, "an order to release a software version could not be read; it is ignored", "correct the order: service, version and a positive duration")
)

// Plan events.
var (
	PlanStep   = register(701, "plan_step", LevelInfo, "a step of a confirmed plan was carried out", "none")
	PlanFailed = register(702, "plan_failed", LevelError, "a step of a confirmed plan failed", "read the plan's status and compute a new plan")
)

// Claim events.
var (
	ClaimUnrecorded = register(801, "claim_unrecorded", LevelWarn, "the answer to a call that may run only once could not be recorded; a retry of the call will be refused because its outcome is unknown", "check the platform")
)

// Request events.
var (
	RequestRefused  = register(901, "request_refused", LevelInfo, "a request ended without a complete answer from a target", "look up the refusal code in docs/OPERATORS.md")
	RequestAnswered = register(903, "request_answered", LevelInfo, "a complete answer was forwarded to the caller; at most 100 lines a second are written, the number of skipped lines is reported in the next one", "none")
	TargetSilent    = register(905, "target_silent", LevelInfo, "a target has sent nothing for longer than it should; the request stays there because no other target can take it now", "check the target if many lines name it")
	HandlerPanicked = register(904, "handler_panicked", LevelError, "the handling of a request panicked; the caller's connection was closed", "report the stack in the fields")
	OriginLookup    = register(906, "origin_lookup", LevelInfo, "this VM looked up at which service and software version a stream began that a caller takes up; the stream continues if the result is known or single", "if many results are unknown, check the network between the VMs")
	RequestNotTaken = register(907, "request_not_taken", LevelInfo, "a request was refused, or its connection closed, before a route was looked for; at most 50 lines a second are written, the number of skipped lines is reported in the next one", "look up the refusal code in docs/OPERATORS.md")
	CallerCut       = register(908, "caller_cut", LevelInfo, "the connection of a caller ended while a request was being received, or this VM closed it while data had arrived on it; at most 50 lines a second are written, the number of skipped lines is reported in the next one", "if this VM closed it, see the phase and docs/OPERATIONS.md; none if the caller did")
	CallersStopped  = register(909, "callers_stopped", LevelWarn, "connections of callers were closed because they stopped, or refused because connections hold all the memory or descriptors that they may; at most one line a second is written", "add VMs or memory if the callers are ordinary ones")
	BegunLate       = register(910, "begun_late", LevelWarn, "a request began on weights that were replaced for longer than the platform allows; the fields hold when it was sent and what was known of the target then", "if the target went back to older weights (answer_weights below weights), see its orders; if the request waited for longer than estimated, why the target stood still")
	AttemptFailed   = register(902, "attempt_failed", LevelInfo, "an attempt to run a request at a target failed", "check the target if many lines name it")
)
