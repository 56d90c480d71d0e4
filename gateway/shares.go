package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Reasons of telemetry.GatewaySharesTotal.
const (
	sharesOver   = "over"
	sharesWithin = "within"
	sharesSent   = "sent"
)

// sharesState tracks how far customers exceed their shares of services that are contended, together
// with the other daemons. Traffic uses it directly; messages and timers are those of the control
// goroutine. Without Contention.Shares it counts and sends nothing.
type sharesState struct {
	g *Gateway

	mu      sync.Mutex
	machine *shares.Machine
	running bool // Contention.Shares was set at the last tick
	names   map[shares.Customer]state.CustomerID

	// These belong to the control goroutine.
	members *membership.View // the last one that the machine was told of
	config  *fleet.Config    // the one that names were read from
}

func newSharesState(g *Gateway) *sharesState {
	s := &sharesState{g: g}
	s.reset()
	return s
}

func (s *sharesState) enabled() bool { return s.g.currentSettings().Contention.Shares }

// excess returns how far a customer exceeds its fair share of a service: 0 within its share and while
// the service is not contended, 1 from twice its share on, linear between.
func (s *sharesState) excess(now time.Time, service state.ServiceID, customer state.CustomerID) float64 {
	if !s.enabled() {
		return 0
	}
	c := shares.CustomerOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Excess(now, service, c)
}

// charge records the expected size of a request that is admitted.
func (s *sharesState) charge(now time.Time, service state.ServiceID, customer state.CustomerID, tokens float64) {
	if !s.enabled() {
		return
	}
	c := shares.CustomerOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Charge(now, service, c, tokens)
}

// reject records the expected size of a request that is rejected for lack of room, so that others
// return what they have been lent of its customer's share.
func (s *sharesState) reject(now time.Time, service state.ServiceID, customer state.CustomerID, tokens float64) {
	if !s.enabled() {
		return
	}
	c := shares.CustomerOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Reject(now, service, c, tokens)
}

// markContended records that this daemon finds a service overloaded.
func (s *sharesState) markContended(now time.Time, service state.ServiceID) {
	if !s.enabled() {
		return
	}
	s.mu.Lock()
	due := s.machine.MarkContended(now, service)
	s.mu.Unlock()
	if due {
		s.g.control.post(func() { s.step(s.g.control.now, shares.Tick{}) })
	}
}

// tick passes on changes of the membership and the configuration, and runs the timers that are due.
func (s *sharesState) tick(c *control) {
	if !s.enabled() {
		if s.running {
			s.reset()
			s.members, s.config = nil, nil
		}
		return
	}
	s.running = true
	if c.view.config != s.config {
		s.config = c.view.config
		s.setNames(customerNames(c.view.config))
	}
	if c.view.members != s.members {
		s.members = c.view.members
		s.step(c.now, shares.Membership{Daemons: c.permits.owners()})
	}
	if next := s.nextTick(); !next.IsZero() && !c.now.Before(next) {
		s.step(c.now, shares.Tick{})
	}
}

// nextTick returns when the next timer is due; zero for never.
func (s *sharesState) nextTick() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return time.Time{}
	}
	return s.machine.NextTick()
}

// reset discards all state.
func (s *sharesState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine, s.running = shares.New(shares.Config{Self: s.g.self}), false
}

// step passes an event to the machine and performs the resulting actions. It is called on the control
// goroutine.
func (s *sharesState) step(now time.Time, ev shares.Event) {
	if !s.enabled() {
		return
	}
	s.mu.Lock()
	actions := s.machine.Step(now, ev)
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a)
	}
}

func (s *sharesState) perform(a shares.Action) {
	g := s.g
	switch a := a.(type) {
	case shares.Send:
		if address, ok := g.control.members.addressOf(a.To); ok {
			g.metrics.CountReason(telemetry.GatewaySharesTotal, sharesSent)
			_ = g.node.Send(address, a.Msg) // the next report or table replaces a lost one
		}
	case shares.Broadcast:
		g.control.members.broadcast(a.ContentionNotice)
	case shares.StandingChanged:
		s.logStanding(a)
	}
}

func (s *sharesState) logStanding(a shares.StandingChanged) {
	event, reason := telemetry.EventCustomerWithinShare, sharesWithin
	if a.Over {
		event, reason = telemetry.EventCustomerOverShare, sharesOver
	}
	s.g.metrics.CountReason(telemetry.GatewaySharesTotal, reason)
	s.g.log.Emit(event, telemetry.Service(a.Service), telemetry.Customer(s.nameOf(a.Customer)),
		telemetry.Detail(fmt.Sprintf("excess %.2f", a.Excess)))
}

// customerNames returns the customers of a configuration by their identifiers in messages.
func customerNames(c *fleet.Config) map[shares.Customer]state.CustomerID {
	names := make(map[shares.Customer]state.CustomerID)
	if c != nil {
		for _, customer := range c.Keys {
			names[shares.CustomerOf(customer.ID)] = customer.ID
		}
	}
	return names
}

func (s *sharesState) setNames(names map[shares.Customer]state.CustomerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = names
}

// nameOf returns a customer's name, or its identifier if the configuration does not contain it.
func (s *sharesState) nameOf(c shares.Customer) state.CustomerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name, ok := s.names[c]; ok {
		return name
	}
	return state.CustomerID(fmt.Sprintf("unknown-%08x", uint32(c)))
}
