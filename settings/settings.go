package settings

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Duration is a time written as text with a unit, such as "250ms".
type Duration = service.Duration

// Settings is what one daemon is told about itself.
type Settings struct {
	// ID names the daemon; a replacement on the same instance keeps it.
	ID state.DaemonID `json:"id" format:"name"`
	// Instance is the instance's name in the platform's instance list.
	Instance state.InstanceID `json:"instance" format:"name"`
	// FailureDomain is the part of the region that the instance stands in.
	FailureDomain state.FailureDomain `json:"failure_domain" format:"name"`
	// Region is the group of failure domains that the instance stands in.
	Region state.Region `json:"region" format:"name"`

	// PeerAddress is where other daemons connect, such as "10.0.0.7:7100".
	// Port 0 takes a free one.
	PeerAddress string `json:"peer_address" format:"ip-port"`
	// CallerAddress is where callers and operators connect, such as
	// "10.0.0.7:7080". Port 0 takes a free one.
	CallerAddress string `json:"caller_address" format:"ip-port"`
	// PeerAdvertise is what other daemons are told to connect to; default
	// PeerAddress. Needed where that is an unspecified address such as
	// "0.0.0.0:7100".
	PeerAdvertise string `json:"peer_advertise,omitempty" format:"ip-port"`
	// CallerAdvertise is what callers are told to connect to; default
	// CallerAddress. Needed where that is an unspecified address.
	CallerAdvertise string `json:"caller_advertise,omitempty" format:"ip-port"`

	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`

	// AddressAnswerValid is how long callers may keep the answer to which
	// address to use; default "5s". A planned stop lasts at least as long.
	AddressAnswerValid Duration `json:"address_answer_valid" defaultDuration:"5s" minDuration:"100ms" maxDuration:"10m"`
	// IsolationBound is how long a daemon that reaches neither the table
	// service nor enough peers goes on taking new requests; default "8s".
	IsolationBound Duration `json:"isolation_bound" defaultDuration:"8s" minDuration:"1s" maxDuration:"10m"`

	// Drain bounds a planned stop.
	Drain Drain `json:"drain" required:"false"`
	// Peers bounds the traffic between daemons.
	Peers Peers `json:"peers" required:"false"`
	// Backends bounds the connections towards backend servers.
	Backends Backends `json:"backends" required:"false"`
	// Limits says who holds the customers' limits.
	Limits Limits `json:"limits" required:"false"`
	// Leases bounds the control of services whose layers are placed by hibiscuswick.
	Leases Leases `json:"leases" required:"false"`
	// Store is what the table service takes, and how it is called.
	Store Store `json:"store" required:"false"`
	// Log says what is logged, on standard error.
	Log Log `json:"log" required:"false"`

	// RecordFile is where the daemon appends its requests for replay; nothing
	// is recorded where it is left out.
	RecordFile string `json:"record_file,omitempty" maxLength:"4096"`
}

// Platform is where the platform's services are; URLs hold IP numbers.
type Platform struct {
	// TableURL is the table service, such as "http://10.0.0.9:8080".
	TableURL string `json:"table_url" format:"http-url"`
	// ObjectsURL is the object store.
	ObjectsURL string `json:"objects_url" format:"http-url"`
	// InstancesURL is the instance list.
	InstancesURL string `json:"instances_url" format:"http-url"`
}

// Drain bounds a planned stop: the daemon leaves address answers at once, goes
// on serving until every answer that names it has run out (Notice and then
// address_answer_valid) and every stream has ended,
// and exits at Limit at the latest.
type Drain struct {
	// Limit is the longest that a planned stop may take; default "10m".
	Limit Duration `json:"limit" defaultDuration:"10m" minDuration:"1s" maxDuration:"24h"`
	// Notice is how long it may take until every other daemon has learned that
	// this one drains and names it to no caller any more; default "10s".
	// docs/design/membership.md has the measured times.
	Notice Duration `json:"notice" defaultDuration:"10s" minDuration:"0s" maxDuration:"10m"`
}

// Peers bounds the traffic between daemons.
type Peers struct {
	// Seeds are peer addresses of daemons that may be there when this one
	// starts, such as "10.0.0.7:7100". They are needed only where the instance
	// list can't be read at that time; default none.
	Seeds []string `json:"seeds,omitempty" format:"ip-port"`
	// HeartbeatInterval is how often an idle connection carries a heartbeat;
	// default "1s".
	HeartbeatInterval Duration `json:"heartbeat_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
	// SilentAfter is how long a connection may be silent while an answer is
	// due before it is replaced; default "3s".
	SilentAfter Duration `json:"silent_after" defaultDuration:"3s" minDuration:"20ms" maxDuration:"10m"`
	// ProbeInterval is how often the daemon probes one other; default "1s".
	ProbeInterval Duration `json:"probe_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
	// ProbeTimeout is how long a probe waits for its answer before others
	// are asked to probe; default "300ms".
	ProbeTimeout Duration `json:"probe_timeout" defaultDuration:"300ms" minDuration:"1ms" maxDuration:"1m"`
	// SuspicionTimeout is how long a suspect daemon has to refute before it
	// counts as dead; default "3s".
	SuspicionTimeout Duration `json:"suspicion_timeout" defaultDuration:"3s" minDuration:"20ms" maxDuration:"10m"`
}

// Backends bounds the connections towards backend servers.
type Backends struct {
	// ProgressTimeout is how long a call may be without progress before its
	// connection is suspect and the request asked about on a new one;
	// default "2s".
	ProgressTimeout Duration `json:"progress_timeout" defaultDuration:"2s" minDuration:"10ms" maxDuration:"10m"`
	// ConnectTimeout bounds the making of a connection; default "1s".
	ConnectTimeout Duration `json:"connect_timeout" defaultDuration:"1s" minDuration:"1ms" maxDuration:"1m"`
	// LoadInterval is how often load reports are read; default "1s".
	LoadInterval Duration `json:"load_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
}

