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

	Contention Contention
}

// Contention turns on the features for services whose callers compete for too few servers. Each one
// takes effect only where the configuration calls for it. The zero value turns all of them off.
type Contention struct {
	// Urgency orders requests by the customer's rank and then by the route's, in place of the
	// customer's alone. It applies to services with routes of different ranks.
	Urgency bool `json:"urgency"`
	// Admission rejects streams that would be late, or make more urgent ones late, before they
	// reach an engine. It applies to services with routes of different ranks.
	Admission bool `json:"admission"`
	// Queue orders waiting requests by urgency and among customers, in place of the first that
	// happens to ask.
	Queue bool `json:"queue"`
	// Shares limits customers to their fair share of a service that is overloaded.
	Shares bool `json:"shares"`
	// AnswerSize estimates the length of answers from callers' hints and from earlier answers.
	AnswerSize bool `json:"answer_size"`
	// ReportedPace avoids engines by how slow they report to be.
	ReportedPace bool `json:"reported_pace"`
	// ProbeByTraffic omits probes of servers that recent traffic shows to be alive.
	ProbeByTraffic bool `json:"probe_by_traffic"`
}
