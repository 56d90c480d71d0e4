package telemetry

// Kind is the type of a metric.
type Kind string

// The values of Kind.
const (
	KindCounter   Kind = "counter"   // only increases
	KindGauge     Kind = "gauge"     // can increase and decrease
	KindHistogram Kind = "histogram" // counts values in buckets; in seconds
)

// Name is the name of a metric at /metrics.
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
	RetryLoansTotal            Name = "retry_loans_total"
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
	GatewayRetryGrantsTotal    Name = "gateway_retry_grants_total"
	GatewaySendsTotal          Name = "gateway_sends_total"
	GatewayProbesTotal         Name = "gateway_probes_total"
	GatewayReachChecksTotal    Name = "gateway_reach_checks_total"
	GatewayCutOffTotal         Name = "gateway_cut_off_total"
	GatewayTurnedAwayTotal     Name = "gateway_turned_away_total"
	GatewayLimitedTotal        Name = "gateway_limited_total"
	GatewayRetryAfterTotal     Name = "gateway_retry_after_total"
	GatewayDepartingTotal      Name = "gateway_departing_total"
	GatewayHeadersTotal        Name = "gateway_headers_total"
	GatewayLayoutsTotal        Name = "gateway_layouts_total"
	GatewayAnnouncementsTotal  Name = "gateway_announcements_total"
	GatewayBrokenCallsTotal    Name = "gateway_broken_calls_total"
	GatewayEndsToldTotal       Name = "gateway_ends_told_total"
	GatewayFeedSkippedTotal    Name = "gateway_feed_skipped_total"
	GatewaySharesTotal         Name = "gateway_shares_total"
	GatewayQueueRejectedTotal  Name = "gateway_queue_rejected_total"
	GatewayAnswerSizesTotal    Name = "gateway_answer_sizes_total"
)

// Metrics of the HTTP front, which creates them in the scope returned by Metrics.Scope.
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
	WaitingByClass  Name = "waiting_by_class"
	RetriesLeft     Name = "retries_left"
	RetriesOpen     Name = "retries_open"
	RetryRequests   Name = "retry_requests"
	LateCalls       Name = "late_calls"
	RoomUsed        Name = "room_used"
	ProcessMemory   Name = "process_memory_bytes"
	ShareInForce    Name = "share_in_force"
	ShareUsed       Name = "share_used"
	CustomersOver   Name = "customers_over_share"
	AnswerSizeError Name = "answer_size_error"
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
	// GatewayWaitSeconds has no entry for requests that did not wait.
	GatewayWaitSeconds Name = "gateway_wait_seconds"
)

// Label is the name of a label of a metric.
type Label string

// The values of Label.
const (
	LabelReason  Label = "reason"
	LabelFault   Label = "fault"
	LabelService Label = "service"
	LabelClass   Label = "class"
	LabelPlace   Label = "place"
)

// Metric describes a metric.
type Metric struct {
	Name   Name
	Kind   Kind
	Labels []Label
	Doc    string // the description, with the unit
}

// Catalogue returns every metric in the order of docs/COUNTERS.md.
func Catalogue() []Metric {
	return append([]Metric(nil), metrics...)
}

var (
	byReason  = []Label{LabelReason}
	byFault   = []Label{LabelFault}
	byService = []Label{LabelService}
	byClass   = []Label{LabelService, LabelClass}
	byPlace   = []Label{LabelService, LabelPlace}
)

