package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// retriesComponent holds the retry budgets of this daemon's requests.
type retriesComponent struct {
	c       *control
	budgets *retry.Budgets
}

func newRetriesComponent(c *control) *retriesComponent {
	return &retriesComponent{c: c, budgets: retry.New(retry.Config{}, c.now, c.rng)}
}

// decide decides whether a request whose attempt was lost is retried.
func (rc *retriesComponent) decide(r *runner, a request.DecideRetry) {
	var policy service.Retry
	if v, ok := rc.c.documents.active[r.spec.Service]; ok {
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
	switch d := rc.budgets.Decide(rc.c.now, failure).(type) {
	case retry.Allow:
		rc.c.d.metrics.Retried(d.Reason)
		rc.c.d.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.spec.ID),
			telemetry.RetryReason(d.Reason), telemetry.Replica(a.Replica))
		at := rc.c.now.Add(d.After)
		go r.post(request.RetryDecided{Allowed: true, At: at, Exclude: d.Exclude})
	case retry.Deny:
		rc.denied(r, d.Denial)
		go r.post(request.RetryDecided{Reason: d.Denial.Reason()})
	}
}

// denied counts a lost attempt that is not retried.
func (rc *retriesComponent) denied(r *runner, d retry.Denial) {
	rc.c.d.metrics.CountReason(telemetry.RetryDeniedTotal, string(d))
	if d == retry.DenialServiceBudget || d == retry.DenialCustomerBudget {
		rc.c.d.log.Emit(telemetry.EventRetryBudgetEmpty, telemetry.Service(r.spec.Service),
			telemetry.Customer(r.spec.Customer), telemetry.Detail(string(d)))
	}
}

// requestEnded refills the budgets for a completed request.
func (rc *retriesComponent) requestEnded(r *runner, o state.Outcome) {
	if _, ok := o.(state.Completed); ok {
		rc.budgets.Succeeded(rc.c.now, r.spec.Service, r.spec.Customer)
	}
}

func (rc *retriesComponent) nextTick(time.Time) time.Time { return time.Time{} }
func (rc *retriesComponent) tick(time.Time)               {}
