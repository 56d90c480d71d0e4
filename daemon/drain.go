package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// leaveFlushDelay gives the last messages of a planned stop time to be sent.
const leaveFlushDelay = 200 * time.Millisecond

// releasePollInterval is how often the leases that are being released are
// checked.
const releasePollInterval = 20 * time.Millisecond

// Drain implements caller.Daemon: it starts a planned stop. The daemon is
// removed from address answers immediately, accepts requests until every answer
// that names it has expired, finishes all open streams, and then stops.
func (d *Daemon) Drain(ctx context.Context) {
	d.drainOnce.Do(func() {
		d.log.Emit(telemetry.EventDrainStarted)
		d.metrics.SetFlag(telemetry.Draining, true)
		until, ok := callControl(ctx, d.control, d.control.addresses.drain)
		if !ok {
			until = time.Now().Add(d.config.AddressAnswerValid.Std() + d.config.Drain.Notice.Std())
		}
		d.control.post(d.control.leases.drain)
		go d.awaitDrained(until)
	})
}

// awaitDrained stops the daemon once its address answers have expired and no
// request is live, or when the drain limit is reached.
func (d *Daemon) awaitDrained(until time.Time) {
	limit := time.NewTimer(d.config.Drain.Limit.Std())
	defer limit.Stop()
	if !d.sleepUntil(until) {
		return
	}
	d.log.Emit(telemetry.EventDrainAnswersExpired)
	// From here on new requests are refused as not run: no caller holds a valid
	// address of this daemon.
	if _, ok := callControl(context.Background(), d.control, func() bool {
		d.publish(func(v *view) { v.draining = true })
		return true
	}); !ok {
		return
	}
	if d.awaitIdle(limit.C) {
		d.log.Emit(telemetry.EventDrainCompleted)
	} else {
		d.log.Emit(telemetry.EventDrainLimitReached)
	}
	d.stop()
}

// sleepUntil reports false if the daemon ends first.
func (d *Daemon) sleepUntil(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.kill:
		return false
	}
}

// awaitIdle waits until no request is live. It reports false if the limit is
// reached first.
func (d *Daemon) awaitIdle(limit <-chan time.Time) bool {
	for {
		n, idle := d.requests.active()
		if n == 0 {
			return true
		}
		select {
		case <-idle:
		case <-limit:
			return false
		case <-d.kill:
			return true
		}
	}
}

// stop ends a drained daemon. It lets callers read the end of their streams,
// waits until the leases are released, announces the departure to the other
// daemons and closes everything.
func (d *Daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.config.Drain.Limit.Std())
	defer cancel()
	_ = d.server.Shutdown(ctx) // waits for open streams
	d.awaitLeasesReleased(ctx)
	_, _ = callControl(ctx, d.control, func() bool {
		d.control.members.step(membership.Leave{})
		return true
	})
	d.sleepUntil(time.Now().Add(leaveFlushDelay))
	d.log.Emit(telemetry.EventDaemonStopped)
	d.Kill()
}

// awaitLeasesReleased waits until the leases are released. Their release was
// requested when the stop began, but is delayed while an order may be in
// flight. With the store unavailable they can't be released; the next holder
// then waits until the lease has expired.
func (d *Daemon) awaitLeasesReleased(ctx context.Context) {
	timeout := d.config.Leases.LongestOrder.Std() + d.config.Store.Timeout.Std()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		done, ok := callControl(ctx, d.control, d.control.leases.allReleased)
		if done || !ok || !d.sleepUntil(time.Now().Add(releasePollInterval)) {
			return
		}
	}
}
