package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Settings configures a gateway and names its site's services. Addresses are host:port.
type Settings struct {
	ID     state.DaemonID
	Domain state.FailureDomain
	Region state.Region

	CallerAddress    string // listener for callers' requests
	ReadinessAddress string // listener for the platform's readiness check
	DirectoryAddress string // listener for callers' address queries; "" for none
	PeerAddress      string // listener for other daemons
	StoreAddress     string // the site's table service
	MetricsAddress   string // listener for metrics and status; "" for none

	MemoryMB       int // memory limit beyond which the platform kills the process
	MaxDescriptors int // limit of open descriptors; 0 for no limit

	DrainTimeout time.Duration // from the signal of a planned stop to the end of the process
	AddressTTL   time.Duration // longest time that callers may cache an address answer

	BudgetRatio  float64 // retries per request
	BudgetWindow time.Duration
	BudgetSlack  float64 // retries of all daemons per window, in addition to the ratio
}
