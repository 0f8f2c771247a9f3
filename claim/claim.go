// Package claim makes non-idempotent calls run at most once.
//
// Before a VM sends a call with an idempotency key, it creates a claim in the
// platform. Only one creation can succeed, whichever VM the call reaches. The VM
// then sends the call once and records its answer. A repeated call is never sent:
// it gets the recorded answer, or a refusal that says that the call is in progress
// or that its outcome is unknown. A claim is released only if the call was certainly
// not sent. See docs/design/at_most_once.md for the alternatives that were
// considered.
//
// # Usage
//
//	claimer := claim.NewClaimer(platformClient, "vm-1")
//	ticket, err := claimer.Claim(ctx, account, idempotencyKey, body, deadline)
//	if err != nil { ... } // a refusal
//	if ticket.Answer != nil { ... } // the call ran before: replay its answer
//	err = ticket.Record(ctx, answer)
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
)

// MaxAnswer is the size limit of a recorded answer body, in bytes. Of a longer
// answer the body is not recorded; a repeated call is then refused with OutcomeUnknown and
// a message that the call ran.
const MaxAnswer = 256 << 10

const (
	// maxAttempts is the number of attempts to create, record or release a claim.
	maxAttempts = 4
	// retryDelay is the delay before the first retry; it doubles with each retry.
	retryDelay = 20 * time.Millisecond
	nonceBytes = 16
	// Refusals ask the caller to retry after inProgressRetryAfter if the call is in
	// progress, and after outageRetryAfter if the platform is unavailable.
	inProgressRetryAfter = time.Second
	outageRetryAfter     = 2 * time.Second
)

// Objects is the part of the platform's API that claims use.
type Objects interface {
	Get(ctx context.Context, collection objects.Collection, name string) (objects.Object, error)
	Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error)
	Update(ctx context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error)
	Delete(ctx context.Context, collection objects.Collection, name string, version objects.Version) error
}

// State is the progress of a claimed call.
type State string

// The states.
const (
	// Claimed means that the call may have been sent; its answer is not recorded.
	Claimed State = "claimed"
	// Done means that the answer is recorded.
	Done State = "done"
)

// Answer is the recorded answer to a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// BodyOmitted is set if the body was longer than MaxAnswer and was not recorded.
	BodyOmitted bool `json:"cut,omitempty"`
}

// Claim is the spec of a claim's object in the platform.
type Claim struct {
	// Owner is the name of the VM that created the claim.
	Owner string `json:"owner"`
	// Nonce identifies the call that created the claim, so that a retried creation
	// recognizes its own claim.
	Nonce string `json:"nonce"`
	// BodyDigest is the SHA-256 digest of the call, in hexadecimal.
	BodyDigest string `json:"body_digest"`
	// Deadline is when the call ends at the latest. After it, a claim without an
	// answer means that the outcome is unknown.
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	Answer   *Answer   `json:"answer,omitempty"`
}

// Claimer creates claims on behalf of one VM.
type Claimer struct {
	objects Objects
	owner   string
}

// NewClaimer returns a Claimer that creates claims with the VM's name as their owner.
func NewClaimer(objects Objects, owner string) *Claimer {
	return &Claimer{objects: objects, owner: owner}
}

// Ticket is the permission to send a call once, or the recorded answer if the call
// ran before.
type Ticket struct {
	// Answer is the recorded answer if the call ran before, otherwise nil.
	Answer *Answer

	claimer *Claimer
	name    string
	version objects.Version
	claim   Claim
}

// Name returns the name of a claim's object in the platform. The account and the
// idempotency key are hashed, because callers may put arbitrary bytes in the key.
func Name(account, key string) string {
	digest := sha256.New()
	digest.Write([]byte(account))
	digest.Write([]byte{0})
	digest.Write([]byte(key))
	return hex.EncodeToString(digest.Sum(nil))
}

