package peer

import (
	"errors"
	"time"
)

// errUnused ends a connection that was unused for IdleTimeout, with no call
// outstanding.
var errUnused = errors.New("connection was unused")

// livenessMonitor distinguishes an unresponsive connection from an idle one. It has no
// clock or timer of its own: it is given the current time, and returns when to send a
// heartbeat, when to close the connection and when to call it again.
type livenessMonitor struct {
	probeAfter, progressTimeout, idleProbeAfter, idleTimeout time.Duration

	lastWrite    time.Time // when a message was last written
	busySince    time.Time // when the first message after the last received frame was written
	lastProbe    time.Time // when the last heartbeat was written
	nextCheck    time.Time // when the next check is due
	onTimeChecks int       // consecutive on-time checks since the heartbeat's answer is overdue
}

// overdueChecks is how many consecutive checks must run on time before a connection
// counts as unresponsive. A heartbeat's answer is overdue after three quarters of
// progressTimeout; the checks are spread over the last quarter.
const overdueChecks = 3

// overdueInterval is the time between two of these checks.
func (m *livenessMonitor) overdueInterval() time.Duration {
	return m.progressTimeout / 4 / overdueChecks
}

func newLivenessMonitor(cfg *Config, now time.Time) livenessMonitor {
	return livenessMonitor{
		probeAfter: cfg.ProbeAfter, progressTimeout: cfg.ProgressTimeout,
		idleProbeAfter: cfg.IdleProbeAfter, idleTimeout: cfg.IdleTimeout,
		lastWrite: now, busySince: now, lastProbe: now, nextCheck: now,
	}
}

// recordWrite records that messages are written. lastReceived is when a frame was last
// received.
func (m *livenessMonitor) recordWrite(now, lastReceived time.Time) {
	if !m.lastWrite.After(lastReceived) {
		m.busySince = now
	}
	m.lastWrite = now
}

// check decides what to do with the connection; pending says that calls wait for
// answers. A non-nil error ends the connection. Otherwise the caller has to write a
// heartbeat if probe is set, and call check again after wait.
func (m *livenessMonitor) check(now, lastReceived time.Time, pending bool) (probe bool, wait time.Duration, err error) {
	if m.lastProbe.After(lastReceived) {
		wait, err = m.checkOverdue(now)
		return false, wait, err
	}
	busy := pending || m.lastWrite.After(lastReceived)
	if !busy && now.Sub(m.lastWrite) >= m.idleTimeout {
		return false, 0, errUnused
	}
	m.nextCheck = lastReceived.Add(m.idleProbeAfter)
	if busy {
		m.nextCheck = later(lastReceived, m.busySince).Add(m.probeAfter)
	}
	if now.Before(m.nextCheck) {
		return false, m.nextCheck.Sub(now), nil
	}
	m.lastProbe = now
	m.onTimeChecks = 0
	m.nextCheck = now.Add(m.progressTimeout * 3 / 4)
	return true, m.nextCheck.Sub(now), nil
}

// checkOverdue decides whether a heartbeat's answer is missing. An expired timeout is
// not enough: this process itself may have been paused, with the answer unread in the
// kernel. A daemon that resumes after a pause would close all its connections, and
// every call on them would be unanswered. So the last checks must all run on time: then
// the process was running and would have read the answer.
func (m *livenessMonitor) checkOverdue(now time.Time) (time.Duration, error) {
	if now.Before(m.nextCheck) {
		return m.nextCheck.Sub(now), nil
	}
	switch late := now.Sub(m.nextCheck) > m.overdueInterval(); {
	case late:
		m.onTimeChecks = 0
	case m.onTimeChecks == overdueChecks:
		return 0, ErrUnresponsive
	}
	m.onTimeChecks++
	m.nextCheck = now.Add(m.overdueInterval())
	return m.overdueInterval(), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
