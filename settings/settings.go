package settings

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Duration is a duration that is written as text with a unit, such as "250ms".
type Duration = service.Duration

// Settings are the settings of one daemon.
type Settings struct {
	// ID is the id of the daemon; a replacement on the same instance keeps it.
	ID state.DaemonID `json:"id" format:"name"`
	// Instance is the instance's name in the platform's instance list.
	Instance state.InstanceID `json:"instance" format:"name"`
	// FailureDomain is the failure domain of the instance within its region.
	FailureDomain state.FailureDomain `json:"failure_domain" format:"name"`
	// Region is the region of the instance.
	Region state.Region `json:"region" format:"name"`

	// PeerAddress is the listen address for other daemons, such as
	// "10.0.0.7:7100". Port 0 selects a free port.
	PeerAddress string `json:"peer_address" format:"ip-port"`
	// CallerAddress is the listen address for callers and operators, such as
	// "10.0.0.7:7080". Port 0 selects a free port.
	CallerAddress string `json:"caller_address" format:"ip-port"`
	// PeerAdvertise is the address that is announced to other daemons; default
	// PeerAddress. Required if that is an unspecified address such as
	// "0.0.0.0:7100".
	PeerAdvertise string `json:"peer_advertise,omitempty" format:"ip-port"`
	// CallerAdvertise is the address that is announced to callers; default
	// CallerAddress. Required if that is an unspecified address.
	CallerAdvertise string `json:"caller_advertise,omitempty" format:"ip-port"`

	// Platform holds the URLs of the platform's services.
	Platform Platform `json:"platform"`

	// AddressAnswerValid is how long callers may cache an answer about which
	// addresses to use; default "5s". A planned stop lasts at least as long.
	AddressAnswerValid Duration `json:"address_answer_valid" defaultDuration:"5s" minDuration:"100ms" maxDuration:"10m"`
	// IsolationBound is how long a daemon that reaches neither the table
	// service nor enough peers continues to accept requests; default "8s".
	IsolationBound Duration `json:"isolation_bound" defaultDuration:"8s" minDuration:"1s" maxDuration:"10m"`

	// Drain limits the duration of a planned stop.
	Drain Drain `json:"drain" required:"false"`
	// Peers configures the connections and probes between daemons.
	Peers Peers `json:"peers" required:"false"`
	// Backends configures the connections to backend servers.
	Backends Backends `json:"backends" required:"false"`
	// Limits configures which daemons hold the customers' limits.
	Limits Limits `json:"limits" required:"false"`
	// Leases configures the control of services with automatic placement.
	Leases Leases `json:"leases" required:"false"`
	// Store configures the calls to the table service and their budget.
	Store Store `json:"store" required:"false"`
	// Log configures the log, which is written to standard error.
	Log Log `json:"log" required:"false"`

	// RecordFile is the file to which the daemon appends its requests for replay;
	// if it is omitted, nothing is recorded.
	RecordFile string `json:"record_file,omitempty" maxLength:"4096"`
}

// Platform holds the URLs of the platform's services. They contain IP addresses,
// since host names are not resolved.
type Platform struct {
	// TableURL is the URL of the table service, such as "http://10.0.0.9:8080".
	TableURL string `json:"table_url" format:"http-url"`
	// ObjectsURL is the URL of the object store.
	ObjectsURL string `json:"objects_url" format:"http-url"`
	// InstancesURL is the URL of the instance list.
	InstancesURL string `json:"instances_url" format:"http-url"`
}

// Drain limits a planned stop. The daemon is removed from address answers
// immediately, continues to serve until every answer that lists it has expired
// (Notice plus address_answer_valid) and every stream has ended, and exits after
// Limit at the latest.
type Drain struct {
	// Limit is the maximum duration of a planned stop; default "10m".
	Limit Duration `json:"limit" defaultDuration:"10m" minDuration:"1s" maxDuration:"24h"`
	// Notice is the time allowed until every other daemon has received the notice
	// that this one is draining and no longer lists it in address answers; default
	// "10s". docs/design/membership.md has the measured times.
	Notice Duration `json:"notice" defaultDuration:"10s" minDuration:"0s" maxDuration:"10m"`
}

// Peers configures the connections and probes between daemons.
type Peers struct {
	// Seeds are peer addresses of daemons that may be running when this one
	// starts, such as "10.0.0.7:7100". They are needed only if the instance list
	// can't be read at that time; default none.
	Seeds []string `json:"seeds,omitempty" format:"ip-port"`
	// HeartbeatInterval is the interval of heartbeats on an idle connection;
	// default "1s".
	HeartbeatInterval Duration `json:"heartbeat_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
	// SilentAfter is how long a connection may receive nothing while an answer is
	// due before it is replaced; default "3s".
	SilentAfter Duration `json:"silent_after" defaultDuration:"3s" minDuration:"20ms" maxDuration:"10m"`
	// ProbeInterval is the interval at which the daemon probes one other daemon;
	// default "1s".
	ProbeInterval Duration `json:"probe_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
	// ProbeTimeout is how long a probe waits for its answer before other daemons
	// are asked to send indirect probes; default "300ms".
	ProbeTimeout Duration `json:"probe_timeout" defaultDuration:"300ms" minDuration:"1ms" maxDuration:"1m"`
	// SuspicionTimeout is the time that a suspected daemon has to refute the
	// suspicion before it is declared dead; default "3s".
	SuspicionTimeout Duration `json:"suspicion_timeout" defaultDuration:"3s" minDuration:"20ms" maxDuration:"10m"`
}

