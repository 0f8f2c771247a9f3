// Package refusal defines the typed errors that are returned to callers and
// operators.
//
// Every refusal has a stable code, an HTTP status, a message that states the
// remedy, and an outcome: "not_run" guarantees that no target ran the request,
// "unknown" means that a target may have run it. The JSON form is the OpenAI error
// envelope with the outcome added.
//
// # Usage
//
//	return refusal.New(refusal.RateLimited, "retry after the time in Retry-After").WithRetryAt(retryAt)
package refusal

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a target may have run the request.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// OutcomeHeader is the header field that repeats the outcome of the body.
const OutcomeHeader = "X-Bramleygw-Outcome"

// Code identifies a kind of refusal. Its values are stable.
type Code string

// The codes.
const (
	BadRequest           Code = "bad_request"
	MissingKey           Code = "missing_key"
	InvalidKey           Code = "invalid_key"
	KeyWithdrawn         Code = "key_withdrawn"
	Forbidden            Code = "forbidden"
	NotFound             Code = "not_found"
	MethodNotAllowed     Code = "method_not_allowed"
	Conflict             Code = "conflict"
	StalePlan            Code = "stale_plan"
	InProgress           Code = "in_progress"
	OutcomeUnknown       Code = "outcome_unknown"
	IdempotencyKeyReused Code = "idempotency_key_reused"
	TooLarge             Code = "too_large"
	RateLimited          Code = "rate_limited"
	ExceedsBurst         Code = "exceeds_burst"
	Quarantined          Code = "quarantined"
	QueueDeadline        Code = "queue_deadline"
	Overloaded           Code = "overloaded"
	NoTarget             Code = "no_target"
	Isolated             Code = "isolated"
	NotReady             Code = "not_ready"
	PlatformUnavailable  Code = "platform_unavailable"
	TargetFailed         Code = "target_failed"
	StreamInterrupted    Code = "stream_interrupted"
	DeadlineExceeded     Code = "deadline_exceeded"
	CallerGone           Code = "caller_gone"
)

// kind holds what all refusals with one code have in common.
type kind struct {
	status    int
	errorType string
	outcome   Outcome // the default
}

var kinds = map[Code]kind{
	BadRequest:           {400, "invalid_request_error", NotRun},
	MissingKey:           {401, "authentication_error", NotRun},
	InvalidKey:           {401, "authentication_error", NotRun},
	KeyWithdrawn:         {401, "authentication_error", NotRun},
	Forbidden:            {403, "permission_error", NotRun},
	NotFound:             {404, "invalid_request_error", NotRun},
	MethodNotAllowed:     {405, "invalid_request_error", NotRun},
	Conflict:             {409, "conflict_error", NotRun},
	StalePlan:            {409, "conflict_error", NotRun},
	InProgress:           {409, "conflict_error", Unknown},
	OutcomeUnknown:       {409, "conflict_error", Unknown},
	IdempotencyKeyReused: {422, "invalid_request_error", NotRun},
	TooLarge:             {413, "invalid_request_error", NotRun},
	RateLimited:          {429, "rate_limit_error", NotRun},
	ExceedsBurst:         {429, "rate_limit_error", NotRun},
	Quarantined:          {422, "invalid_request_error", NotRun},
	QueueDeadline:        {503, "server_error", NotRun},
	Overloaded:           {503, "server_error", NotRun},
	NoTarget:             {503, "server_error", NotRun},
	Isolated:             {503, "server_error", NotRun},
	NotReady:             {503, "server_error", NotRun},
	PlatformUnavailable:  {503, "server_error", NotRun},
	TargetFailed:         {502, "server_error", Unknown},
	StreamInterrupted:    {502, "server_error", Unknown},
	DeadlineExceeded:     {504, "server_error", Unknown},
	CallerGone:           {499, "server_error", Unknown},
}

// Refusal is the error that is returned for a refused or failed request.
type Refusal struct {
	Code    Code
	Message string
	Outcome Outcome
	// RetryAt is the time after which the caller should retry; zero when it should
	// not.
	RetryAt time.Time
}

// New returns a refusal with the default outcome of its code. The message states
// the remedy.
func New(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: kinds[code].outcome}
}

// Error implements error.
func (refusal *Refusal) Error() string {
	return string(refusal.Code) + ": " + refusal.Message
}

// WithRetryAt sets the time after which the caller should retry and returns the
// refusal.
func (refusal *Refusal) WithRetryAt(retryAt time.Time) *Refusal {
	refusal.RetryAt = retryAt
	return refusal
}

// WithOutcome overrides the default outcome of the code and returns the refusal.
func (refusal *Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal.Outcome = outcome
	return refusal
}

// Status returns the HTTP status of the code.
func (refusal *Refusal) Status() int {
	return kinds[refusal.Code].status
}

// Body is the JSON form of a refusal: the OpenAI error envelope.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of Body, with the outcome added.
type BodyError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Param   *string `json:"param"`
	Outcome Outcome `json:"outcome"`
}

// JSON returns the encoded body.
func (refusal *Refusal) JSON() []byte {
	body := Body{Error: BodyError{
		Message: refusal.Message,
		Type:    kinds[refusal.Code].errorType,
		Code:    refusal.Code,
		Outcome: refusal.Outcome,
	}}
	text, _ := json.Marshal(body) // strings only: cannot fail
	return text
}

// From returns the refusal that err wraps, or a TargetFailed refusal when it wraps
// none.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(TargetFailed, "the target failed; retry if the request may run twice")
}
