package telemetry

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Keys of every line.
const (
	numberKey = "number"
	eventKey  = "event"
)

// Key is the closed list of names that fields of a line can have.
type Key string

// The values of Key.
const (
	KeyDaemon       Key = "daemon"
	KeyIncarnation  Key = "incarnation"
	KeyPeer         Key = "peer"
	KeyService      Key = "service"
	KeyCustomer     Key = "customer"
	KeyClass        Key = "class"
	KeyRequest      Key = "request"
	KeyAttempt      Key = "attempt"
	KeyReplica      Key = "replica"
	KeyBackend      Key = "backend"
	KeyDomain       Key = "failure_domain"
	KeyVersion      Key = "version"
	KeyEditID       Key = "edit_id"
	KeyFencing      Key = "fencing"
	KeyReason       Key = "reason"
	KeyRetryReason  Key = "retry_reason"
	KeyAddress      Key = "address"
	KeyCount        Key = "count"
	KeySeconds      Key = "seconds"
	KeyCause        Key = "cause"
	KeyDetail       Key = "detail"
	KeyLayers       Key = "layers"
	KeyFirstSeconds Key = "first_seconds"
)

// Keys lists every Key in the order of docs/EVENTS.md.
func Keys() []Key {
	return []Key{
		KeyDaemon, KeyIncarnation, KeyPeer, KeyService, KeyCustomer, KeyClass,
		KeyRequest, KeyAttempt, KeyReplica, KeyBackend, KeyDomain, KeyVersion,
		KeyEditID, KeyFencing, KeyReason, KeyRetryReason, KeyAddress, KeyCount,
		KeySeconds, KeyCause, KeyDetail, KeyLayers,
		KeyFirstSeconds,
	}
}

// Field is one named value of a line. Only the functions below make one, so
// that a key always carries the same kind of value.
type Field struct {
	key   Key
	value any
}

// Daemon is the daemon that writes the line.
func Daemon(id state.DaemonID) Field { return Field{KeyDaemon, id} }

// Incarnation is the life of the daemon that writes the line.
func Incarnation(n state.Incarnation) Field { return Field{KeyIncarnation, n} }

// Peer is the other daemon that the line is about.
func Peer(id state.DaemonID) Field { return Field{KeyPeer, id} }

// Service is the service that the line is about.
func Service(id state.ServiceID) Field { return Field{KeyService, id} }

// Customer is the customer that the line is about.
func Customer(id state.CustomerID) Field { return Field{KeyCustomer, id} }

// Class is the class of the request.
func Class(id state.ClassID) Field { return Field{KeyClass, id} }

// Request is the request that the line is about.
func Request(id state.RequestID) Field { return Field{KeyRequest, id} }

// Attempt is the execution of the request, from 1.
func Attempt(n state.Attempt) Field { return Field{KeyAttempt, n} }

// Replica is the replica that the line is about.
func Replica(id state.ReplicaID) Field { return Field{KeyReplica, id} }

// Backend is the backend server that the line is about.
func Backend(id state.BackendID) Field { return Field{KeyBackend, id} }

// Domain is the failure domain that the line is about.
func Domain(d state.FailureDomain) Field { return Field{KeyDomain, d} }

// Version is the version of a service document.
func Version(v state.DocumentVersion) Field { return Field{KeyVersion, v} }

// EditID is the operator's name for an edit.
func EditID(id string) Field { return Field{KeyEditID, id} }

// Fencing is the fencing number of a lease or order.
func Fencing(n state.FencingNumber) Field { return Field{KeyFencing, n} }

// Reason is why a request ended without a whole answer.
func Reason(r state.Reason) Field { return Field{KeyReason, r} }

// RetryReason is why a request is tried again.
func RetryReason(r state.RetryReason) Field { return Field{KeyRetryReason, r} }

// Address is an address, host:port.
func Address(a string) Field { return Field{KeyAddress, a} }

// Count is how many of what the event is about.
func Count(n int) Field { return Field{KeyCount, n} }

// Took is a time, written in seconds.
func Duration(d time.Duration) Field { return Field{KeySeconds, d.Seconds()} }

// Cause is the error behind the event; nil writes an empty text.
func Cause(err error) Field {
	if err == nil {
		return Field{KeyCause, ""}
	}
	return Field{KeyCause, err.Error()}
}

// Layers is a range of layers, such as "0-20", the second one excluded.
func Layers(r fleet.Range) Field {
	return Field{KeyLayers, fmt.Sprintf("%d-%d", r.From, r.To)}
}

// FirstTook is the time to the first event, written in seconds.
func TimeToFirstEvent(d time.Duration) Field { return Field{KeyFirstSeconds, d.Seconds()} }

// Detail is a short text for people.
func Detail(text string) Field { return Field{KeyDetail, text} }
