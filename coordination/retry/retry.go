package retry

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Config holds the bounds that are not part of a service document. Zero fields take the
// defaults.
type Config struct {
	// Window is the interval over which successes and retries count. Default 10 s.
	Window time.Duration

	// ServiceFloor and CustomerFloor are the retries per window and daemon that are
	// allowed without any success, so that a service with little traffic can be retried
	// at all. Defaults 10 and 3.
	ServiceFloor  int
	CustomerFloor int

	// BaseDelay bounds the delay before the second attempt. The bound doubles with each
	// attempt up to MaxDelay. Defaults 20 ms and 1 s.
	BaseDelay time.Duration
	MaxDelay  time.Duration

	// FailureTTL is how long a failed replica is excluded from the retries of all
	// requests. Default 2 s.
	FailureTTL time.Duration

	// MaxFailedReplicas bounds the failed replicas remembered per service. Default 64.
	MaxFailedReplicas int

	// MaxCustomers bounds the number of customer budgets held. A customer beyond it
	// gets no retries until the budget of another is idle. Default 8192.
	MaxCustomers int
}

// Defaults of a service document's retry policy.
const (
	defaultMaxAttempts = 3
	defaultBudgetRatio = 0.2
)

// customerKey identifies a customer of a service.
type customerKey struct {
	service  state.ServiceID
	customer state.CustomerID
}

// Budgets holds the retry budgets of one daemon. It is not safe for concurrent use.
type Budgets struct {
	cfg       Config
	start     time.Time
	rng       *rand.Rand
	services  map[state.ServiceID]*window
	customers map[customerKey]*window
	failed    map[state.ServiceID]*failedReplicas
}

// New returns empty budgets. start must not be after the first call's now.
func New(cfg Config, start time.Time, rng *rand.Rand) *Budgets {
	return &Budgets{
		cfg:       cfg.withDefaults(),
		start:     start,
		rng:       rng,
		services:  make(map[state.ServiceID]*window),
		customers: make(map[customerKey]*window),
		failed:    make(map[state.ServiceID]*failedReplicas),
	}
}

// Succeeded counts a request that ended with a complete answer.
func (b *Budgets) Succeeded(now time.Time, svc state.ServiceID, customer state.CustomerID) {
	bucket := b.bucket(now)
	b.service(svc).addSuccess(bucket)
	if w := b.customer(bucket, svc, customer); w != nil {
		w.addSuccess(bucket)
	}
}

// Decide returns the decision for a failed attempt. Checks that protect correctness
// come before those that protect capacity, and a denied retry uses no budget.
func (b *Budgets) Decide(now time.Time, f Failure) Decision {
	if f.Replica != "" && !f.ReplicaHealthy {
		b.failedOf(f.Service).add(f.Replica, now.Add(b.cfg.FailureTTL), b.cfg.MaxFailedReplicas)
	}
	if f.Execution != state.ExecutionNotRun && !f.Repeatable {
		return Deny{Denial: DenialNotRepeatable}
	}
	policy := withPolicyDefaults(f.Policy)
	if f.Attempts >= policy.MaxAttempts {
		return Deny{Denial: DenialAttempts}
	}
	if !f.Deadline.IsZero() && !now.Before(f.Deadline) {
		return Deny{Denial: DenialDeadline}
	}
	if d, ok := b.spend(now, f, policy.BudgetRatio); !ok {
		return Deny{Denial: d}
	}
	return b.allow(now, f)
}

func (b *Budgets) allow(now time.Time, f Failure) Allow {
	return Allow{Reason: f.Cause, After: b.delay(now, f), Exclude: b.exclude(now, f)}
}

// FailedReplicas returns the replicas of a service that failed recently.
func (b *Budgets) FailedReplicas(now time.Time, svc state.ServiceID) []state.ReplicaID {
	return b.exclude(now, Failure{Service: svc})
}

// spend takes one retry from both budgets or from neither.
func (b *Budgets) spend(now time.Time, f Failure, ratio float64) (Denial, bool) {
	bucket := b.bucket(now)
	svc := b.service(f.Service)
	if !svc.permits(bucket, b.cfg.ServiceFloor, ratio) {
		return DenialServiceBudget, false
	}
	customer := b.customer(bucket, f.Service, f.Customer)
	if customer == nil || !customer.permits(bucket, b.cfg.CustomerFloor, ratio) {
		return DenialCustomerBudget, false
	}
	svc.addRetry()
	customer.addRetry()
	return "", true
}

// delay returns the delay before the next attempt: full jitter below a bound that
// doubles with each attempt and never extends past the deadline.
func (b *Budgets) delay(now time.Time, f Failure) time.Duration {
	bound := b.cfg.BaseDelay
	for i := 1; i < f.Attempts && bound < b.cfg.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, b.cfg.MaxDelay)
	if !f.Deadline.IsZero() {
		bound = min(bound, f.Deadline.Sub(now))
	}
	return time.Duration(b.rng.Int64N(int64(bound)))
}

// exclude returns the request's own replicas and the service's failed ones, without
// duplicates.
func (b *Budgets) exclude(now time.Time, f Failure) []state.ReplicaID {
	failed := b.failedOf(f.Service)
	failed.expire(now)
	out := make([]state.ReplicaID, 0, len(f.Tried)+1+len(failed.replicas))
	out = append(out, f.Tried...)
	if f.Replica != "" {
		out = appendUnique(out, f.Replica)
	}
	for _, r := range failed.replicas {
		out = appendUnique(out, r.id)
	}
	return out
}

func appendUnique(ids []state.ReplicaID, id state.ReplicaID) []state.ReplicaID {
	for _, have := range ids {
		if have == id {
			return ids
		}
	}
	return append(ids, id)
}

func (b *Budgets) bucket(now time.Time) int64 {
	return bucketOf(b.start, now, b.cfg.Window/bucketCount)
}

func (b *Budgets) service(id state.ServiceID) *window {
	w := b.services[id]
	if w == nil {
		w = &window{}
		b.services[id] = w
	}
	return w
}

// customer returns the customer's window, or nil if MaxCustomers budgets are in use.
func (b *Budgets) customer(bucket int64, svc state.ServiceID, id state.CustomerID) *window {
	key := customerKey{service: svc, customer: id}
	if w := b.customers[key]; w != nil {
		return w
	}
	if len(b.customers) >= b.cfg.MaxCustomers {
		b.dropIdle(bucket)
	}
	if len(b.customers) >= b.cfg.MaxCustomers {
		return nil
	}
	w := &window{}
	b.customers[key] = w
	return w
}

func (b *Budgets) dropIdle(bucket int64) {
	for key, w := range b.customers {
		if w.idle(bucket) {
			delete(b.customers, key)
		}
	}
}

func (b *Budgets) failedOf(svc state.ServiceID) *failedReplicas {
	f := b.failed[svc]
	if f == nil {
		f = &failedReplicas{}
		b.failed[svc] = f
	}
	return f
}

func (c Config) withDefaults() Config {
	setDefault(&c.Window, 10*time.Second)
	setDefault(&c.ServiceFloor, 10)
	setDefault(&c.CustomerFloor, 3)
	setDefault(&c.BaseDelay, 20*time.Millisecond)
	setDefault(&c.MaxDelay, time.Second)
	setDefault(&c.FailureTTL, 2*time.Second)
	setDefault(&c.MaxFailedReplicas, 64)
	setDefault(&c.MaxCustomers, 8192)
	return c
}

func withPolicyDefaults(p service.Retry) service.Retry {
	setDefault(&p.MaxAttempts, defaultMaxAttempts)
	setDefault(&p.BudgetRatio, defaultBudgetRatio)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
