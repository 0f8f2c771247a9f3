// Package objects talks to the platform's versioned object API.
//
// The API follows the Kubernetes style: collections of objects with a resource
// version, creation, conditional update and deletion, lists, watches with
// bookmarks, and 410 Gone for a watch that fell too far behind. Everything
// that must last is an object there.
//
// # Usage
//
//	client := objects.New(address)
//	object, err := client.Create(ctx, objects.Claims, "claim-1", spec)
//	if errors.Is(err, objects.ErrExists) { ... }
package objects

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of the API. Errors that match none of them, and those marked
// ErrUnknown, leave open whether a change took effect.
var (
	ErrNotFound    = errors.New("object not found")
	ErrExists      = errors.New("object exists already")
	ErrConflict    = errors.New("object was changed meanwhile; read it again")
	ErrGone        = errors.New("resource version is too old; list again")
	ErrThrottled   = errors.New("platform is rate limiting; retry later")
	ErrUnavailable = errors.New("platform is unavailable; retry later")
	ErrUnknown     = errors.New("platform's answer was lost; read the object back")
)

// Collection names a kind of object.
type Collection string

// The collections in use.
const (
	Configs Collection = "configs"
	Claims  Collection = "claims"
	Rights  Collection = "rights"
	Leases  Collection = "leases"
	Plans   Collection = "plans"
	Audits  Collection = "audits"
	Status  Collection = "statuses"
	// VMs is the lagging list of live and leaving VMs; it is read only.
	VMs Collection = "vms"
	// Targets holds the registrations of targets, and Weights the versions that
	// operators named, on platforms that keep them.
	Targets Collection = "targets"
	Weights Collection = "weights"
)

// APIPath is the path under which the collections stand.
const APIPath = "/apis/bramleygw.io/v1/"

// Version is a resource version. It grows with each change of any object.
type Version uint64

// String returns the decimal form used on the wire.
func (version Version) String() string {
	return strconv.FormatUint(uint64(version), 10)
}

// MarshalJSON encodes the version as a string, as the API does.
func (version Version) MarshalJSON() ([]byte, error) {
	return json.Marshal(version.String())
}

// UnmarshalJSON decodes the API's string form.
func (version *Version) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return errors.Wrap(err, "resource version must be a string")
	}
	if digits == "" {
		*version = 0
		return nil
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return errors.Wrap(err, "resource version must be a decimal number")
	}
	*version = Version(number)
	return nil
}

// Metadata identifies one version of an object.
type Metadata struct {
	Name              string    `json:"name"`
	ResourceVersion   Version   `json:"resourceVersion"`
	CreationTimestamp time.Time `json:"creationTimestamp,omitzero"`
}

// Object is one object of a collection.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// List is a consistent view of a collection at one version.
type List struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata carries the version of a list.
type ListMetadata struct {
	ResourceVersion Version `json:"resourceVersion"`
}

// EventType tells what happened to a watched object.
type EventType string

// The event types.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	Bookmark EventType = "BOOKMARK"
	Error    EventType = "ERROR"
)

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Position tells up to which change a collection is known.
type Position struct {
	Collection Collection
	Version    Version
}

// Watch asks for changes of a collection after a version, until a deadline at the
// longest.
type Watch struct {
	Collection Collection
	From       Version
	Until      time.Time
	// Late watches may tell changes seconds late, where the platform offers that
	// more cheaply.
	Late bool
}

// VMState tells whether a listed VM is staying.
type VMState string

// The states.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry of the lagging list.
type VM struct {
	Name             string  `json:"name"`
	AvailabilityZone string  `json:"availability_zone"`
	Address          string  `json:"address"`
	Role             string  `json:"role"`
	State            VMState `json:"state"`
}

// The roles of listed VMs.
const (
	RoleRouter = "router"
	RoleTarget = "target"
)
