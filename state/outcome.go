package state

// Execution is what is known of a request's execution when it ends without a
// whole answer.
type Execution string

// The values of Execution.
const (
	// ExecutionNotRun: no backend server began it, and none will.
	ExecutionNotRun Execution = "not_run"
	// ExecutionStarted: a backend server began it; it did not complete.
	ExecutionStarted Execution = "started"
	// ExecutionUnknown: it can't be told whether it ran.
	ExecutionUnknown Execution = "unknown"
)

// Reason is the closed list of why a request ended without a whole answer.
// Each has a counter of the same name (docs/COUNTERS.md).
type Reason string

// The values of Reason.
const (
	ReasonBadRequest       Reason = "bad_request"       // the request breaks the service's document
	ReasonUnknownService   Reason = "unknown_service"   // no document of that name is in force
	ReasonUnknownCustomer  Reason = "unknown_customer"  // the document does not list the customer
	ReasonCustomerLimit    Reason = "customer_limit"    // the customer's limit is used up
	ReasonQueueFull        Reason = "queue_full"        // the class's queue is at its bound
	ReasonDeadline         Reason = "deadline"          // the deadline can't be met or has passed
	ReasonNoReplica        Reason = "no_replica"        // no replica of the service can serve
	ReasonStoreUnavailable Reason = "store_unavailable" // a claim can't be written before the deadline
	ReasonQuarantined      Reason = "quarantined"       // its content crashed backend servers before
	ReasonDraining         Reason = "draining"          // this daemon is stopping; use another
	ReasonIsolated         Reason = "isolated"          // this daemon can't know that its documents are current
	ReasonDuplicate        Reason = "duplicate"         // the same idempotency key has already run or may have
	ReasonKeyReused        Reason = "key_reused"        // the idempotency key came before with other content
	ReasonRetriesExhausted Reason = "retries_exhausted" // the retry budget or the attempt limit is used up
	ReasonBackendFailed    Reason = "backend_failed"    // a backend server failed a request that may not be repeated
	ReasonCanceled         Reason = "canceled"          // the caller canceled it
	ReasonUnknownRequest   Reason = "unknown_request"   // no request of that id is known here
	ReasonInternal         Reason = "internal"          // a defect of ours
)

// Reasons lists every Reason once, in the order of docs/COUNTERS.md.
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

// Outcome is how one request ended: Completed, Refused, Failed or Unknown. It
// is a value; errors are for broken input and broken invariants.
type Outcome interface {
	outcome()
}

// Completed says that every token of the answer was given to the caller's stream.
type Completed struct {
	Tokens int
}

// Refused says that the request was not run. Only NewRefused makes one.
type Refused struct {
	Reason     Reason
	RetryAfter RetryAfter
	proof      NotRunProof
}

// Failed says that execution began, and the answer will not be whole.
type Failed struct {
	Reason Reason
	Tokens int // tokens already given to the caller
}

// Unknown says that it can't be told whether the request ran. It is never run again.
type Unknown struct {
	Reason Reason
}

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Failed) outcome()    {}
func (Unknown) outcome()   {}

// RetryAfter is when a caller may usefully come back, in whole seconds; 0 means
// that nothing is known.
type RetryAfter uint32

// NewRefused builds the refusal of a request that p proves not run. It panics
// on a proof that proves nothing: a broken invariant, since callers are told
// that they may safely repeat a refused request.
func NewRefused(p NotRunProof, reason Reason, after RetryAfter) Refused {
	if !p.valid {
		panic("state: refusal without proof that the request was not run")
	}
	return Refused{Reason: reason, RetryAfter: after, proof: p}
}

// Conclude gives the outcome that d allows for a request that ends with reason
// after tokens were given to its caller.
func Conclude(d *Dispatches, reason Reason, tokens int, after RetryAfter) Outcome {
	if p, ok := d.NotRun(); ok {
		return NewRefused(p, reason, after)
	}
	if d.began {
		return Failed{Reason: reason, Tokens: tokens}
	}
	return Unknown{Reason: reason}
}
