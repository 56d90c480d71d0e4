package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// leaveTime is how long the last messages of a planned stop get to leave.
const leaveTime = 200 * time.Millisecond

// handOnPoll is the time between two looks at the leases that are being released.
const handOnPoll = 20 * time.Millisecond

// Drain implements caller.Daemon: it begins a planned stop. The daemon leaves the
// address answers at once, goes on accepting until every answer that names it
// has run out, keeps every stream to its end, and then stops.
func (d *Daemon) Drain(ctx context.Context) {
	d.drainOnce.Do(func() {
		d.log.Emit(telemetry.EventDrainStarted)
		d.metrics.SetFlag(telemetry.Draining, true)
		until, ok := ask(ctx, d.control, d.control.addresses.drain)
		if !ok {
			until = time.Now().Add(d.set.AddressAnswerValid.Std() + d.set.Drain.Notice.Std())
		}
		d.control.post(d.control.leases.drain)
		go d.awaitDrained(until)
	})
}

// awaitDrained ends the daemon once its address answers have run out and no
// request is left, or at the limit of a planned stop.
func (d *Daemon) awaitDrained(until time.Time) {
	limit := time.NewTimer(d.set.Drain.Limit.Std())
	defer limit.Stop()
	if !d.sleepUntil(until) {
		return
	}
	d.log.Emit(telemetry.EventDrainAnswersExpired)
	// From here on new requests are refused as not run: nobody has a reason to
	// come any more.
	if _, ok := ask(context.Background(), d.control, func() bool {
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

// awaitIdle waits until no request is live and the answers are read. It reports
// false at the limit.
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

// stop ends a drained daemon: callers that still read their last tokens get them,
// the other daemons are told, and everything closes.
func (d *Daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Drain.Limit.Std())
	defer cancel()
	_ = d.server.Shutdown(ctx) // waits for open streams
	d.awaitHandedOn(ctx)
	_, _ = ask(ctx, d.control, func() bool {
		d.control.members.step(membership.Leave{})
		return true
	})
	d.sleepUntil(time.Now().Add(leaveTime))
	d.log.Emit(telemetry.EventDaemonStopped)
	d.Kill()
}

// awaitHandedOn waits until the leases are released: they were asked for when the
// stop began, and no order may be under way. With the store down they can't be
// released; the next holder then waits a term.
func (d *Daemon) awaitHandedOn(ctx context.Context) {
	bound := d.set.Leases.LongestOrder.Std() + d.set.Store.Timeout.Std()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for {
		done, ok := ask(ctx, d.control, d.control.leases.handedOn)
		if done || !ok || !d.sleepUntil(time.Now().Add(handOnPoll)) {
			return
		}
	}
}
