package state

import "fmt"

type (
	// DaemonID names one daemon for the life of its instance, for example
	// "entry-3". A replacement on the same instance keeps the name and takes
	// a higher Incarnation.
	DaemonID string

	// InstanceID names one instance of the platform's instance list.
	InstanceID string

	// BackendID names one backend server: a model engine or a plain service.
	BackendID string

	// ReplicaID names one replica: a chain of backend servers (or a single
	// plain one) that can serve a request whole.
	ReplicaID string

	// ServiceID names one service, and so its document.
	ServiceID string

	// CustomerID names one customer of a service.
	CustomerID string

	// ClassID names a request class of a service document, such as "check".
	ClassID string

	// FailureDomain names a part of a region that fails as one.
	FailureDomain string

	// Region names a group of failure domains joined by short links.
	Region string

	// RequestID names one accepted request site-wide. The entry daemon makes
	// it from its own name and a random part; callers use it for status,
	// cancel and re-attach.
	RequestID string

	// IdempotencyKey is the caller's own name for a piece of work. Two
	// requests of one customer and service with one key are the same work.
	IdempotencyKey string

	// Nonce tells one claimant of an idempotency key from every other.
	Nonce string
)

// Life is one start of one backend server. A server that starts again may keep its
// name; it then holds nothing that it held, and knows nothing of what it was told.
type BackendIncarnation struct {
	ID BackendID `msgpack:"id"`
	// Born is when it started, in Unix ms by its own clock. It tells two lives of one
	// name apart and does not order them, since clocks differ; 0 if it does not say.
	Born int64 `msgpack:"born,omitempty"`
}

// String gives the name, and the start where it is known.
func (l BackendIncarnation) String() string {
	if l.Born == 0 {
		return string(l.ID)
	}
	return fmt.Sprintf("%s@%d", l.ID, l.Born)
}

// Incarnation orders the lives of one daemon: a later process of the same
// DaemonID has a strictly higher one.
type Incarnation uint64

// FencingNumber orders the holders of one lease: a later holder has a strictly
// higher one.
type FencingNumber uint64

// DocumentVersion orders the accepted states of one service document, from 1.
type DocumentVersion uint64

// Member is one life of one daemon.
type Member struct {
	ID          DaemonID    `msgpack:"id" json:"id"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
}

// String gives "id/incarnation".
func (m Member) String() string {
	return fmt.Sprintf("%s/%d", m.ID, m.Incarnation)
}