var metrics = []Metric{
	{AcceptedTotal, KindCounter, byClass, "Requests accepted."},
	{CompletedTotal, KindCounter, byClass, "Requests whose complete answer was delivered."},
	{RefusedTotal, KindCounter, byReason, "Requests refused and not run, by reason."},
	{FailedTotal, KindCounter, byReason, "Requests that started and whose answer is incomplete, by reason."},
	{UnknownTotal, KindCounter, byReason, "Requests for which it is not known whether they ran, by reason."},
	{RetriedTotal, KindCounter, byReason, "Attempts after the first, by the reason of the retry."},
	{RetryDeniedTotal, KindCounter, byReason, "Failed attempts that were not retried, by the reason for not retrying."},
	{RetryLoansTotal, KindCounter, byReason, "Retries beyond this daemon's own budgets that other daemons were asked for, by whether one lent it."},
	{LimitedTotal, KindCounter, byReason, "Requests that got no token of their customer's limit, by the reason."},
	{TokensTotal, KindCounter, nil, "Tokens delivered to callers."},
	{ReattachedTotal, KindCounter, nil, "Streams that a caller re-attached to."},
	{JoinedRepeatsTotal, KindCounter, nil, "Repeated requests that joined a running request with the same idempotency key."},
	{ClaimsTotal, KindCounter, nil, "Committed claims of idempotency keys."},
	{StoreWritesTotal, KindCounter, nil, "Transactions sent to the table service."},
	{StoreReadsTotal, KindCounter, nil, "Reads and scans sent to the table service."},
	{StoreConflictsTotal, KindCounter, nil, "Transactions whose condition did not hold."},
	{StoreUnansweredTotal, KindCounter, nil, "Calls to the table service without an answer."},
	{DocumentsAppliedTotal, KindCounter, nil, "Document versions that became active on this daemon."},
	{OrdersTotal, KindCounter, nil, "Orders sent to backend servers."},
	{StaleOrdersTotal, KindCounter, nil, "Orders that a backend server refused because of an outdated fencing number."},
	{SilentConnectionsTotal, KindCounter, nil, "Open connections that became unresponsive and were replaced."},
	{BrokenFramesTotal, KindCounter, nil, "Frames that were invalid, oversized or of an unknown kind."},
	{PeerSentBytesTotal, KindCounter, nil, "Bytes sent to other daemons."},
	{PeerReceivedBytesTotal, KindCounter, nil, "Bytes received from other daemons."},
	{PeerSentTotal, KindCounter, nil, "Messages sent to other daemons."},
	{PeerReceivedTotal, KindCounter, nil, "Messages received from other daemons."},
	{PeerHeartbeatsTotal, KindCounter, nil, "Heartbeats sent on connections to other daemons."},
	{PeerDroppedTotal, KindCounter, nil, "Messages dropped from a full queue."},
	{PeerConnectionsOpenedTotal, KindCounter, nil, "Connections established to other daemons."},
	{PeerDialFailuresTotal, KindCounter, nil, "Failed attempts to connect to other daemons."},
	{PeerSilentConnectionsTotal, KindCounter, nil, "Connections to other daemons that became unresponsive."},
	{PeerLostConnectionsTotal, KindCounter, nil, "Connections to other daemons that ended with an error."},
	{PeerUnansweredCallsTotal, KindCounter, nil, "Calls to other daemons without an answer."},
	{PeerRefusedCallsTotal, KindCounter, nil, "Calls from other daemons that were refused without being handled."},
	{PeerInboundRefusedTotal, KindCounter, nil, "Connections from other daemons that were refused because of the connection limit."},
	{PeerInboundSlowTotal, KindCounter, nil, "Connections from other daemons that were closed for sending too slowly."},
	{PeerFrameFaultsTotal, KindCounter, byFault, "Invalid frames, by the kind of error."},
	{GatewayEndedTotal, KindCounter, byReason, "Requests that ended at a gateway, by outcome."},
	{GatewayRefusedTotal, KindCounter, byReason, "Requests that a gateway refused and that were not run, by reason."},
	{GatewayFailedTotal, KindCounter, byReason, "Requests that failed, timed out or were truncated at a gateway, by reason."},
	{GatewayRetriedTotal, KindCounter, byReason, "Requests sent to another backend server, by the result of the previous attempt."},
	{GatewayRetryGrantsTotal, KindCounter, byReason, "Retries asked of the retry budget: granted, denied although the allowance has some left since no written record reserves them (unreserved), or denied since it has none (exhausted)."},
	{GatewaySendsTotal, KindCounter, byReason, "Calls to backend servers with requests of callers: the first one of a request (first) and further ones (repeat). There are no more repeats than granted retries, but for calls of which no byte was sent."},
	{GatewayProbesTotal, KindCounter, byReason, "Probes of backend servers, by purpose (silence: a stream through the server is silent; end: a call to it broke off; unframed: an answer without an end mark ended with its connection; recovery: it was found dead before; refusal: it refused a request; asked: another gateway asked for a sign of life; verify: a request is to be sent to a plain server that has not been heard of lately, and servers of its service have been silent) and result."},
	{GatewayReachChecksTotal, KindCounter, byReason, "Checks whether this gateway is cut off from the servers of a service that other gateways reach, by result."},
	{GatewayCutOffTotal, KindCounter, byReason, "Requests that a gateway did not serve since it is cut off from the servers, by whether their callers may still have used an address answer from before (cached_address) or came although no gateway has named this one for longer than such answers are valid (not_named)."},
	{GatewayTurnedAwayTotal, KindCounter, byReason, "Streams that were refused before they ran because of overload, by what was predicted to fail: the first event (first_event_late), the pauses (pauses_too_long), or the memory that is kept for more urgent streams (memory_reserved)."},
	{GatewayLimitedTotal, KindCounter, byReason, "Requests for which a backend server with a rate limit was considered, by whether they were sent to it or the server was skipped for lack of a permit."},
	{GatewayRetryAfterTotal, KindCounter, byReason, "Answers with which backend servers asked for no further request for a time (stated), requests withdrawn before they were sent to such a server (withdrawn), and requests refused because all servers that could take them want none (refused)."},
	{GatewayDepartingTotal, KindCounter, nil, "Answers in which backend servers stated that they are leaving."},
	{GatewayHeadersTotal, KindCounter, byReason, "Header fields of backend servers and of the table service that can't be parsed (unreadable) or that the adapter does not know (unknown)."},
	{GatewayLayoutsTotal, KindCounter, nil, "Computed layer assignments. A high rate on a daemon that sends no orders takes CPU time from its requests."},
	{GatewayAnnouncementsTotal, KindCounter, byReason, "Announcements received from the daemons that follow the store, by whether they were new or duplicates."},
	{GatewayEndsToldTotal, KindCounter, byReason, "Notices to all other daemons of runs on servers that ended (all), and runs that were kept back and then told to the owner of their content (owner) or not at all, since they had been cleared (nobody)."},
	{GatewayBrokenCallsTotal, KindCounter, byReason, "Calls to backend servers that broke off, by the part of the answer that had arrived (before_header, in_body, before_event, after_event) and by what a probe then showed of the server."},
	{GatewayFeedSkippedTotal, KindCounter, byReason, "Rows (row) and answers of the table service (answer) that were not applied because their revision is not newer than what is known of the feed."},
	{GatewaySharesTotal, KindCounter, byReason, "Customers that began to exceed their share of a contended service (over) or returned within it (within), and messages about the use of services that this gateway sent (sent)."},
	{GatewayQueueRejectedTotal, KindCounter, byReason, "Requests that a gateway rejected in place of letting them wait for a server: too many waited (queue_full), they would not have been served in time (too_late), or their callers returned before they were told to, and before others (too_early)."},
	{GatewayAnswerSizesTotal, KindCounter, byReason, "Streams whose length was estimated, by what the estimate was made from: a hint of the caller, corrected by earlier answers (hint), earlier answers of the route (route), or a fixed share of the longest answer (default)."},
	{ControlMicrosecondsTotal, KindCounter, nil, "CPU time of the control goroutine, in microseconds."},

	{ActiveRequests, KindGauge, nil, "Requests in flight at this daemon."},
	{QueuedRequests, KindGauge, byService, "Requests waiting for a slot in the queues of replicas whose home is this daemon."},
	{LiveMembers, KindGauge, nil, "Daemons that this daemon considers alive, including itself."},
	{ServingReplicas, KindGauge, byService, "Replicas that can serve."},
	{HomedReplicas, KindGauge, byService, "Replicas whose home is this daemon."},
	{DocumentVersion, KindGauge, byService, "The active version of the document on this daemon."},
	{LeasesHeld, KindGauge, nil, "Services that this daemon controls."},
	{StoreQueued, KindGauge, nil, "Writes waiting for the store budget."},
	{ConfigVersion, KindGauge, nil, "The active version of the configuration at this gateway."},
	{OpenStreams, KindGauge, nil, "Streams that this gateway is forwarding."},
	{DeadServers, KindGauge, nil, "Backend servers that did not answer probes of this gateway and are avoided."},
	{UncoveredLayers, KindGauge, nil, "Layers that no usable backend server holds, over all services."},
	{Draining, KindGauge, nil, "1 during a planned stop."},
	{ConfigAge, KindGauge, nil, "Time since this gateway's configuration was last known to be current, in seconds."},
	{ServersAge, KindGauge, nil, "Time since this gateway's list of backend servers was last known to be current, in seconds."},
	{WaitingRequests, KindGauge, nil, "Requests that wait at this gateway for an available server or path."},
	{WaitingByClass, KindGauge, byClass, "Requests that wait in the queue of a service at this gateway, by the ranks of their customer and route."},
	{RetriesLeft, KindGauge, byService, "Retries that remain in this gateway's share of the budget."},
	{RetriesOpen, KindGauge, byService, "Retries that this gateway has taken from the budget and that may still arrive at a backend server."},
	{RetryRequests, KindGauge, byService, "Requests of the last window that earn retries, as this gateway counts them."},
	{LateCalls, KindGauge, nil, "Calls that this gateway gave up and that a backend server may still read."},
	{RoomUsed, KindGauge, byService, "Share of the engines' KV-cache capacity that this gateway's requests occupy, times the number of live gateways."},
	{ProcessMemory, KindGauge, nil, "Memory obtained from the operating system, in bytes."},
	{ShareInForce, KindGauge, byService, "Tokens that a customer may have of a contended service, over all gateways, decayed over 4 s; 0 while it is not contended."},
	{ShareUsed, KindGauge, byPlace, "Tokens that were admitted lately for the customer with the largest use of a contended service (place 1) to the tenth largest, over all gateways."},
	{CustomersOver, KindGauge, byService, "Customers that exceed their share of a contended service, among those that the table lists."},
	{AnswerSizeError, KindGauge, nil, "Mean absolute error of the estimated lengths of recent answers, as a share of their mean length."},
	{Isolated, KindGauge, nil, "1 while the daemon can't verify that its documents are current."},

	{FrontRefused, KindCounter, nil, "Requests that the HTTP front itself rejected as malformed or above one of its limits."},
	{FrontViewsOpen, KindGauge, nil, "Answers that are currently streamed to a connection."},
	{FrontViewsSlow, KindCounter, nil, "Streams ended because the caller did not read an event in time."},
	{FrontViewsGone, KindCounter, nil, "Streams ended because the caller closed its connection."},
	{FrontTokens, KindCounter, nil, "Tokens written to callers' connections, including repeated tokens of re-attached streams."},
	{FrontKeepAlives, KindCounter, nil, "Keep-alive comments sent on streams without a recent token."},

	{FirstTokenSeconds, KindHistogram, byClass, "Time from a request's arrival to its first token, in seconds."},
	{TokenGapSeconds, KindHistogram, byService, "Time between two tokens of one answer, in seconds."},
	{QueueSeconds, KindHistogram, byClass, "Time from a request's arrival to the grant of its slot, in seconds."},
	{StoreCallSeconds, KindHistogram, nil, "Duration of a call to the table service, in seconds."},
	{FirstEventSeconds, KindHistogram, byService, "Time from a request's arrival at a gateway to its first event, in seconds."},
	{EventGapSeconds, KindHistogram, byService, "Longest pause between two events of each stream at a gateway, in seconds."},
	{AnswerSeconds, KindHistogram, byService, "Time from a request's arrival at a gateway to the end of its answer, in seconds."},
	{GatewayWaitSeconds, KindHistogram, byService, "Time for which a request waited in the queue of a service at a gateway, whether it got a server or not, in seconds."},
	{StepSeconds, KindHistogram, byService, "Duration of one pipeline step in one stage, in seconds."},
}
