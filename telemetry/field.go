package telemetry

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Keys that every line has.
const (
	numberKey = "number"
	eventKey  = "event"
)

// Key is the name of a field of a log line. The set is closed.
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
	KeyContent      Key = "content"
)

// Keys returns every Key in the order of docs/EVENTS.md.
func Keys() []Key {
	return []Key{
		KeyDaemon, KeyIncarnation, KeyPeer, KeyService, KeyCustomer, KeyClass,
		KeyRequest, KeyAttempt, KeyReplica, KeyBackend, KeyDomain, KeyVersion,
		KeyEditID, KeyFencing, KeyReason, KeyRetryReason, KeyAddress, KeyCount,
		KeySeconds, KeyCause, KeyDetail, KeyLayers,
		KeyFirstSeconds, KeyContent,
	}
}

// Field is one field of a log line. It is created only by the functions below, so
// that the values of a key always have the same type.
type Field struct {
	key   Key
	value any
}

// Daemon is the id of the daemon that writes the line.
func Daemon(id state.DaemonID) Field { return Field{KeyDaemon, id} }

// Incarnation is the incarnation of the daemon that writes the line.
func Incarnation(n state.Incarnation) Field { return Field{KeyIncarnation, n} }

// Peer is another daemon that the line is about.
func Peer(id state.DaemonID) Field { return Field{KeyPeer, id} }

// Service is the service that the line is about.
func Service(id state.ServiceID) Field { return Field{KeyService, id} }

// Customer is the customer that the line is about.
func Customer(id state.CustomerID) Field { return Field{KeyCustomer, id} }

// Class is the class of the request.
func Class(id state.ClassID) Field { return Field{KeyClass, id} }

// Request is the request that the line is about.
func Request(id state.RequestID) Field { return Field{KeyRequest, id} }

// Attempt is the attempt of the request.
func Attempt(n state.Attempt) Field { return Field{KeyAttempt, n} }

// Replica is the replica that the line is about.
func Replica(id state.ReplicaID) Field { return Field{KeyReplica, id} }

// Backend is the backend server that the line is about.
func Backend(id state.BackendID) Field { return Field{KeyBackend, id} }

// Domain is the failure domain that the line is about.
func Domain(d state.FailureDomain) Field { return Field{KeyDomain, d} }

// Version is the version of a service document.
func Version(v state.DocumentVersion) Field { return Field{KeyVersion, v} }

// EditID is the id that an operator assigned to an edit.
func EditID(id string) Field { return Field{KeyEditID, id} }

// Fencing is the fencing number of a lease or an order.
func Fencing(n state.FencingNumber) Field { return Field{KeyFencing, n} }

// Reason is why a request ended without a complete answer.
func Reason(r state.Reason) Field { return Field{KeyReason, r} }

// RetryReason is why a request is retried.
func RetryReason(r state.RetryReason) Field { return Field{KeyRetryReason, r} }

// Address is an address in the form host:port.
func Address(a string) Field { return Field{KeyAddress, a} }

// Count is a count; the description of the event says of what.
func Count(n int) Field { return Field{KeyCount, n} }

// Duration is a duration, written in seconds.
func Duration(d time.Duration) Field { return Field{KeySeconds, d.Seconds()} }

// Cause is the error that caused the event; nil is written as an empty string.
func Cause(err error) Field {
	if err == nil {
		return Field{KeyCause, ""}
	}
	return Field{KeyCause, err.Error()}
}

// Layers is a range of layers such as "0-20", with the second number excluded.
func Layers(r fleet.Range) Field {
	return Field{KeyLayers, fmt.Sprintf("%d-%d", r.From, r.To)}
}

// TimeToFirstEvent is the time to the first event of a stream, written in seconds.
func TimeToFirstEvent(d time.Duration) Field { return Field{KeyFirstSeconds, d.Seconds()} }

// Content is the fingerprint of a request's content, in hexadecimal digits.
func Content(fingerprint uint64) Field { return Field{KeyContent, fmt.Sprintf("%016x", fingerprint)} }

// Detail is a short text for human readers.
func Detail(text string) Field { return Field{KeyDetail, text} }
