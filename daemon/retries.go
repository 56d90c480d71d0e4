package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// retriesPart holds the retry budgets of this daemon's requests.
type retriesPart struct {
	c       *control
	budgets *retry.Budgets
}

func newRetriesPart(c *control) *retriesPart {
	return &retriesPart{c: c, budgets: retry.New(retry.Config{}, c.now, c.rng)}
}

// decide answers a request whose attempt was lost.
func (p *retriesPart) decide(r *runner, a request.DecideRetry) {
	var policy service.Retry
	if v, ok := p.c.documents.inForce[r.spec.Service]; ok {
		policy = v.Document.Retry
	}
	failure := retry.Failure{
		Service:    r.spec.Service,
		Customer:   r.spec.Customer,
		Policy:     policy,
		Cause:      a.Reason,
		Attempts:   len(a.Tried) + 1,
		Execution:  a.Execution,
		Repeatable: !r.spec.NeverRepeat,
		Tried:      a.Tried,
		Replica:    a.Replica,
	}
	switch d := p.budgets.Decide(p.c.now, failure).(type) {
	case retry.Allow:
		p.c.d.metrics.Retried(d.Reason)
		p.c.d.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.spec.ID),
			telemetry.RetryReason(d.Reason), telemetry.Replica(a.Replica))
		at := p.c.now.Add(d.After)
		go r.post(request.RetryDecided{Allowed: true, At: at, Exclude: d.Exclude})
	case retry.Deny:
		p.denied(r, d.Denial)
		go r.post(request.RetryDecided{Reason: d.Denial.Reason()})
	}
}

// denied counts a lost attempt that is not repeated.
func (p *retriesPart) denied(r *runner, d retry.Denial) {
	p.c.d.metrics.CountReason(telemetry.RetryDeniedTotal, string(d))
	if d == retry.DenialServiceBudget || d == retry.DenialCustomerBudget {
		p.c.d.log.Emit(telemetry.EventRetryBudgetEmpty, telemetry.Service(r.spec.Service),
			telemetry.Customer(r.spec.Customer), telemetry.Detail(string(d)))
	}
}

// ended feeds the budgets with what succeeded.
func (p *retriesPart) ended(r *runner, o state.Outcome) {
	if _, ok := o.(state.Completed); ok {
		p.budgets.Succeeded(p.c.now, r.spec.Service, r.spec.Customer)
	}
}

func (p *retriesPart) nextTick(time.Time) time.Time { return time.Time{} }
func (p *retriesPart) tick(time.Time)               {}
