package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

// Daemon is one router process.
type Daemon struct {
	set     settings.Settings
	log     *telemetry.Log
	metrics *telemetry.Metrics

	table     platform.Table
	instances platform.Instances

	owner      uint32 // tells this life of this daemon from all others
	askTimeout time.Duration

	backends *backends
	requests *requests
	slots    *slotTable
	claims   *claimTable
	current  atomic.Pointer[viewOf]

	listener net.Listener
	server   *http.Server

	drainOnce sync.Once
	drain     chan struct{} // closed when a planned stop begins
	kill      chan struct{} // closed when the daemon ends
	killOnce  sync.Once
	done      chan struct{} // closed when everything has ended
}

// New provisions a daemon from checked settings. It opens no port yet.
func New(set settings.Settings, log *telemetry.Log) *Daemon {
	opts := platformhttp.Options{ProgressTimeout: set.Store.Timeout.Std()}
	life := newLife()
	d := &Daemon{
		set:        set,
		log:        log.With(telemetry.Daemon(set.ID)),
		metrics:    telemetry.NewMetrics(),
		table:      platformhttp.NewTable(set.Platform.TableURL, opts),
		instances:  platformhttp.NewInstances(set.Platform.InstancesURL, opts),
		owner:      uint32(xxhash.Sum64String(string(set.ID) + "/" + life)),
		askTimeout: set.Backends.ProgressTimeout.Std(),
		backends: newBackends(enginehttp.Options{
			DialTimeout:     set.Backends.ConnectTimeout.Std(),
			ProgressTimeout: set.Backends.ProgressTimeout.Std(),
		}),
		requests: newRequests(),
		drain:    make(chan struct{}),
		kill:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	d.slots = newSlotTable(d)
	d.claims = &claimTable{table: d.table}
	d.current.Store(&viewOf{})
	return d
}

// newLife names this life of a daemon, unlike any other's.
func newLife() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}

func (d *Daemon) view() *viewOf {
	return d.current.Load()
}

// Start opens the daemon's addresses and begins to serve.
func (d *Daemon) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		return fmt.Errorf("caller_address %s: %w", d.set.CallerAddress, err)
	}
	d.listener = l
	d.refresh(ctx)
	d.server = &http.Server{
		Handler:           front.New(d, front.Options{Metrics: d.metrics.Handler()}),
		ReadHeaderTimeout: front.DefaultBodyTimeout,
	}
	go func() { _ = d.server.Serve(l) }()
	go d.control()
	d.log.Emit(telemetry.EventDaemonStarted, telemetry.Address(d.CallerAddress()))
	return nil
}

// CallerAddress is where callers connect, host:port.
func (d *Daemon) CallerAddress() string {
	return d.listener.Addr().String()
}

// Kill ends the daemon at once, as the loss of its instance would: connections
// are cut and nothing is handed on.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		close(d.kill)
		_ = d.server.Close()
	})
}

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} {
	return d.done
}

// control is the control goroutine.
func (d *Daemon) control() {
	defer close(d.done)
	ticker := time.NewTicker(d.set.Store.DigestInterval.Std())
	defer ticker.Stop()
	drain := d.drain
	for {
		select {
		case <-ticker.C:
			d.refresh(context.Background())
		case <-drain:
			drain = nil
			go d.awaitIdle()
		case <-d.kill:
			return
		}
	}
}

// awaitIdle ends the daemon once its address answers have run out and no
// request is left.
func (d *Daemon) awaitIdle() {
	time.Sleep(d.set.AddressAnswerValid.Std() + d.set.Drain.Grace.Std())
	for {
		n, idle := d.requests.active()
		if n == 0 {
			break
		}
		<-idle
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Drain.Limit.Std())
	defer cancel()
	_ = d.server.Shutdown(ctx)
	d.killOnce.Do(func() { close(d.kill) })
}

// askRetry answers at once: the attempt limit of the document.
func (d *Daemon) askRetry(r *runner, a request.AskRetry) {
	d.metrics.Retried(a.Reason)
	v := d.view().documents[r.spec.Service]
	limit := uint32(3)
	if v != nil && v.Document.Retry.MaxAttempts > 0 {
		limit = uint32(v.Document.Retry.MaxAttempts)
	}
	allowed := a.Attempt.Number() < limit
	go r.post(request.RetryDecided{Allowed: allowed, Reason: state.ReasonRetriesExhausted})
}

func (d *Daemon) registerAttempt(*runner, request.AttemptBegan) {}
func (d *Daemon) registerEnd(*runner, state.Outcome)            {}

func (d *Daemon) releaseAttempt(r *runner, a request.ReleaseAttempt) {
	go d.cancelAttempt(r.spec, a.Attempt, a.Replica)
}

func (d *Daemon) backendFailed(request.Spec, state.Stage, bool) {}

func (d *Daemon) logEnd(spec request.Spec, o state.Outcome) {
	fields := []telemetry.Field{telemetry.Request(spec.ID), telemetry.Service(spec.Service)}
	switch o := o.(type) {
	case state.Refused:
		d.log.Emit(telemetry.EventRequestRefused, append(fields, telemetry.Reason(o.Reason))...)
	case state.Failed:
		d.log.Emit(telemetry.EventRequestFailed, append(fields, telemetry.Reason(o.Reason))...)
	case state.Unknown:
		d.log.Emit(telemetry.EventRequestUnknown, append(fields, telemetry.Reason(o.Reason))...)
	}
}
