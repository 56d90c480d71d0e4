package daemon

import (
	"context"
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
	loans   *retry.Loans
}

func newRetriesComponent(c *control) *retriesComponent {
	return &retriesComponent{c: c, budgets: retry.New(retry.Config{}, c.now, c.rng), loans: retry.NewLoans()}
}

// policy returns the retry policy of a service, or the defaults if its document is not
// known here.
func (rc *retriesComponent) policy(id state.ServiceID) service.Retry {
	if v, ok := rc.c.documents.active[id]; ok {
		return v.Document.Retry
	}
	return service.Retry{}
}

// decide decides whether a request whose attempt was lost is retried.
func (rc *retriesComponent) decide(r *runner, a request.DecideRetry) {
	failure := retry.Failure{
		Service:    r.spec.Service,
		Customer:   r.spec.Customer,
		Policy:     rc.policy(r.spec.Service),
		Cause:      a.Reason,
		Attempts:   len(a.Tried) + 1,
		Execution:  a.Execution,
		Repeatable: !r.spec.NeverRepeat,
		Tried:      a.Tried,
		Replica:    a.Replica,
	}
	switch d := rc.budgets.Decide(rc.c.now, failure).(type) {
	case retry.Allow:
		rc.allow(r, d, a.Replica)
	case retry.Deny:
		if rc.loans.Begin(rc.c.now, d.Denial, failure) {
			rc.borrow(r, failure, d.Denial)
			return
		}
		rc.deny(r, d.Denial)
	}
}

func (rc *retriesComponent) allow(r *runner, d retry.Allow, failed state.ReplicaID) {
	rc.c.d.metrics.Retried(d.Reason)
	rc.c.d.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.spec.ID),
		telemetry.RetryReason(d.Reason), telemetry.Replica(failed))
	at := rc.c.now.Add(d.After)
	go r.post(request.RetryDecided{Allowed: true, At: at, Exclude: d.Exclude})
}

func (rc *retriesComponent) deny(r *runner, d retry.Denial) {
	rc.denied(r, d)
	go r.post(request.RetryDecided{Reason: d.Reason()})
}

// borrow asks other daemons for the retry that the budgets here deny.
//
// Guard (floor-used-up-at-one-daemon): the floors belong to each daemon, and a customer's
// streams may all run through one. A stream that a death cuts would be lost while the
// other daemons' retries are unused.
func (rc *retriesComponent) borrow(r *runner, f retry.Failure, d retry.Denial) {
	lenders := rc.lenders()
	go func() {
		granted := rc.c.d.askForLoan(r.ctx, lenders, retry.LoanRequest{Service: f.Service, Customer: f.Customer})
		rc.c.post(func() {
			rc.loans.End(rc.c.now, d, f, granted)
			rc.c.d.metrics.CountReason(telemetry.RetryLoansTotal, loanResults[granted])
			if granted {
				rc.allow(r, rc.budgets.AllowLent(rc.c.now, f), f.Replica)
				return
			}
			rc.deny(r, d)
		})
	}()
}

// loanResults are the results of loans in metrics.
var loanResults = map[bool]string{true: "granted", false: "refused"}

// lenders returns the addresses of random live daemons, at most MaxLenders of them.
func (rc *retriesComponent) lenders() []string {
	var out []string
	ids := rc.c.members.liveIDs()
	rc.c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if id != rc.c.d.self.ID && len(out) < retry.MaxLenders {
			out = append(out, rc.c.members.address(id))
		}
	}
	return out
}

// askForLoan asks daemons for one retry, one after another, and reports whether one of
// them has lent it.
func (d *Daemon) askForLoan(ctx context.Context, lenders []string, req retry.LoanRequest) bool {
	for _, address := range lenders {
		callCtx, cancel := context.WithTimeout(ctx, retry.LoanTimeout)
		res, err := d.node.Call(callCtx, address, req)
		cancel()
		if reply, ok := res.Msg.(retry.LoanReply); err == nil && ok && reply.Granted {
			return true
		}
	}
	return false
}

// lend answers another daemon's request for a retry.
func (rc *retriesComponent) lend(req retry.LoanRequest) retry.LoanReply {
	return rc.budgets.Lend(rc.c.now, req, rc.policy(req.Service))
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
