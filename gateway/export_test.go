package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// ShareExcess exports sharesState.excess.
func (g *Gateway) ShareExcess(service state.ServiceID, customer state.CustomerID) float64 {
	return g.shares.excess(time.Now(), service, customer)
}

// ChargeShare exports sharesState.charge.
func (g *Gateway) ChargeShare(service state.ServiceID, customer state.CustomerID, tokens float64) {
	g.shares.charge(time.Now(), service, customer, tokens)
}

// RejectShare exports sharesState.reject.
func (g *Gateway) RejectShare(service state.ServiceID, customer state.CustomerID, tokens float64) {
	g.shares.reject(time.Now(), service, customer, tokens)
}

// MarkContended exports sharesState.markContended.
func (g *Gateway) MarkContended(service state.ServiceID) { g.shares.markContended(time.Now(), service) }

// SharesRunning reports whether the use of any service is counted or reported.
func (g *Gateway) SharesRunning() bool {
	g.shares.mu.Lock()
	defer g.shares.mu.Unlock()
	return g.shares.running || !g.shares.machine.NextTick().IsZero()
}

// LateCalls exports sharedState.lateCallCount.
func (g *Gateway) LateCalls() int { return g.shared.lateCallCount() }

// AdvanceStop makes a planned stop that has begun as old as if it had begun sooner.
func (g *Gateway) AdvanceStop(by time.Duration) {
	stop := *g.stop.Load()
	stop.began = stop.began.Add(-by)
	g.stop.Store(&stop)
}

// CurrentSettings exports Gateway.currentSettings.
func (g *Gateway) CurrentSettings() Settings { return *g.currentSettings() }
