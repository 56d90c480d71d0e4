package daemon

import (
	"context"
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// limitsComponent enforces the customers' limits together with the other
// daemons.
type limitsComponent struct {
	c       *control
	limiter *limit.Limiter
	waiting map[uint64]chan<- admission
	lastID  uint64
}

// admission is the answer to a request for one token of a customer's limit.
type admission struct {
	admitted   bool
	retryAfter state.RetryAfter
}

func newLimitsComponent(c *control) *limitsComponent {
	seats := c.d.config.Limits.Seats
	if len(seats) == 0 {
		seats = []state.DaemonID{c.d.self.ID}
	}
	loanTTL := c.d.config.Limits.LoanLife.Std()
	cfg := limit.Config{
		Self:           c.d.self,
		Seats:          seats,
		Total:          max(c.d.config.Limits.Total, len(seats)),
		LoanTTL:        loanTTL,
		BatchTTL:       loanTTL * 2 / 5,
		ReportInterval: loanTTL / 10,
		OwnerTimeout:   loanTTL / 4,
		MaxWait:        loanTTL / 5,
	}
	return &limitsComponent{c: c, limiter: limit.New(cfg, c.now), waiting: make(map[uint64]chan<- admission)}
}

func (lc *limitsComponent) nextTick(time.Time) time.Time { return lc.limiter.NextTick() }
func (lc *limitsComponent) tick(time.Time)               { lc.step(limit.Tick{}) }

func (lc *limitsComponent) step(ev limit.Event) {
	for _, a := range lc.limiter.Step(lc.c.now, ev) {
		switch a := a.(type) {
		case limit.Send:
			lc.send(a)
		case limit.Admit:
			lc.answer(a.Call, admission{admitted: true})
		case limit.Refuse:
			lc.c.d.metrics.CountReason(telemetry.LimitedTotal, string(a.Reason))
			lc.answer(a.Call, admission{retryAfter: ceilSeconds(a.RetryAfter)})
		}
	}
}

func (lc *limitsComponent) send(a limit.Send) {
	if a.To == lc.c.d.self.ID {
		lc.c.afterStep(func() { lc.step(limit.Received{From: lc.c.d.self, Msg: a.Msg}) })
		return
	}
	lc.c.d.send(lc.c.members.address(a.To), a.Msg)
}

// ceilSeconds rounds up to whole seconds, so that a caller that obeys does not
// retry too early.
func ceilSeconds(d time.Duration) state.RetryAfter {
	return state.RetryAfter(math.Ceil(d.Seconds()))
}

// acquire requests one token. The result is sent on answer, which must be
// buffered.
func (lc *limitsComponent) acquire(id state.ServiceID, customer state.CustomerID, answer chan<- admission) {
	lc.lastID++
	lc.waiting[lc.lastID] = answer
	lc.step(limit.Acquire{Call: lc.lastID, Service: id, Customer: customer})
}

func (lc *limitsComponent) answer(call uint64, a admission) {
	if answer, ok := lc.waiting[call]; ok {
		delete(lc.waiting, call)
		answer <- a
	}
}

// membersChanged passes the live daemons to the limiter.
func (lc *limitsComponent) membersChanged(live []membership.Info) {
	lc.step(limit.Members{Live: lo.Map(live, func(i membership.Info, _ int) state.Member { return i.Member })})
}

func (lc *limitsComponent) documentChanged(doc *service.Document) {
	lc.step(limit.Limits{Service: doc.Service, Customers: doc.Customers})
}

// admit takes one token of the customer's limit, or returns the refusal. The
// limiter bounds the wait.
func (d *Daemon) admit(ctx context.Context, s caller.Submission) state.Outcome {
	answer := make(chan admission, 1)
	d.control.post(func() { d.control.limits.acquire(s.Service, s.Customer, answer) })
	select {
	case a := <-answer:
		if a.admitted {
			return nil
		}
		d.metrics.Refused(state.ReasonCustomerLimit)
		d.log.Emit(telemetry.EventCustomerLimited, telemetry.Service(s.Service), telemetry.Customer(s.Customer))
		return state.Conclude(state.NewDispatches(), state.ReasonCustomerLimit, 0, a.retryAfter)
	case <-ctx.Done():
		return d.refuse(state.ReasonCanceled)
	case <-d.kill:
		return d.refuse(state.ReasonDraining)
	}
}
