package peer

import (
	"errors"
	"time"
)

// errIdle ends a connection that was unused for IdleClose; nothing is owed on it.
var errIdle = errors.New("connection was unused")

// watch tells a connection that is silent from one that is quiet. It has no
// clock: times come in, the end, the need of a heartbeat and the next time to
// look go out.
type watch struct {
	probeAfter, silentAfter, idleProbe, idleClose time.Duration

	used      time.Time // a message was last written
	busySince time.Time // the first message was written after the last frame came
	probed    time.Time // the last heartbeat was written
	due       time.Time // when the next look was planned
	onTime    int       // looks in a row since the heartbeat's answer is overdue
}

// A heartbeat's answer is overdue after three quarters of silentAfter. The last
// quarter is spent on overdueLooks looks, all of which have to come on time.
const overdueLooks = 3

// overdueStep is the time between two of them.
func (w *watch) overdueStep() time.Duration {
	return w.silentAfter / 4 / overdueLooks
}

func newWatch(cfg *Config, now time.Time) watch {
	return watch{
		probeAfter: cfg.ProbeAfter, silentAfter: cfg.ProgressTimeout,
		idleProbe: cfg.IdleProbeAfter, idleClose: cfg.IdleTimeout,
		used: now, busySince: now, probed: now, due: now,
	}
}

// wrote notes that messages are written; heard is when a frame last came.
func (w *watch) wrote(now, heard time.Time) {
	if !w.used.After(heard) {
		w.busySince = now
	}
	w.used = now
}

// look decides. owed says that calls wait for answers. A non-nil error ends the
// connection; else a heartbeat is to be written if probe, and look is to be
// called again after wait.
func (w *watch) look(now, heard time.Time, owed bool) (probe bool, wait time.Duration, err error) {
	if w.probed.After(heard) {
		wait, err = w.overdue(now)
		return false, wait, err
	}
	busy := owed || w.used.After(heard)
	if !busy && now.Sub(w.used) >= w.idleClose {
		return false, 0, errIdle
	}
	w.due = heard.Add(w.idleProbe)
	if busy {
		w.due = later(heard, w.busySince).Add(w.probeAfter)
	}
	if now.Before(w.due) {
		return false, w.due.Sub(now), nil
	}
	w.probed = now
	w.onTime = 0
	w.due = now.Add(w.silentAfter * 3 / 4)
	return true, w.due.Sub(now), nil
}

// overdue waits for a heartbeat's answer. That its time has passed is not enough:
// this process itself may have stood still, and the answer lie unread in the
// kernel. A daemon that was paused would give up every connection when it wakes,
// and every call on them would be unanswered. So the last looks have to come on
// time, one after the other: then the process ran, and would have read it.
func (w *watch) overdue(now time.Time) (time.Duration, error) {
	if now.Before(w.due) {
		return w.due.Sub(now), nil
	}
	switch late := now.Sub(w.due) > w.overdueStep(); {
	case late:
		w.onTime = 0
	case w.onTime == overdueLooks:
		return 0, ErrUnresponsive
	}
	w.onTime++
	w.due = now.Add(w.overdueStep())
	return w.overdueStep(), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
