package retry

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const (
	// MaxLenders is how many daemons are asked for one retry, one after another.
	MaxLenders = 3
	// LoanTimeout is how long one of them may take to answer.
	LoanTimeout = 100 * time.Millisecond

	// maxOpenLoans bounds the retries that a daemon asks for at the same time.
	maxOpenLoans = 64
	// loanBackoff is how long a daemon asks for no retry of a budget after all lenders
	// have refused one.
	loanBackoff = 250 * time.Millisecond
)

// LoanRequest asks another daemon for one retry out of its budgets.
type LoanRequest struct {
	Service  state.ServiceID  `msgpack:"service"`
	Customer state.CustomerID `msgpack:"customer"`
}

// LoanReply answers a LoanRequest.
type LoanReply struct {
	Granted bool `msgpack:"granted"`
}

// Lend takes one retry from both budgets for another daemon. A retry counts where it was
// taken, so that all daemons together retry no more than their budgets permit.
func (b *Budgets) Lend(now time.Time, r LoanRequest, policy service.Retry) LoanReply {
	f := Failure{Service: r.Service, Customer: r.Customer}
	_, ok := b.spend(now, f, withPolicyDefaults(policy).BudgetRatio)
	return LoanReply{Granted: ok}
}

// AllowLent returns the decision for a failed attempt whose retry another daemon lends.
func (b *Budgets) AllowLent(now time.Time, f Failure) Allow {
	return b.allow(now, f)
}

// Loans decides which of the retries that the own budgets deny are asked of other daemons.
// It is not safe for concurrent use.
type Loans struct {
	open    int
	refused map[customerKey]time.Time // end of the back-off
}

// NewLoans returns a Loans without open loans.
func NewLoans() *Loans {
	return &Loans{refused: make(map[customerKey]time.Time)}
}

// Begin reports whether to ask for the retry that d denied. End must follow if it does.
func (l *Loans) Begin(now time.Time, d Denial, f Failure) bool {
	key, lendable := loanKey(d, f)
	if !lendable || l.open >= maxOpenLoans || now.Before(l.refused[key]) {
		return false
	}
	l.open++
	return true
}

// End reports whether a daemon has lent the retry.
//
// Guard (loans-in-an-outage): when all budgets are exhausted, each failed attempt would ask
// several daemons in vain.
func (l *Loans) End(now time.Time, d Denial, f Failure, granted bool) {
	l.open--
	if granted {
		return
	}
	for key, until := range l.refused {
		if !now.Before(until) {
			delete(l.refused, key)
		}
	}
	if key, lendable := loanKey(d, f); lendable {
		l.refused[key] = now.Add(loanBackoff)
	}
}

// loanKey identifies the budget that a loan stands in for. A service's budget has no
// customer.
func loanKey(d Denial, f Failure) (customerKey, bool) {
	switch d {
	case DenialServiceBudget:
		return customerKey{service: f.Service}, true
	case DenialCustomerBudget:
		return customerKey{service: f.Service, customer: f.Customer}, true
	default:
		return customerKey{}, false
	}
}
