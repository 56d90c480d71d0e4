package gateway

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// lateCallTTL is how long a call without an answer may still arrive, if its server shows no sign of
// life.
const lateCallTTL = time.Minute

// openRetries are the retries of a request that may still arrive at a server.
//
// Guard (repeats-arrive-late): a retry counts from when it is granted until one window after the
// last moment at which it may arrive. Between lie waits for a server, a permit and a connection,
// standstills of this daemon, and servers and links that are late. An attempt that was given up
// may arrive after the one that replaced it, and is the repeat then.
type openRetries struct {
	grants     []retrybudget.Grant
	unanswered []lateCall // attempts that ended without an answer and may still arrive
}

// lateCall is a call that was given up, or whose connection broke, after it was sent and without
// an answer.
type lateCall struct {
	address string
	endedAt time.Time
	request *lateRequest
}

// lateRequest is a request that has ended and of which calls may still arrive. Each of them may
// be the repeat, so that a retry ends only once fewer calls are left than retries.
type lateRequest struct {
	grants []retrybudget.Grant
	calls  int // that may still arrive
}

// spendRetry takes a retry from the budget and reports whether there was one. It is called with
// retrierMu held.
func (r *requestHandler) spendRetry(now time.Time) bool {
	grant, ok := r.g.spendRetry(now, r.service.ID, r.view.slackShare)
	if ok {
		r.retries.grants = append(r.retries.grants, grant)
	}
	return ok
}

// recordUnanswered records that the current attempt ended without an answer and may still arrive,
// also if its connection broke: the kernel of a server that stands still keeps what it has received.
func (r *requestHandler) recordUnanswered(address string) {
	now := time.Now()
	r.g.shared.recordSilent(now, address)
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	r.retries.unanswered = append(r.retries.unanswered, lateCall{address: address, endedAt: now})
}

// recordArrival records that an attempt sent at a time has been answered.
func (r *requestHandler) recordArrival(address string, sentAt time.Time) {
	now := time.Now()
	r.g.shared.settleLateCalls(now, address, sentAt)
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	r.g.shared.settleRetries(now, &r.retries)
}

// endRetries is called when the request ends. It gives back a retry that was paid for and not
// sent, and leaves those that may still arrive to the shared state.
func (r *requestHandler) endRetries() {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	open := &r.retries
	if _, unused := r.retrier.Unused(); unused && len(open.grants) > 0 {
		last := len(open.grants) - 1
		r.g.shared.refundRetry(open.grants[last])
		open.grants = open.grants[:last]
	}
	r.g.shared.holdLateCalls(time.Now(), open)
}

// settleRetries ends the retries of a request that can arrive no more, while no attempt is under
// way.
func (s *sharedState) settleRetries(now time.Time, open *openRetries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleOpen(now, open)
}

func (s *sharedState) settleOpen(now time.Time, open *openRetries) {
	open.unanswered = slices.DeleteFunc(open.unanswered, func(call lateCall) bool { return !s.silent.mayRead(call) })
	n := max(0, len(open.grants)-len(open.unanswered))
	for _, grant := range open.grants[:n] {
		s.budget.Settle(now, grant)
	}
	open.grants = open.grants[n:]
}

// refundRetry gives back a retry that was not made.
func (s *sharedState) refundRetry(grant retrybudget.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Refund(grant)
}

// holdLateCalls keeps the retries of a request that has ended open that may still arrive.
func (s *sharedState) holdLateCalls(now time.Time, open *openRetries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleOpen(now, open)
	if len(open.grants) == 0 {
		return
	}
	request := &lateRequest{grants: open.grants, calls: len(open.unanswered)}
	for _, call := range open.unanswered {
		call.request = request
		s.lateCalls[call.address] = append(s.lateCalls[call.address], call)
	}
}

// settleLateCalls is called when the server at an address has answered something that was sent at
// a time, or no process listens there any more: calls that ended before have arrived, or never will.
func (s *sharedState) settleLateCalls(now time.Time, address string, sentAt time.Time) {
	s.settleLateCallsIf(now, address, func(call lateCall) bool { return call.endedAt.Before(sentAt) })
	s.settleInheritedIf(now, func() bool { return s.silent.heard(address, sentAt) })
}

// lateCallCount returns how many calls ended without an answer and may still arrive.
func (s *sharedState) lateCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.SumBy(lo.Values(s.lateCalls), func(calls []lateCall) int { return len(calls) })
}

// expireLateCalls settles calls that ended long ago.
func (s *sharedState) expireLateCalls(now time.Time) {
	s.mu.Lock()
	addresses := lo.Keys(s.lateCalls)
	s.mu.Unlock()
	for _, address := range addresses {
		s.settleLateCallsIf(now, address, func(call lateCall) bool { return now.Sub(call.endedAt) > lateCallTTL })
	}
	s.settleInheritedIf(now, func() bool { return s.silent.expire(now) })
}

func (s *sharedState) settleLateCallsIf(now time.Time, address string, settled func(lateCall) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, ok := s.lateCalls[address]
	if !ok {
		return
	}
	calls = slices.DeleteFunc(calls, func(call lateCall) bool {
		if !settled(call) {
			return false
		}
		call.request.calls--
		for len(call.request.grants) > call.request.calls {
			s.budget.Settle(now, call.request.grants[0])
			call.request.grants = call.request.grants[1:]
		}
		return true
	})
	if len(calls) > 0 {
		s.lateCalls[address] = calls
		return
	}
	delete(s.lateCalls, address)
}