// Claim acquires the permission to send a call. It returns a refusal with code
// InProgress or OutcomeUnknown if the call was claimed before,
// IdempotencyKeyReused if the key was used with another body, and
// PlatformUnavailable if the claim cannot be created. After the last two, this
// attempt did not run.
func (claimer *Claimer) Claim(ctx context.Context, account, key string, body []byte, deadline time.Time) (*Ticket, error) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	digest := sha256.Sum256(body)
	ticket := &Ticket{claimer: claimer, name: Name(account, key), claim: Claim{
		Owner:      claimer.owner,
		Nonce:      hex.EncodeToString(nonce),
		BodyDigest: hex.EncodeToString(digest[:]),
		Deadline:   deadline,
		State:      Claimed,
	}}
	for attempt := range maxAttempts {
		resolved, err := ticket.tryCreate(ctx)
		if resolved || err != nil {
			return ticket.result(err)
		}
		if !waitToRetry(ctx, attempt) {
			break
		}
	}
	return nil, refusal.New(refusal.PlatformUnavailable,
		"calls that may run once need the platform, which does not answer; send the same idempotency key again later").WithRetryAt(time.Now().Add(outageRetryAfter))
}

func (ticket *Ticket) result(err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

// waitToRetry waits for the exponential backoff after the given attempt. It returns
// false if the context ends first.
func waitToRetry(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(retryDelay << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryCreate makes one attempt to create the claim. It returns true if the claim
// belongs to this ticket or has an answer, an error if it belongs to another
// ticket, and neither if the platform gave no definite answer.
func (ticket *Ticket) tryCreate(ctx context.Context) (bool, error) {
	object, err := ticket.claimer.objects.Create(ctx, objects.Claims, ticket.name, ticket.claim)
	if err == nil {
		ticket.version = object.Metadata.ResourceVersion
		return true, nil
	}
	if !errors.Is(err, objects.ErrExists) {
		// Even if this attempt certainly had no effect, for example because the
		// connection was refused, an earlier attempt may have taken effect. The next
		// attempt detects that.
		return false, nil
	}
	object, err = ticket.claimer.objects.Get(ctx, objects.Claims, ticket.name)
	if err != nil {
		return false, nil
	}
	return ticket.resolveExisting(object)
}

// resolveExisting decides the outcome when the claim already exists.
func (ticket *Ticket) resolveExisting(object objects.Object) (bool, error) {
	var existing Claim
	if err := json.Unmarshal(object.Spec, &existing); err != nil {
		return false, refusal.New(refusal.OutcomeUnknown, "the record of this call is not readable; check its effect before sending it with another idempotency key")
	}
	if existing.BodyDigest != ticket.claim.BodyDigest {
		return false, refusal.New(refusal.IdempotencyKeyReused, "this idempotency key came with another call before; use a new key for a new call")
	}
	if existing.State == Done {
		ticket.Answer = existing.Answer
		return true, nil
	}
	if existing.Nonce == ticket.claim.Nonce {
		ticket.version = object.Metadata.ResourceVersion
		return true, nil
	}
	if time.Now().Before(existing.Deadline) {
		return false, refusal.New(refusal.InProgress, "the same call is running; ask again for its answer").WithRetryAt(time.Now().Add(inProgressRetryAfter))
	}
	return false, refusal.New(refusal.OutcomeUnknown, "the same call was sent before and its answer is not known; check its effect before sending it with another idempotency key")
}

// Record stores the answer for repeated calls. It retries if the platform does not
// answer; an answer that an earlier attempt has stored counts as success.
func (ticket *Ticket) Record(ctx context.Context, answer Answer) error {
	if len(answer.Body) > MaxAnswer {
		answer.Body, answer.BodyOmitted = nil, true
	}
	recorded := ticket.claim
	recorded.State = Done
	recorded.Answer = &answer
	var lastErr error
	for attempt := range maxAttempts {
		_, err := ticket.claimer.objects.Update(ctx, objects.Claims, ticket.name, ticket.version, recorded)
		if err == nil || errors.Is(err, objects.ErrConflict) {
			return nil // a conflict: an earlier attempt took effect
		}
		lastErr = err
		if !waitToRetry(ctx, attempt) {
			break
		}
	}
	return errors.Wrap(lastErr, "record answer; repeated calls will be refused because the outcome is unknown")
}

// Release deletes the claim so that the call can be sent later. It must be called
// only if the call was certainly not sent. If the deletion fails, a repeated call is
// refused because its outcome is unknown, which is safe.
func (ticket *Ticket) Release(ctx context.Context) {
	for attempt := range maxAttempts {
		err := ticket.claimer.objects.Delete(ctx, objects.Claims, ticket.name, ticket.version)
		if err == nil || errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict) {
			return
		}
		if !waitToRetry(ctx, attempt) {
			return
		}
	}
}
