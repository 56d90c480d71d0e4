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

// limitsPart holds the customers' limits together with the other daemons.
type limitsPart struct {
	c       *control
	m       *limit.Limiter
	waiting map[uint64]chan<- admission
	last    uint64
}

// admission answers a request for one token of its customer's limit.
type admission struct {
	admitted   bool
	retryAfter state.RetryAfter
}

func newLimitsPart(c *control) *limitsPart {
	seats := c.d.set.Limits.Seats
	if len(seats) == 0 {
		seats = []state.DaemonID{c.d.self.ID}
	}
	life := c.d.set.Limits.LoanLife.Std()
	cfg := limit.Config{
		Self:           c.d.self,
		Seats:          seats,
		Total:          max(c.d.set.Limits.Total, len(seats)),
		LoanTTL:        life,
		BatchTTL:       life * 2 / 5,
		ReportInterval: life / 10,
		OwnerTimeout:   life / 4,
		MaxWait:        life / 5,
	}
	return &limitsPart{c: c, m: limit.New(cfg, c.now), waiting: make(map[uint64]chan<- admission)}
}

func (p *limitsPart) nextTick(time.Time) time.Time { return p.m.NextTick() }
func (p *limitsPart) tick(time.Time)               { p.step(limit.Tick{}) }

func (p *limitsPart) step(ev limit.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		switch a := a.(type) {
		case limit.Send:
			p.send(a)
		case limit.Admit:
			p.answer(a.Call, admission{admitted: true})
		case limit.Refuse:
			p.c.d.metrics.CountReason(telemetry.LimitedTotal, string(a.Reason))
			p.answer(a.Call, admission{retryAfter: secondsOf(a.RetryAfter)})
		}
	}
}

func (p *limitsPart) send(a limit.Send) {
	if a.To == p.c.d.self.ID {
		p.c.later(func() { p.step(limit.Received{From: p.c.d.self, Msg: a.Msg}) })
		return
	}
	p.c.d.send(p.c.members.address(a.To), a.Msg)
}

// secondsOf rounds up to whole seconds, so that a caller who obeys is not early.
func secondsOf(d time.Duration) state.RetryAfter {
	return state.RetryAfter(math.Ceil(d.Seconds()))
}

// ask wants one token; the answer comes on answer, which has room for it.
func (p *limitsPart) ask(id state.ServiceID, customer state.CustomerID, answer chan<- admission) {
	p.last++
	p.waiting[p.last] = answer
	p.step(limit.Acquire{Call: p.last, Service: id, Customer: customer})
}

func (p *limitsPart) answer(call uint64, a admission) {
	if answer, ok := p.waiting[call]; ok {
		delete(p.waiting, call)
		answer <- a
	}
}

// membersChanged tells the limiter who lives.
func (p *limitsPart) membersChanged(live []membership.Info) {
	p.step(limit.Members{Live: lo.Map(live, func(i membership.Info, _ int) state.Member { return i.Member })})
}

func (p *limitsPart) documentChanged(doc *service.Document) {
	p.step(limit.Limits{Service: doc.Service, Customers: doc.Customers})
}

// admit takes one token of the customer's limit, or returns the refusal. Waiting
// is bounded by the limiter.
func (d *Daemon) admit(ctx context.Context, s caller.Submission) state.Outcome {
	answer := make(chan admission, 1)
	d.control.post(func() { d.control.limits.ask(s.Service, s.Customer, answer) })
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
