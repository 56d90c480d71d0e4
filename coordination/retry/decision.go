package retry

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Failure is what is known when an attempt has failed.
type Failure struct {
	Service  state.ServiceID
	Customer state.CustomerID

	// Policy is the retry part of the service's document; zero fields take the
	// defaults of Config.
	Policy service.Retry

	// Cause becomes the reason of the retry, if there is one.
	Cause state.RetryReason

	// Attempts counts the attempts of the request so far, the failed one
	// included.
	Attempts int

	// Execution is what the request's record proves of all attempts so far.
	Execution state.Execution

	// Repeatable reports whether the request may run more than once.
	Repeatable bool

	// Tried are the replicas of the earlier attempts; Replica is that of the
	// failed one, empty when none was chosen yet.
	Tried   []state.ReplicaID
	Replica state.ReplicaID

	// Blameless reports that Replica works and only declined, so that other
	// requests need not avoid it.
	ReplicaHealthy bool

	// Deadline is when the caller no longer wants the answer; zero for never.
	Deadline time.Time
}

// Decision is Again or Stop.
type Decision interface {
	decision()
}

// Again permits one more attempt.
type Allow struct {
	Reason state.RetryReason
	After  time.Duration // wait from now, 0 or more

	// Exclude are the replicas not to choose: those of the request's own
	// attempts, then others of the service that failed just before.
	Exclude []state.ReplicaID
}

// Stop ends the request.
type Deny struct {
	Denial Denial
}

func (Allow) decision() {}
func (Deny) decision()  {}

// Denial is the closed list of why a failed attempt is not repeated. Each has
// a counter of the same name.
type Denial string

// The values of Denial.
const (
	DenialNotRepeatable  Denial = "not_repeatable"  // it may have run, and may run only once
	DenialAttempts       Denial = "attempts"        // the attempt limit is used up
	DenialServiceBudget  Denial = "service_budget"  // the service's recent retries use up its budget
	DenialCustomerBudget Denial = "customer_budget" // the customer's recent retries use up its budget
	DenialDeadline       Denial = "deadline"        // the deadline has passed
)

// Denials lists every Denial once.
func Denials() []Denial {
	return []Denial{
		DenialNotRepeatable, DenialAttempts, DenialServiceBudget,
		DenialCustomerBudget, DenialDeadline,
	}
}

// Reason is what the caller is told of a request that ends with d.
func (d Denial) Reason() state.Reason {
	switch d {
	case DenialNotRepeatable:
		return state.ReasonBackendFailed
	case DenialDeadline:
		return state.ReasonDeadline
	default:
		return state.ReasonRetriesExhausted
	}
}
