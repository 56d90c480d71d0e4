package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// maxSilentServers bounds the silent servers that a record names: a row of the table holds 64 KB,
// and an address has up to 21 bytes.
const maxSilentServers = 500

// minRecordedSilence is how long a server is silent before a new record is written to name it: calls
// are also given up because their callers leave, and the server answers others meanwhile.
const minRecordedSilence = 500 * time.Millisecond

// silentServers are the servers that did not answer a call, and have answered none since. They may
// still read it, also after this process has ended.
//
// Guard (repeats-of-ended-daemons): the kernel of a server that stands still, or a link, keeps what
// an ended process has sent. The process after it holds the retries that may be among it until the
// servers that were silent then have answered something else.
type silentServers struct {
	silences map[string]silence // by address
	// before are those that were silent before this process began, at began.
	before map[string]bool
	began  time.Time
	// recorded are the servers that the last record names.
	recorded map[string]bool
}

// silence is when the first and the last of a server's calls without an answer ended.
type silence struct {
	first, last time.Time
}

func newSilentServers() silentServers {
	return silentServers{silences: make(map[string]silence)}
}

// add records that a call to a server ended without an answer.
func (l *silentServers) add(now time.Time, address string) {
	first := now
	if before, ok := l.silences[address]; ok {
		first = before.first
	}
	l.silences[address] = silence{first: first, last: now}
}

// inherit adds the servers that were silent as the process before this one made its last record.
func (l *silentServers) inherit(now time.Time, addresses []string) {
	l.before, l.began = make(map[string]bool, len(addresses)), now
	for _, address := range addresses {
		l.before[address] = true
		l.add(now, address)
	}
}

// heard is called when a server has answered a call that was sent at a time, or no process listens
// there any more. It reports whether that was the last one of before.
func (l *silentServers) heard(address string, sentAt time.Time) bool {
	if s, ok := l.silences[address]; ok && s.last.Before(sentAt) {
		delete(l.silences, address)
	}
	if !l.before[address] || sentAt.Before(l.began) {
		return false
	}
	delete(l.before, address)
	return len(l.before) == 0
}

// mayRead reports whether a server may still read a call that ended without an answer.
func (l *silentServers) mayRead(call lateCall) bool {
	s, ok := l.silences[call.address]
	return ok && !s.first.After(call.endedAt)
}

// expire forgets calls that were given up long ago. It reports whether that ended before.
func (l *silentServers) expire(now time.Time) bool {
	maps.DeleteFunc(l.silences, func(_ string, s silence) bool { return now.Sub(s.last) > lateCallTTL })
	if len(l.before) == 0 || now.Sub(l.began) <= lateCallTTL {
		return false
	}
	clear(l.before)
	return true
}

// record returns the addresses that a new record names.
func (l *silentServers) record() []string {
	out := slices.Sorted(maps.Keys(l.silences))
	out = out[:min(len(out), maxSilentServers)]
	l.recorded = lo.SliceToMap(out, func(address string) (string, bool) { return address, true })
	return out
}

// needRecord reports whether a server has been silent for a while that the last record does not
// name.
func (l *silentServers) needRecord(now time.Time) bool {
	if len(l.recorded) >= maxSilentServers {
		return false
	}
	for address, s := range l.silences {
		if !l.recorded[address] && now.Sub(s.first) >= minRecordedSilence {
			return true
		}
	}
	return false
}

// recordSilent records that a call to a server ended without an answer.
func (s *sharedState) recordSilent(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.add(now, address)
}

// settleInheritedIf settles the retries of the process before this one if the given function
// reports that none of them can arrive any more.
func (s *sharedState) settleInheritedIf(now time.Time, ended func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended() {
		s.budget.SettleInherited(now)
	}
}

// inheritRetries continues from what the process before this one has spent, and from the servers
// that were silent then.
func (s *sharedState) inheritRetries(now time.Time, tableNow time.Duration, use retrybudget.Record, silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Inherit(now, tableNow, use)
	s.silent.inherit(now, silent)
	if len(silent) == 0 {
		s.budget.SettleInherited(now)
	}
}

// recordSilentServers returns the silent servers for a new record.
func (s *sharedState) recordSilentServers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent.record()
}

// setSilentUnrecorded states that a record may not have been written.
func (s *sharedState) setSilentUnrecorded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.recorded = nil
}

// needsSilentRecord reports whether a silent server is in no record.
func (s *sharedState) needsSilentRecord(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent.needRecord(now)
}
