package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Settings is what a gateway is told about itself and its site. Addresses are
// host:port.
type Settings struct {
	ID     state.DaemonID
	Domain state.FailureDomain
	Region state.Region

	Front     string // where callers send requests
	Readiness string // where the platform asks whether the daemon is ready
	Directory string // where callers ask for addresses; "" for not here
	Peers     string // where other daemons connect
	Store     string // the site's table service
	Metrics   string // where counters are read; "" for nowhere

	MemoryMB    int // beyond which the process is ended
	Descriptors int // open at one time; 0 for no bound

	Grace          time.Duration // from a planned stop's signal to its end
	AddressesValid time.Duration // longest time that callers keep an answer

	BudgetRatio  float64 // retries for each request
	BudgetWindow time.Duration
	BudgetSlack  float64 // retries of all daemons in a window, beyond the ratio
}
