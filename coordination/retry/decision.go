package retry

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Failure describes a failed attempt and its request.
type Failure struct {
	Service  state.ServiceID
	Customer state.CustomerID

	// Policy is the retry policy of the service document. Zero fields take the
	// defaults.
	Policy service.Retry

	// Cause is the reason reported for the retry, if one is allowed.
	Cause state.RetryReason

	// Attempts is the number of attempts of the request so far, including the failed
	// one.
	Attempts int

	// Execution is what the request's record proves about all attempts so far.
	Execution state.Execution

	// Repeatable reports whether the request may run more than once.
	Repeatable bool

	// Tried lists the replicas of the earlier attempts. Replica is that of the failed
	// attempt, or empty if none had been chosen.
	Tried   []state.ReplicaID
	Replica state.ReplicaID

	// ReplicaHealthy is set if Replica works and only declined the request, so that
	// other requests need not avoid it.
	ReplicaHealthy bool

	// Deadline is when the caller stops waiting for the answer; zero means no deadline.
	Deadline time.Time
}

// Decision is Allow or Deny.
type Decision interface {
	decision()
}

// Allow permits one more attempt.
type Allow struct {
	Reason state.RetryReason
	After  time.Duration // delay from now, not negative

	// Exclude lists the replicas that must not be chosen: those of the request's own
	// attempts, then other recently failed replicas of the service.
	Exclude []state.ReplicaID
}

// Deny ends the request.
type Deny struct {
	Denial Denial
}

func (Allow) decision() {}
func (Deny) decision()  {}

// Denial is the reason why a failed attempt is not retried. Each value has a counter of
// the same name.
type Denial string

// The values of Denial.
const (
	DenialNotRepeatable  Denial = "not_repeatable"  // it may have run and must not run twice
	DenialAttempts       Denial = "attempts"        // the attempt limit is reached
	DenialServiceBudget  Denial = "service_budget"  // the retry budget of the service is exhausted
	DenialCustomerBudget Denial = "customer_budget" // the retry budget of the customer is exhausted
	DenialDeadline       Denial = "deadline"        // the deadline has passed
)

// Denials lists every Denial once.
func Denials() []Denial {
	return []Denial{
		DenialNotRepeatable, DenialAttempts, DenialServiceBudget,
		DenialCustomerBudget, DenialDeadline,
	}
}

// Reason returns the reason reported to the caller of a request that ends with d.
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
