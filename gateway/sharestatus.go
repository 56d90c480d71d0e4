package gateway

import (
	"strconv"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// ShareStatus is how the customers of a service stand while it is contended.
type ShareStatus struct {
	Contended  bool                  `json:"contended"`
	AgeSeconds float64               `json:"age_seconds"` // since the table was received
	Daemons    int                   `json:"daemons"`     // whose use is included
	Total      float64               `json:"total"`       // tokens admitted for all customers lately
	Share      float64               `json:"share"`       // tokens that a customer may have
	Customers  []CustomerShareStatus `json:"customers"`   // the largest ones, the largest first
}

// CustomerShareStatus is how one customer stands.
type CustomerShareStatus struct {
	Customer state.CustomerID `json:"customer"`
	Used     float64          `json:"used"`   // tokens admitted lately, at all daemons
	Share    float64          `json:"share"`  // tokens that it may have
	Excess   float64          `json:"excess"` // 0 within the share, 1 from twice the share on
}

// status returns how the customers of a service stand, or nil if that is not known.
func (s *sharesState) status(now time.Time, service state.ServiceID) *ShareStatus {
	st, ok := s.standing(now, service)
	if !ok {
		return nil
	}
	out := &ShareStatus{Contended: st.Contended, AgeSeconds: st.Age.Seconds(), Daemons: st.Daemons, Total: st.Total, Share: st.Share}
	for _, c := range st.Customers {
		out.Customers = append(out.Customers, CustomerShareStatus{
			Customer: s.nameOf(c.Customer), Used: c.Used, Share: c.Share, Excess: c.Excess,
		})
	}
	return out
}

func (s *sharesState) standing(now time.Time, service state.ServiceID) (shares.Standing, bool) {
	if !s.enabled() {
		return shares.Standing{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Standing(now, service)
}

// gaugedPlaces is the number of customers of a service, by their use, with a gauge.
const gaugedPlaces = 10

// setGauges sets the gauges of a service.
func (s *sharesState) setGauges(now time.Time, service state.ServiceID) {
	if !s.enabled() {
		return
	}
	st, _ := s.standing(now, service)
	m, over := s.g.metrics, 0
	for place := range gaugedPlaces {
		used := 0.0
		if place < len(st.Customers) {
			used = st.Customers[place].Used
		}
		m.SetPlace(telemetry.ShareUsed, service, strconv.Itoa(place+1), used)
	}
	for _, c := range st.Customers {
		if c.Excess > 0 {
			over++
		}
	}
	m.SetService(telemetry.ShareInForce, service, st.Share)
	m.SetService(telemetry.CustomersOver, service, float64(over))
}