// Backends configures the connections to backend servers.
type Backends struct {
	// ProgressTimeout is how long a call may make no progress before its
	// connection is suspected and the state of the request is queried on a new
	// one; default "2s".
	ProgressTimeout Duration `json:"progress_timeout" defaultDuration:"2s" minDuration:"10ms" maxDuration:"10m"`
	// ConnectTimeout is the timeout for establishing a connection; default "1s".
	ConnectTimeout Duration `json:"connect_timeout" defaultDuration:"1s" minDuration:"1ms" maxDuration:"1m"`
	// LoadInterval is the interval at which load reports are read; default "1s".
	LoadInterval Duration `json:"load_interval" defaultDuration:"1s" minDuration:"10ms" maxDuration:"1m"`
}

// Store configures the calls to the table service and their budget.
type Store struct {
	// WritesPerSecond is the number of transactions per second that the table
	// service accepts from the site; each daemon computes its share. Default 300.
	WritesPerSecond float64 `json:"writes_per_second" default:"300" exclusiveMinimum:"0" maximum:"100000"`
	// ReadsPerSecond is the number of reads per second that the table service
	// accepts from the site; default 2000.
	ReadsPerSecond float64 `json:"reads_per_second" default:"2000" exclusiveMinimum:"0" maximum:"1000000"`
	// Timeout is how long a call may take before it is treated as unanswered;
	// default "1s".
	Timeout Duration `json:"timeout" defaultDuration:"1s" minDuration:"1ms" maxDuration:"1m"`
	// DigestInterval is the interval at which the digest of the document versions
	// is read; default "2s".
	DigestInterval Duration `json:"digest_interval" defaultDuration:"2s" minDuration:"10ms" maxDuration:"1m"`
	// InstancesInterval is the interval at which the instance list is read;
	// default "2s".
	InstancesInterval Duration `json:"instances_interval" defaultDuration:"2s" minDuration:"10ms" maxDuration:"1m"`
}

// Limits configures which daemons hold the customers' limits. Seats and Total must
// be the same on all daemons; otherwise the shares do not add up to the limits.
type Limits struct {
	// Seats are the ids of the daemons that hold the limits, at most 64, the
	// same list on all daemons. The default is this daemon only, so that each
	// daemon without a list allows the full limit.
	Seats []state.DaemonID `json:"seats,omitempty" format:"name"`
	// Total is the number of shares of each limit, at least the number of seats,
	// which is the default. A higher number allows the list to grow.
	Total int `json:"total" default:"0" minimum:"0" maximum:"64"`
	// LoanLife is the lifetime of a loan from another daemon, the same on all
	// daemons; default "2s". After the loss of a daemon its share of every limit
	// is unusable for about this time, and so is a daemon's own share after its
	// start; a shorter lifetime costs more messages.
	LoanLife Duration `json:"loan_life" defaultDuration:"2s" minDuration:"200ms" maxDuration:"1m"`
}

// Leases configures the control of services with automatic placement: one daemon
// at a time holds the lease of a service and sends orders to its backend servers.
// All daemons must have the same values.
type Leases struct {
	// Term is how long a lease is not renewed before another daemon acquires it;
	// default "10s". The holder renews it four times in that period.
	Term Duration `json:"term" defaultDuration:"10s" minDuration:"200ms" maxDuration:"10m"`
	// LongestOrder is the maximum time after which a sent order may still take
	// effect; default "10s". A new holder waits that long before it sends orders
	// to servers that ignore fencing numbers.
	LongestOrder Duration `json:"longest_order" defaultDuration:"10s" minDuration:"100ms" maxDuration:"10m"`
	// Reconcile is the maximum time between two reads of a server's state;
	// default "10s".
	Reconcile Duration `json:"reconcile" defaultDuration:"10s" minDuration:"100ms" maxDuration:"10m"`
	// DrainSpread is the time until every daemon has received the notice that a
	// replica is leaving; default "3s".
	DrainSpread Duration `json:"drain_spread" defaultDuration:"3s" minDuration:"0s" maxDuration:"10m"`
	// ReportLag is the maximum delay of load reports of backend servers; default
	// "2s".
	ReportLag Duration `json:"report_lag" defaultDuration:"2s" minDuration:"0s" maxDuration:"10m"`
	// SharedLoads is the number of servers of the site that may load weights
	// concurrently, in addition to one server per service; default 4.
	SharedLoads int `json:"shared_loads" default:"4" minimum:"0" maximum:"10000"`
}

// Log configures the log.
type Log struct {
	// Level is the minimum level that is written; default "info".
	Level string `json:"level" default:"info" enum:"debug,info,warning,error"`
	// Format is "json", the default, or "text".
	Format string `json:"format" default:"json" enum:"json,text"`
}
