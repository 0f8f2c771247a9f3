// Package objects is a client of the platform's versioned object API.
//
// The API follows the style of Kubernetes: collections of objects with a resource
// version, creation, conditional update and deletion, lists, watches with
// bookmarks, and 410 Gone for a watch from a version that is too old. All persistent
// state is stored in such objects.
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

// Errors of the API. After an error that matches none of them, or one marked
// ErrUnknown, a change may or may not have taken effect.
var (
	ErrNotFound    = errors.New("object not found")
	ErrExists      = errors.New("object exists already")
	ErrConflict    = errors.New("object was changed meanwhile; read it again")
	ErrGone        = errors.New("resource version is too old; list again")
	ErrThrottled   = errors.New("platform is rate limiting; retry later")
	ErrUnavailable = errors.New("platform is unavailable; retry later")
	ErrUnknown     = errors.New("platform's answer was lost; read the object back")
)

// Collection is the name of a collection of objects.
type Collection string

// Collections in use.
const (
	Configs Collection = "configs"
	Claims  Collection = "claims"
	Rights  Collection = "rights"
	Leases  Collection = "leases"
	Plans   Collection = "plans"
	Audits  Collection = "audits"
	Status  Collection = "statuses"
	// VMs is the list of live and leaving VMs. It is read-only and may be out of
	// date.
	VMs Collection = "vms"
	// Targets contains the registrations of targets, and Weights the weights
	// versions that operators named, on platforms that store them.
	Targets Collection = "targets"
	Weights Collection = "weights"
	// Rollouts contains operators' orders to release software versions, and Releases how
	// far they have come, on platforms that store them.
	Rollouts Collection = "rollouts"
	Releases Collection = "releases"
	// Quarantines contains the parts of prompts that crash targets.
	Quarantines Collection = "quarantines"
	// Software contains the log of software versions of each service with streams that
	// can be resumed, Origins the records of where such streams began.
	Software Collection = "software"
	Origins  Collection = "origins"
)

// APIPath is the path prefix of the collections.
const APIPath = "/apis/bramleygw.io/v1/"

// Version is a resource version. It increases with each change of any object.
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

// List contains all objects of a collection at one version.
type List struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata contains the version of a list.
type ListMetadata struct {
	ResourceVersion Version `json:"resourceVersion"`
}

// EventType is the type of a watch event.
type EventType string

// Event types.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	Bookmark EventType = "BOOKMARK"
	Error    EventType = "ERROR"
)

// WatchEvent is one event of a watch, which the platform sends as one line of JSON.
type WatchEvent struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Position is the version of the newest known change of a collection.
type Position struct {
	Collection Collection
	Version    Version
}

// Watch requests the changes of a collection after version From. It ends at Until
// at the latest.
type Watch struct {
	Collection Collection
	From       Version
	Until      time.Time
	// AcceptsLate allows the platform to report changes seconds late, if it offers
	// that more cheaply.
	AcceptsLate bool
}

// VMState is the state of a listed VM.
type VMState string

// States of a listed VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an item of the collection VMs.
type VM struct {
	Name             string  `json:"name"`
	AvailabilityZone string  `json:"availability_zone"`
	Address          string  `json:"address"`
	Role             string  `json:"role"`
	State            VMState `json:"state"`
}

// Roles of listed VMs.
const (
	RoleRouter = "router"
	RoleTarget = "target"
)