// Store is what the table service takes, and how it is called.
type Store struct {
	// WritesPerSecond is how many transactions a second the table service takes
	// from the whole site; each daemon works out its part. Default 300.
	WritesPerSecond float64 `json:"writes_per_second" default:"300" exclusiveMinimum:"0" maximum:"100000"`
	// ReadsPerSecond is the same for reads; default 2000.
	ReadsPerSecond float64 `json:"reads_per_second" default:"2000" exclusiveMinimum:"0" maximum:"1000000"`
	// Timeout is how long one call may take before it counts as unanswered;
	// default "1s".
	Timeout Duration `json:"timeout" defaultDuration:"1s" minDuration:"1ms" maxDuration:"1m"`
	// DigestInterval is how often the digest of the documents' versions is
	// read; default "2s".
	DigestInterval Duration `json:"digest_interval" defaultDuration:"2s" minDuration:"10ms" maxDuration:"1m"`
	// InstancesInterval is how often the instance list is read; default "2s".
	InstancesInterval Duration `json:"instances_interval" defaultDuration:"2s" minDuration:"10ms" maxDuration:"1m"`
}

// Limits says who holds the customers' limits. Their sum over all daemons rests on
// every daemon having the same Seats and Total.
type Limits struct {
	// Seats are the ids of the daemons that hold the limits, at most 64, the
	// same list on all daemons; default this daemon alone, so that each daemon
	// that has no list allows a whole limit.
	Seats []state.DaemonID `json:"seats,omitempty" format:"name"`
	// Total is the number of shares of each limit where the list is about to
	// grow, at least the number of seats; default that number.
	Total int `json:"total" default:"0" minimum:"0" maximum:"64"`
	// LoanLife is how long a daemon counts what another lent it, the same on
	// all daemons; default "2s". After the loss of a daemon its part of every
	// limit is out of use for about that long, and a daemon's own part at its
	// start; the shorter it is, the more messages it costs.
	LoanLife Duration `json:"loan_life" defaultDuration:"2s" minDuration:"200ms" maxDuration:"1m"`
}

// Leases bounds the control of services with automatic placement: one daemon at a
// time holds a service's lease and orders its backend servers. All daemons have
// the same values.
type Leases struct {
	// Term is how long a lease must stand without renewal before another daemon
	// takes it; default "10s". A holder renews it four times in that time.
	Term Duration `json:"term" defaultDuration:"10s" minDuration:"200ms" maxDuration:"10m"`
	// LongestOrder is how long after its sending an order may still take effect;
	// default "10s". A new holder orders servers that ignore fencing numbers no
	// sooner.
	LongestOrder Duration `json:"longest_order" defaultDuration:"10s" minDuration:"100ms" maxDuration:"10m"`
	// Reconcile is the longest time between two looks at what a server holds;
	// default "10s".
	Reconcile Duration `json:"reconcile" defaultDuration:"10s" minDuration:"100ms" maxDuration:"10m"`
	// DrainSpread is how long the news that a replica leaves takes to reach every
	// daemon; default "3s".
	DrainSpread Duration `json:"drain_spread" defaultDuration:"3s" minDuration:"0s" maxDuration:"10m"`
	// ReportLag is how far the backend servers' load reports are behind; default
	// "2s".
	ReportLag Duration `json:"report_lag" defaultDuration:"2s" minDuration:"0s" maxDuration:"10m"`
	// SharedLoads is how many servers of the whole site may load weights at one
	// time beyond one for each service; default 4.
	SharedLoads int `json:"shared_loads" default:"4" minimum:"0" maximum:"10000"`
}

// Log says what is logged.
type Log struct {
	// Level is the least level that is written; default "info".
	Level string `json:"level" default:"info" enum:"debug,info,warning,error"`
	// Format is "json", the default, or "text".
	Format string `json:"format" default:"json" enum:"json,text"`
}
