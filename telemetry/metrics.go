package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// reportInterval is the interval at which values are reported to /metrics, and so
// the maximum age of a scrape.
const reportInterval = 500 * time.Millisecond

// buckets are the upper bounds of all histograms, in seconds. They are dense around
// the targets of 68 ms between two tokens and 0.55 s to the first token.
var buckets = tally.ValueBuckets{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.068, 0.1, 0.15,
	0.25, 0.4, 0.55, 0.8, 1.2, 2, 4, 8, 15, 30, 60,
}

// Metrics are the metrics of one daemon. Each has its own registry, so that several
// daemons in one process have separate values.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	refused    map[state.Reason]tally.Counter
	failed     map[state.Reason]tally.Counter
	unknown    map[state.Reason]tally.Counter
	retried    map[state.RetryReason]tally.Counter
	counters   map[Name]tally.Counter
	gauges     map[Name]tally.Gauge
	histograms map[Name]tally.Histogram
}

// NewMetrics returns metrics with all values at zero. Close stops the reporting.
func NewMetrics() *Metrics {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		scope:      scope,
		closer:     closer,
		handler:    reporter.HTTPHandler(),
		refused:    reasonCounters(scope, RefusedTotal, state.Reasons()),
		failed:     reasonCounters(scope, FailedTotal, state.Reasons()),
		unknown:    reasonCounters(scope, UnknownTotal, state.Reasons()),
		retried:    reasonCounters(scope, RetriedTotal, state.RetryReasons()),
		counters:   make(map[Name]tally.Counter),
		gauges:     make(map[Name]tally.Gauge),
		histograms: make(map[Name]tally.Histogram),
	}
	m.createUnlabeled()
	return m
}

// reasonCounters creates a counter per reason, so that each is exported as 0 from
// the start.
func reasonCounters[R ~string](scope tally.Scope, name Name, reasons []R) map[R]tally.Counter {
	counters := make(map[R]tally.Counter, len(reasons))
	for _, r := range reasons {
		counters[r] = reasonCounter(scope, name, r)
	}
	return counters
}

func reasonCounter[R ~string](scope tally.Scope, name Name, reason R) tally.Counter {
	tags := map[string]string{string(LabelReason): string(reason)}
	return scope.Tagged(tags).Counter(string(name))
}

func (m *Metrics) createUnlabeled() {
	for _, metric := range metrics {
		if len(metric.Labels) > 0 {
			continue
		}
		name := string(metric.Name)
		switch metric.Kind {
		case KindCounter:
			m.counters[metric.Name] = m.scope.Counter(name)
		case KindGauge:
			m.gauges[metric.Name] = m.scope.Gauge(name)
		case KindHistogram:
			m.histograms[metric.Name] = m.scope.Histogram(name, buckets)
		}
	}
}

// Scope returns the scope for components that create metrics themselves. Their
// metrics are in Catalogue too.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Handler serves the metrics in the Prometheus format, for /metrics. The values
// are at most half a second old.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close reports the values once more and stops the reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Accepted counts an accepted request.
func (m *Metrics) Accepted(service state.ServiceID, class state.ClassID) {
	m.classScope(service, class).Counter(string(AcceptedTotal)).Inc(1)
}

// Completed counts a request whose complete answer was delivered.
func (m *Metrics) Completed(service state.ServiceID, class state.ClassID) {
	m.classScope(service, class).Counter(string(CompletedTotal)).Inc(1)
}

// Refused counts a request that was refused as not run.
func (m *Metrics) Refused(r state.Reason) {
	incReason(m, RefusedTotal, m.refused, r)
}

// Failed counts a request that started and whose answer is incomplete.
func (m *Metrics) Failed(r state.Reason) {
	incReason(m, FailedTotal, m.failed, r)
}

// Unknown counts a request for which it is not known whether it ran.
func (m *Metrics) Unknown(r state.Reason) {
	incReason(m, UnknownTotal, m.unknown, r)
}

// Retried counts an attempt after the first.
func (m *Metrics) Retried(r state.RetryReason) {
	incReason(m, RetriedTotal, m.retried, r)
}

