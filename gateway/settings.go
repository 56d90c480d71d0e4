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

	CallerAddress    string // where callers send requests
	ReadinessAddress string // where the platform asks whether the daemon is ready
	DirectoryAddress string // where callers ask for addresses; "" for not here
	PeerAddress      string // where other daemons connect
	StoreAddress     string // the site's table service
	MetricsAddress   string // where counters are read; "" for nowhere

	MemoryMB       int // beyond which the process is ended
	MaxDescriptors int // open at one time; 0 for no bound

	DrainTimeout time.Duration // from a planned stop's signal to its end
	AddressTTL   time.Duration // longest time that callers keep an answer

	BudgetRatio  float64 // retries for each request
	BudgetWindow time.Duration
	BudgetSlack  float64 // retries of all daemons in a window, beyond the ratio
}
