package state

// Execution is what is known about the execution of a request that ended without
// a complete answer.
type Execution string

// The values of Execution.
const (
	// ExecutionNotRun: no backend server started the request, and none will.
	ExecutionNotRun Execution = "not_run"
	// ExecutionStarted: a backend server started the request, which did not
	// complete.
	ExecutionStarted Execution = "started"
	// ExecutionUnknown: it is not known whether the request ran.
	ExecutionUnknown Execution = "unknown"
)

// Reason is why a request ended without a complete answer. The set is closed;
// each value is a label value of the counters in docs/COUNTERS.md.
type Reason string

// The values of Reason.
const (
	ReasonBadRequest       Reason = "bad_request"       // the request violates the service document
	ReasonUnknownService   Reason = "unknown_service"   // no active document has that name
	ReasonUnknownCustomer  Reason = "unknown_customer"  // the document does not list the customer
	ReasonCustomerLimit    Reason = "customer_limit"    // the customer's limit is exhausted
	ReasonQueueFull        Reason = "queue_full"        // the queue of the class is full
	ReasonDeadline         Reason = "deadline"          // the deadline can't be met or has passed
	ReasonNoReplica        Reason = "no_replica"        // no replica of the service can serve
	ReasonStoreUnavailable Reason = "store_unavailable" // a claim can't be written before the deadline
	ReasonQuarantined      Reason = "quarantined"       // its content crashed backend servers earlier
	ReasonDraining         Reason = "draining"          // this daemon is shutting down; use another one
	ReasonIsolated         Reason = "isolated"          // this daemon can't verify that its documents are current
	ReasonDuplicate        Reason = "duplicate"         // a request with the same idempotency key has run or may have run
	ReasonKeyReused        Reason = "key_reused"        // the idempotency key was used before with other content
	ReasonRetriesExhausted Reason = "retries_exhausted" // the retry budget or the attempt limit is exhausted
	ReasonBackendFailed    Reason = "backend_failed"    // a backend server failed a request that may not be repeated
	ReasonCanceled         Reason = "canceled"          // the caller canceled it
	ReasonUnknownRequest   Reason = "unknown_request"   // this daemon knows no request with that id
	ReasonInternal         Reason = "internal"          // a defect in hibiscuswick
)

// Reasons returns every Reason once, in the order of docs/COUNTERS.md.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnknownService, ReasonUnknownCustomer,
		ReasonCustomerLimit, ReasonQueueFull, ReasonDeadline, ReasonNoReplica,
		ReasonStoreUnavailable, ReasonQuarantined, ReasonDraining,
		ReasonIsolated, ReasonDuplicate, ReasonKeyReused,
		ReasonRetriesExhausted, ReasonBackendFailed, ReasonCanceled,
		ReasonUnknownRequest, ReasonInternal,
	}
}

// Outcome is how a request ended: Completed, Refused, Failed or Unknown. It is a
// value and not an error; errors report invalid input and violated invariants.
type Outcome interface {
	outcome()
}

// Completed means that every token of the answer was written to the caller's
// stream.
type Completed struct {
	Tokens int
}

// Refused means that the request was not run. It is created only by NewRefused.
type Refused struct {
	Reason     Reason
	RetryAfter RetryAfter
	proof      NotRunProof
}

// Failed means that execution started and the answer stays incomplete.
type Failed struct {
	Reason Reason
	Tokens int // tokens already delivered to the caller
}

// Unknown means that it is not known whether the request ran. It is never run
// again.
type Unknown struct {
	Reason Reason
}

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Failed) outcome()    {}
func (Unknown) outcome()   {}

// RetryAfter is the time in whole seconds after which a retry by the caller may
// succeed; 0 means unknown.
type RetryAfter uint32

// NewRefused returns the refusal of a request that did not run according to p.
// It panics if p is not valid: callers rely on being able to repeat a refused
// request safely, so an invalid proof is a violated invariant.
func NewRefused(p NotRunProof, reason Reason, after RetryAfter) Refused {
	if !p.valid {
		panic("state: refusal without proof that the request was not run")
	}
	return Refused{Reason: reason, RetryAfter: after, proof: p}
}

// Conclude returns the outcome that follows from d for a request that ends with
// reason after the given number of tokens was delivered to its caller.
func Conclude(d *Dispatches, reason Reason, tokens int, after RetryAfter) Outcome {
	if p, ok := d.NotRun(); ok {
		return NewRefused(p, reason, after)
	}
	if d.started {
		return Failed{Reason: reason, Tokens: tokens}
	}
	return Unknown{Reason: reason}
}
