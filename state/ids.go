package state

import "fmt"

type (
	// DaemonID identifies one daemon for the lifetime of its instance, for
	// example "entry-3". A replacement on the same instance keeps the ID and
	// uses a higher Incarnation.
	DaemonID string

	// InstanceID identifies one instance in the platform's instance list.
	InstanceID string

	// BackendID identifies one backend server: a model engine or a plain server.
	BackendID string

	// ReplicaID identifies one replica: a chain of backend servers, or a single
	// plain server, that can serve a complete request.
	ReplicaID string

	// ServiceID identifies one service and its document.
	ServiceID string

	// CustomerID identifies one customer of a service.
	CustomerID string

	// ClassID identifies a request class of a service document, such as "check".
	ClassID string

	// FailureDomain identifies a part of a region that fails as a unit.
	FailureDomain string

	// Region identifies a group of failure domains with low-latency links
	// between them.
	Region string

	// RequestID identifies one accepted request across the site. The entry
	// daemon builds it from its own ID and a random part; callers use it for
	// status, cancel and re-attach calls.
	RequestID string

	// IdempotencyKey is chosen by the caller. Two requests of the same customer
	// and service with the same key are treated as one request.
	IdempotencyKey string

	// Nonce distinguishes the claimants of one idempotency key.
	Nonce string
)

// BackendIncarnation identifies one run of a backend server's process. A server
// that restarts may keep its ID, but it has lost its layers and everything that
// it was sent before.
type BackendIncarnation struct {
	ID BackendID `msgpack:"id"`
	// Born is the start time in Unix milliseconds by the server's own clock, or 0
	// if the server does not report it. It distinguishes two incarnations with the
	// same ID but does not order them, since clocks differ.
	Born int64 `msgpack:"born,omitempty"`
}

// String returns the ID, followed by the start time where it is known.
func (i BackendIncarnation) String() string {
	if i.Born == 0 {
		return string(i.ID)
	}
	return fmt.Sprintf("%s@%d", i.ID, i.Born)
}

// Incarnation orders the processes that run under one DaemonID: a later process
// has a strictly higher value.
type Incarnation uint64

// FencingNumber orders the holders of one lease: a later holder has a strictly
// higher number.
type FencingNumber uint64

// DocumentVersion orders the accepted versions of one service document. The
// first is 1.
type DocumentVersion uint64

// Member identifies one incarnation of one daemon.
type Member struct {
	ID          DaemonID    `msgpack:"id" json:"id"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
}

// String returns "id/incarnation".
func (m Member) String() string {
	return fmt.Sprintf("%s/%d", m.ID, m.Incarnation)
}
