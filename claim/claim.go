// Package claim makes non-idempotent calls run at most once.
//
// Before a call with an idempotency key is sent, its claim is created in the
// platform; only one creation can succeed, whichever VM the call reaches. After
// the claim the call is sent once and its answer is recorded. A repeat gets the
// recorded answer, or is told that the outcome is unknown; it never runs. A
// claim is given back only when the call was certainly not sent.
// docs/design/at_most_once.md tells what was weighed.
//
// # Usage
//
//	book := claim.NewBook(platformClient, "vm-1")
//	ticket, err := book.Claim(ctx, account, idempotencyKey, body, deadline)
//	if err != nil { ... } // a refusal
//	if ticket.Answer != nil { ... } // it ran before: replay
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

// MaxAnswer is the longest answer body that is recorded, in bytes. Of a longer
// one only the status is kept, and a repeat is told that it ran.
const MaxAnswer = 256 << 10

const (
	attempts     = 4
	retryPause   = 20 * time.Millisecond
	nonceBytes   = 16
	retryAfter   = time.Second
	outageReturn = 2 * time.Second
)

// Objects is the part of the platform that claims need.
type Objects interface {
	Get(ctx context.Context, collection objects.Collection, name string) (objects.Object, error)
	Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error)
	Update(ctx context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error)
	Delete(ctx context.Context, collection objects.Collection, name string, version objects.Version) error
}

// State is how far a claimed call has come.
type State string

// The states.
const (
	Claimed State = "claimed"
	Done    State = "done"
)

// Answer is the recorded answer of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Cut tells that the body was too long to keep.
	Cut bool `json:"cut,omitempty"`
}

// Claim is the object in the platform.
type Claim struct {
	Owner string `json:"owner"`
	// Nonce tells this attempt's creation from any other.
	Nonce string `json:"nonce"`
	// BodyDigest is the SHA-256 of the call, in hex.
	BodyDigest string    `json:"body_digest"`
	Deadline   time.Time `json:"deadline"`
	State      State     `json:"state"`
	Answer     *Answer   `json:"answer,omitempty"`
}

// Book makes claims for one VM.
type Book struct {
	objects Objects
	owner   string
}

// NewBook returns a book that signs claims with the VM's name.
func NewBook(objects Objects, owner string) *Book {
	return &Book{objects: objects, owner: owner}
}

// Ticket is the right to send a call once, or the answer of a call that ran.
type Ticket struct {
	// Answer is set when the call ran before.
	Answer *Answer

	book    *Book
	name    string
	version objects.Version
	claim   Claim
}

// Name returns the platform name of a claim. The idempotency key is hashed, as
// callers may put anything in it.
func Name(account, key string) string {
	digest := sha256.New()
	digest.Write([]byte(account))
	digest.Write([]byte{0})
	digest.Write([]byte(key))
	return hex.EncodeToString(digest.Sum(nil))
}

// Claim takes the right to send a call. Refusals: InProgress or OutcomeUnknown
// when the call was claimed before, IdempotencyKeyReused when the key came with
// another body, PlatformUnavailable when no claim is possible; after the last
// two, this attempt did not run.
func (book *Book) Claim(ctx context.Context, account, key string, body []byte, deadline time.Time) (*Ticket, error) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	digest := sha256.Sum256(body)
	ticket := &Ticket{book: book, name: Name(account, key), claim: Claim{
		Owner:      book.owner,
		Nonce:      hex.EncodeToString(nonce),
		BodyDigest: hex.EncodeToString(digest[:]),
		Deadline:   deadline,
		State:      Claimed,
	}}
	for attempt := range attempts {
		settled, err := ticket.try(ctx)
		if settled || err != nil {
			return ticket.result(err)
		}
		if !pause(ctx, attempt) {
			break
		}
	}
	return nil, refusal.New(refusal.PlatformUnavailable,
		"calls that may run once need the platform, which does not answer; send the same idempotency key again later").At(time.Now().Add(outageReturn))
}

func (ticket *Ticket) result(err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

func pause(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(retryPause << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try creates the claim once. It returns true when the claim is this ticket's
// or has an answer, an error when it is another's, and neither when the
// platform did not say.
func (ticket *Ticket) try(ctx context.Context) (bool, error) {
	object, err := ticket.book.objects.Create(ctx, objects.Claims, ticket.name, ticket.claim)
	if err == nil {
		ticket.version = object.Metadata.ResourceVersion
		return true, nil
	}
	if !errors.Is(err, objects.ErrExists) {
		// Even a refused connection may follow a creation that took effect in an
		// earlier attempt; the next creation finds out.
		return false, nil
	}
	object, err = ticket.book.objects.Get(ctx, objects.Claims, ticket.name)
	if err != nil {
		return false, nil
	}
	return ticket.compare(object)
}

// compare settles a creation that found a claim there.
func (ticket *Ticket) compare(object objects.Object) (bool, error) {
	var known Claim
	if err := json.Unmarshal(object.Spec, &known); err != nil {
		return false, refusal.New(refusal.OutcomeUnknown, "the record of this call is not readable; check its effect before sending it with another idempotency key")
	}
	if known.BodyDigest != ticket.claim.BodyDigest {
		return false, refusal.New(refusal.IdempotencyKeyReused, "this idempotency key came with another call before; use a new key for a new call")
	}
	if known.State == Done {
		ticket.Answer = known.Answer
		return true, nil
	}
	if known.Nonce == ticket.claim.Nonce {
		ticket.version = object.Metadata.ResourceVersion
		return true, nil
	}
	if time.Now().Before(known.Deadline) {
		return false, refusal.New(refusal.InProgress, "the same call is running; ask again for its answer").At(time.Now().Add(retryAfter))
	}
	return false, refusal.New(refusal.OutcomeUnknown, "the same call was sent before and its answer is not known; check its effect before sending it with another idempotency key")
}

// Record keeps the answer for repeats. It tries again when the platform does
// not answer; a record that was made already counts as made.
func (ticket *Ticket) Record(ctx context.Context, answer Answer) error {
	if len(answer.Body) > MaxAnswer {
		answer.Body, answer.Cut = nil, true
	}
	done := ticket.claim
	done.State = Done
	done.Answer = &answer
	var last error
	for attempt := range attempts {
		_, err := ticket.book.objects.Update(ctx, objects.Claims, ticket.name, ticket.version, done)
		if err == nil || errors.Is(err, objects.ErrConflict) {
			return nil // a conflict: an earlier attempt took effect
		}
		last = err
		if !pause(ctx, attempt) {
			break
		}
	}
	return errors.Wrap(last, "record the answer; a repeat will be told that the outcome is unknown")
}

// Release gives the claim back: the call was certainly not sent. When it fails,
// a repeat is told that the outcome is unknown, which is safe.
func (ticket *Ticket) Release(ctx context.Context) {
	for attempt := range attempts {
		err := ticket.book.objects.Delete(ctx, objects.Claims, ticket.name, ticket.version)
		if err == nil || errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict) {
			return
		}
		if !pause(ctx, attempt) {
			return
		}
	}
}
