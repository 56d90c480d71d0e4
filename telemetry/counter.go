package telemetry

// Kind says how a metric's value moves.
type Kind string

// The values of Kind.
const (
	KindCounter   Kind = "counter"   // only grows
	KindGauge     Kind = "gauge"     // goes up and down
	KindHistogram Kind = "histogram" // counts values in buckets, in seconds
)

// Name is the name of one metric, as /metrics gives it.
type Name string

// Counters.
const (
	AcceptedTotal              Name = "accepted_total"
	CompletedTotal             Name = "completed_total"
	RefusedTotal               Name = "refused_total"
	FailedTotal                Name = "failed_total"
	UnknownTotal               Name = "unknown_total"
	RetriedTotal               Name = "retried_total"
	RetryDeniedTotal           Name = "retry_denied_total"
	LimitedTotal               Name = "limited_total"
	TokensTotal                Name = "tokens_total"
	ReattachedTotal            Name = "reattached_total"
	JoinedRepeatsTotal         Name = "joined_repeats_total"
	ClaimsTotal                Name = "claims_total"
	StoreWritesTotal           Name = "store_writes_total"
	StoreReadsTotal            Name = "store_reads_total"
	StoreConflictsTotal        Name = "store_conflicts_total"
	StoreUnansweredTotal       Name = "store_unanswered_total"
	DocumentsAppliedTotal      Name = "documents_applied_total"
	OrdersTotal                Name = "orders_total"
	StaleOrdersTotal           Name = "stale_orders_total"
	SilentConnectionsTotal     Name = "silent_connections_total"
	BrokenFramesTotal          Name = "broken_frames_total"
	PeerSentBytesTotal         Name = "peer_sent_bytes_total"
	PeerReceivedBytesTotal     Name = "peer_received_bytes_total"
	PeerSentTotal              Name = "peer_sent_total"
	PeerReceivedTotal          Name = "peer_received_total"
	PeerHeartbeatsTotal        Name = "peer_heartbeats_total"
	PeerDroppedTotal           Name = "peer_dropped_total"
	PeerConnectionsOpenedTotal Name = "peer_connections_opened_total"
	PeerDialFailuresTotal      Name = "peer_dial_failures_total"
	PeerSilentConnectionsTotal Name = "peer_silent_connections_total"
	PeerLostConnectionsTotal   Name = "peer_lost_connections_total"
	PeerUnansweredCallsTotal   Name = "peer_unanswered_calls_total"
	PeerRefusedCallsTotal      Name = "peer_refused_calls_total"
	PeerInboundRefusedTotal    Name = "peer_inbound_refused_total"
	PeerInboundSlowTotal       Name = "peer_inbound_slow_total"
	PeerFrameFaultsTotal       Name = "peer_frame_faults_total"
	ControlMicrosecondsTotal   Name = "control_microseconds_total"
	GatewayEndedTotal          Name = "gateway_ended_total"
	GatewayRefusedTotal        Name = "gateway_refused_total"
	GatewayFailedTotal         Name = "gateway_failed_total"
	GatewayRetriedTotal        Name = "gateway_retried_total"
	GatewayProbesTotal         Name = "gateway_probes_total"
	GatewayLimitedTotal        Name = "gateway_limited_total"
	GatewayLayoutsTotal        Name = "gateway_layouts_total"
	GatewayAnnouncementsTotal  Name = "gateway_announcements_total"
)

// Metrics of the HTTP front, which counts in the scope that Metrics.Scope gives.
const (
	FrontRefused    Name = "front_refused"
	FrontViewsOpen  Name = "front_views_open"
	FrontViewsSlow  Name = "front_views_slow"
	FrontViewsGone  Name = "front_views_gone"
	FrontTokens     Name = "front_tokens"
	FrontKeepAlives Name = "front_keep_alives"
)

// Gauges.
const (
	ActiveRequests  Name = "active_requests"
	QueuedRequests  Name = "queued_requests"
	LiveMembers     Name = "live_members"
	ServingReplicas Name = "serving_replicas"
	HomedReplicas   Name = "homed_replicas"
	DocumentVersion Name = "document_version"
	LeasesHeld      Name = "leases_held"
	StoreQueued     Name = "store_queued"
	ConfigVersion   Name = "config_version"
	OpenStreams     Name = "open_streams"
	DeadServers     Name = "dead_servers"
	UncoveredLayers Name = "uncovered_layers"
	Draining        Name = "draining"
	Isolated        Name = "isolated"
	ConfigAge       Name = "config_age_seconds"
	ServersAge      Name = "servers_age_seconds"
	WaitingRequests Name = "waiting_requests"
	RetriesLeft     Name = "retries_left"
	RoomUsed        Name = "room_used"
	ProcessMemory   Name = "process_memory_bytes"
)