// incReason increments the counter of reason. A peer that runs a newer version may
// send a reason that this version does not list; it is counted under its own name
// and not dropped.
func incReason[R ~string](m *Metrics, name Name, counters map[R]tally.Counter, reason R) {
	c, ok := counters[reason]
	if !ok {
		c = reasonCounter(m.scope, name, reason)
	}
	c.Inc(1)
}

// Ended counts the outcome of a request.
func (m *Metrics) Ended(service state.ServiceID, class state.ClassID, o state.Outcome) {
	switch o := o.(type) {
	case state.Completed:
		m.Completed(service, class)
	case state.Refused:
		m.Refused(o.Reason)
	case state.Failed:
		m.Failed(o.Reason)
	case state.Unknown:
		m.Unknown(o.Reason)
	}
}

// CountReason increments a counter that has the label "reason". The possible
// reasons are defined by the package that decides on them.
func (m *Metrics) CountReason(name Name, reason string) {
	m.AddReason(name, reason, 1)
}

// AddReason adds n to a counter with the reason as a label.
func (m *Metrics) AddReason(name Name, reason string, n int64) {
	if n > 0 {
		m.scope.Tagged(map[string]string{string(LabelReason): reason}).Counter(string(name)).Inc(n)
	}
}

// Tokens counts n tokens delivered to callers.
func (m *Metrics) Tokens(n int) {
	m.Add(TokensTotal, int64(n))
}

// Add adds n to a counter without labels.
func (m *Metrics) Add(name Name, n int64) {
	unlabeled(m.counters, name).Inc(n)
}

// Set sets a gauge without labels.
func (m *Metrics) Set(name Name, v float64) {
	unlabeled(m.gauges, name).Update(v)
}

// SetFlag sets a gauge without labels to 1 or 0.
func (m *Metrics) SetFlag(name Name, on bool) {
	v := 0.0
	if on {
		v = 1
	}
	m.Set(name, v)
}

// Observe adds a duration to a histogram without labels.
func (m *Metrics) Observe(name Name, d time.Duration) {
	unlabeled(m.histograms, name).RecordValue(d.Seconds())
}

func unlabeled[M any](all map[Name]M, name Name) M {
	v, ok := all[name]
	if !ok {
		panic("telemetry: " + string(name) + " is not an unlabeled metric of this kind")
	}
	return v
}

// SetService sets a gauge that has the label "service".
func (m *Metrics) SetService(name Name, service state.ServiceID, v float64) {
	m.serviceScope(service).Gauge(string(name)).Update(v)
}

// SetPlace sets a gauge that has the labels "service" and "place".
func (m *Metrics) SetPlace(name Name, service state.ServiceID, place string, v float64) {
	tags := map[string]string{string(LabelService): string(service), string(LabelPlace): place}
	m.scope.Tagged(tags).Gauge(string(name)).Update(v)
}

// SetClass sets a gauge that has the labels "service" and "class".
func (m *Metrics) SetClass(name Name, service state.ServiceID, class state.ClassID, v float64) {
	m.classScope(service, class).Gauge(string(name)).Update(v)
}

// ObserveService adds a duration to a histogram that has the label "service".
func (m *Metrics) ObserveService(name Name, service state.ServiceID, d time.Duration) {
	m.serviceScope(service).Histogram(string(name), buckets).RecordValue(d.Seconds())
}

// ObserveClass adds a duration to a histogram that has the labels "service" and
// "class".
func (m *Metrics) ObserveClass(name Name, service state.ServiceID, class state.ClassID, d time.Duration) {
	m.classScope(service, class).Histogram(string(name), buckets).RecordValue(d.Seconds())
}

func (m *Metrics) serviceScope(service state.ServiceID) tally.Scope {
	return m.scope.Tagged(map[string]string{string(LabelService): string(service)})
}

func (m *Metrics) classScope(service state.ServiceID, class state.ClassID) tally.Scope {
	return m.scope.Tagged(map[string]string{
		string(LabelService): string(service),
		string(LabelClass):   string(class),
	})
}
