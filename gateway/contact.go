package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

// contact is a call to a target that is not a caller's request: a report or an order.
type contact struct {
	*roster.Contact
	id      string
	gateway *Gateway
	client  *target.Client
}

// newContact returns a contact with a target. It returns false if the target is not
// registered or may get nothing now.
func (gateway *Gateway) newContact(id string) (*contact, bool) {
	rosterContact, ok := gateway.roster.Contact(id, time.Now())
	if !ok {
		return nil, false
	}
	return &contact{Contact: rosterContact, id: id, gateway: gateway, client: gateway.clients.Get(id, rosterContact.Address)}, true
}

// observe records what the head of an answer says about further requests.
func (contact *contact) observe(head target.Head) {
	contact.gateway.relay.ObserveHead(contact.Contact, contact.id, head, time.Now())
}

// recordMismatch records that a target's answer to another request was discarded.
func (gateway *Gateway) recordMismatch(id string, mismatch target.Mismatch) {
	gateway.metrics.AnswerMismatches.Add(1)
	gateway.Log.Emit(event.CrossedAnswer, event.F("target", id), event.F("request", mismatch.RequestID), event.F("answer_to", mismatch.AnswerID))
}