// Histograms, in seconds.
const (
	FirstTokenSeconds Name = "first_token_seconds"
	TokenGapSeconds   Name = "token_gap_seconds"
	QueueSeconds      Name = "queue_seconds"
	StoreCallSeconds  Name = "store_call_seconds"
	StepSeconds       Name = "step_seconds"
	FirstEventSeconds Name = "first_event_seconds"
	EventGapSeconds   Name = "event_gap_seconds"
	AnswerSeconds     Name = "answer_seconds"
)

// Label is the name of a metric's label.
type Label string

// The values of Label.
const (
	LabelReason  Label = "reason"
	LabelFault   Label = "fault"
	LabelService Label = "service"
	LabelClass   Label = "class"
)

// Metric describes one metric.
type Metric struct {
	Name   Name
	Kind   Kind
	Labels []Label
	Doc    string // what it counts, and its unit
}

// Catalogue lists every metric in the order of docs/COUNTERS.md.
func Catalogue() []Metric {
	return append([]Metric(nil), metrics...)
}

var (
	byReason  = []Label{LabelReason}
	byFault   = []Label{LabelFault}
	byService = []Label{LabelService}
	byClass   = []Label{LabelService, LabelClass}
)

var metrics = []Metric{
	{AcceptedTotal, KindCounter, byClass, "Requests taken in."},
	{CompletedTotal, KindCounter, byClass, "Requests whose whole answer was given."},
	{RefusedTotal, KindCounter, byReason, "Requests refused as not run, by reason."},
	{FailedTotal, KindCounter, byReason, "Requests that began and whose answer is not whole, by reason."},
	{UnknownTotal, KindCounter, byReason, "Requests of which it can't be told whether they ran, by reason."},
	{RetriedTotal, KindCounter, byReason, "Attempts after the first, by the reason of the retry."},
	{RetryDeniedTotal, KindCounter, byReason, "Lost attempts that were not repeated, by what forbade it."},
	{LimitedTotal, KindCounter, byReason, "Requests without a token of their customer's limit, by why there was none."},
	{TokensTotal, KindCounter, nil, "Tokens given to callers."},
	{ReattachedTotal, KindCounter, nil, "Streams that a caller attached to again."},
	{JoinedRepeatsTotal, KindCounter, nil, "Repeats that were joined to a request under way with the same idempotency key."},
	{ClaimsTotal, KindCounter, nil, "Claims of idempotency keys that were committed."},
	{StoreWritesTotal, KindCounter, nil, "Transactions sent to the table service."},
	{StoreReadsTotal, KindCounter, nil, "Reads and scans sent to the table service."},
	{StoreConflictsTotal, KindCounter, nil, "Transactions whose condition did not hold."},
	{StoreUnansweredTotal, KindCounter, nil, "Calls to the table service without an answer."},
	{DocumentsAppliedTotal, KindCounter, nil, "Document versions that came into force here."},
	{OrdersTotal, KindCounter, nil, "Orders sent to backend servers."},
	{StaleOrdersTotal, KindCounter, nil, "Orders that a backend server refused for an old fencing number."},
	{SilentConnectionsTotal, KindCounter, nil, "Open connections that went silent and were replaced."},
	{BrokenFramesTotal, KindCounter, nil, "Frames that were broken, oversized or of an unknown kind."},
	{PeerSentBytesTotal, KindCounter, nil, "Bytes sent to other daemons."},
	{PeerReceivedBytesTotal, KindCounter, nil, "Bytes received from other daemons."},
	{PeerSentTotal, KindCounter, nil, "Messages sent to other daemons."},
	{PeerReceivedTotal, KindCounter, nil, "Messages received from other daemons."},
	{PeerHeartbeatsTotal, KindCounter, nil, "Heartbeats sent on connections to other daemons."},
	{PeerDroppedTotal, KindCounter, nil, "Messages dropped from a full queue."},
	{PeerConnectionsOpenedTotal, KindCounter, nil, "Connections made to other daemons."},
	{PeerDialFailuresTotal, KindCounter, nil, "Connections to other daemons that could not be made."},
	{PeerSilentConnectionsTotal, KindCounter, nil, "Connections to other daemons that went silent."},
	{PeerLostConnectionsTotal, KindCounter, nil, "Connections to other daemons that ended with an error."},
	{PeerUnansweredCallsTotal, KindCounter, nil, "Calls to other daemons without an answer."},
	{PeerRefusedCallsTotal, KindCounter, nil, "Calls of other daemons that were refused unhandled."},
	{PeerInboundRefusedTotal, KindCounter, nil, "Connections of other daemons refused over the bound."},
	{PeerInboundSlowTotal, KindCounter, nil, "Connections of other daemons closed for sending too slowly."},
	{PeerFrameFaultsTotal, KindCounter, byFault, "Frames that can't be read, by what is wrong with them."},
	{GatewayEndedTotal, KindCounter, byReason, "Requests that a gateway has ended, by outcome."},
	{GatewayRefusedTotal, KindCounter, byReason, "Requests that a gateway refused as not run, by reason."},
	{GatewayFailedTotal, KindCounter, byReason, "Requests that a gateway failed, timed out or cut, by reason."},
	{GatewayRetriedTotal, KindCounter, byReason, "Requests sent to another backend server, by how the attempt before ended."},
	{GatewayProbesTotal, KindCounter, byReason, "Probes of backend servers on silent streams, by result."},
	{GatewayLimitedTotal, KindCounter, byReason, "Requests that met a backend server which names a limit: sent to it, or passed over it for want of a permit."},
	{GatewayLayoutsTotal, KindCounter, nil, "Layouts of engines that were worked out. Many at a daemon that gives no orders take processor time from its requests."},
	{GatewayAnnouncementsTotal, KindCounter, byReason, "Announcements of the daemons that follow the store, by whether they were new or had come before."},
	{ControlMicrosecondsTotal, KindCounter, nil, "Processor time of the control goroutine, in microseconds."},

	{ActiveRequests, KindGauge, nil, "Requests under way at this daemon."},
	{QueuedRequests, KindGauge, byService, "Requests waiting for a slot in queues homed here."},
	{LiveMembers, KindGauge, nil, "Daemons that count as alive here, this one included."},
	{ServingReplicas, KindGauge, byService, "Replicas that can serve."},
	{HomedReplicas, KindGauge, byService, "Replicas whose home this daemon is."},
	{DocumentVersion, KindGauge, byService, "The version of the document in force here."},
	{LeasesHeld, KindGauge, nil, "Services that this daemon controls."},
	{StoreQueued, KindGauge, nil, "Writes waiting for the store budget."},
	{ConfigVersion, KindGauge, nil, "The version of the configuration in force at this gateway."},
	{OpenStreams, KindGauge, nil, "Streams that this gateway passes on."},
	{DeadServers, KindGauge, nil, "Backend servers that answered no probe of this gateway and are avoided."},
	{UncoveredLayers, KindGauge, nil, "Layers that no backend server holds which may be used, over all services."},
	{Draining, KindGauge, nil, "1 while a planned stop is under way."},
	{ConfigAge, KindGauge, nil, "Time since this gateway's configuration was known to be the newest, in seconds."},
	{ServersAge, KindGauge, nil, "The same for the list of backend servers."},
	{WaitingRequests, KindGauge, nil, "Requests that wait at this gateway for a server or a path to be there."},
	{RetriesLeft, KindGauge, byService, "Retries that this gateway's part of the budget still allows."},
	{RoomUsed, KindGauge, byService, "Share of its engines' room for tokens that this gateway's requests hold, times the live gateways."},
	{ProcessMemory, KindGauge, nil, "Memory that the process has from the system, in bytes."},
	{Isolated, KindGauge, nil, "1 while the daemon can't know that its documents are current."},

	{FrontRefused, KindCounter, nil, "Requests that the HTTP front refused itself: malformed, or over one of its bounds."},
	{FrontViewsOpen, KindGauge, nil, "Answers that are being streamed to a connection."},
	{FrontViewsSlow, KindCounter, nil, "Streams ended since the caller did not take an event in time."},
	{FrontViewsGone, KindCounter, nil, "Streams ended since the caller closed its connection."},
	{FrontTokens, KindCounter, nil, "Tokens written to callers' connections, those of re-attached streams again."},
	{FrontKeepAlives, KindCounter, nil, "Comments sent on streams that had no token for a while."},

	{FirstTokenSeconds, KindHistogram, byClass, "From a request's arrival to its first token, in seconds."},
	{TokenGapSeconds, KindHistogram, byService, "Between two tokens of one answer, in seconds."},
	{QueueSeconds, KindHistogram, byClass, "From a request's arrival to its slot, in seconds."},
	{StoreCallSeconds, KindHistogram, nil, "One call to the table service, in seconds."},
	{FirstEventSeconds, KindHistogram, byService, "From a request's arrival at a gateway to its first event, in seconds."},
	{EventGapSeconds, KindHistogram, byService, "The longest pause of each stream at a gateway, in seconds."},
	{AnswerSeconds, KindHistogram, byService, "From a request's arrival at a gateway to the end of its answer, in seconds."},
	{StepSeconds, KindHistogram, byService, "One pipeline step in one stage, in seconds."},
}
