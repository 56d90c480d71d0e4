package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	pullWait        = time.Second            // how long an owner delays its answer to a Pull if it has nothing new
	pullTimeout     = 2 * time.Second        // after it the owner counts as unresponsive
	maxPullFailures = 2                      // consecutive failed pulls before the request is taken over
	pullRetryDelay  = 100 * time.Millisecond // between failed pulls
)

// pulled is the reason why copying another daemon's answer stopped.
type pulled int

const (
	pulledEnd          pulled = iota // the answer has ended
	pulledUnknown                    // the owner does not have the request
	pulledUnresponsive               // the owner does not answer
)

// pull copies the answer of a request that another daemon owns, until it ends
// or the owner is gone.
func (d *Daemon) pull(a *answer, id state.RequestID, address string) pulled {
	failures := 0
	for failures < maxPullFailures {
		from, _, _ := a.after(0)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		res, err := d.node.Call(ctx, address, streams.Pull{Request: id, From: len(from), Wait: pullWait})
		cancel()
		got, ok := res.Msg.(streams.PullResult)
		switch {
		case err != nil || !ok:
			failures++
			time.Sleep(pullRetryDelay)
			continue
		case !got.Known:
			return pulledUnknown
		}
		failures = 0
		a.setRunning()
		for _, t := range got.Answer.Tokens {
			a.append(t)
		}
		if got.Answer.Outcome != nil {
			a.end(got.Answer.Outcome.State())
			return pulledEnd
		}
	}
	return pulledUnresponsive
}

// servePull answers another daemon that copies the answer of a request of this
// one.
func (d *Daemon) servePull(ctx context.Context, p streams.Pull) streams.PullResult {
	a := d.requests.answer(p.Request)
	if a == nil {
		return streams.PullResult{}
	}
	wait := time.NewTimer(min(p.Wait, pullWait))
	defer wait.Stop()
	for {
		tokens, outcome, changed := a.after(p.From)
		if len(tokens) > 0 || outcome != nil {
			return streams.PullResult{Known: true, Answer: streams.Answer{
				From: p.From, Tokens: tokens, Outcome: streams.NewOutcome(outcome),
			}}
		}
		select {
		case <-changed:
		case <-wait.C:
			return streams.PullResult{Known: true, Answer: streams.Answer{From: p.From}}
		case <-ctx.Done():
			return streams.PullResult{}
		}
	}
}

// resume completes the answer a of a request that this daemon does not own:
// from the request's record, from its owner, or by taking it over.
func (d *Daemon) resume(a *answer, rec streams.Record) {
	if rec.Answer != nil {
		completeAnswer(a, *rec.Answer)
		return
	}
	if d.pullFromOwner(a, rec) {
		return
	}
	d.log.Emit(telemetry.EventRequestTakenOver, telemetry.Request(rec.Request), telemetry.Peer(rec.Owner.ID))
	d.takeOver(a, rec)
}

// completeAnswer ends a with a complete answer.
func completeAnswer(a *answer, final streams.Answer) {
	for _, t := range final.Tokens {
		a.append(t)
	}
	a.end(final.Outcome.State())
}

// pullFromOwner copies the answer from the owner if that is considered alive.
// It reports whether the answer ended.
func (d *Daemon) pullFromOwner(a *answer, rec streams.Record) bool {
	v := d.view()
	if rec.Owner.ID == d.self.ID || v.members == nil {
		return false
	}
	info, ok := v.members.Lookup(rec.Owner.ID)
	if !ok || !info.Live() || info.Member != rec.Owner {
		return false
	}
	if d.pull(a, rec.Request, info.Meta.PeerAddress) == pulledEnd {
		return true
	}
	d.control.post(func() { d.control.members.markUnreachable(rec.Owner) })
	return false
}

// join gives r's callers the answer of another request of the same key, which
// its owner runs or has run.
func (r *runner) join(id state.RequestID, owner state.Member) {
	r.joined.Store(&joinedRequest{id: id, owner: owner})
}

// joinedRequest names the request whose answer replaces a runner's own.
type joinedRequest struct {
	id    state.RequestID
	owner state.Member
}

// deliverJoined gives r's callers the answer of the first request of its key.
// If that request's owner is gone, r's request is made again, and its claim
// takes over the first one's. If no answer can be obtained, the answer ends
// with o.
func (r *runner) deliverJoined(first joinedRequest, o state.Outcome) {
	d, a := r.d, r.answer
	d.metrics.Add(telemetry.JoinedRepeatsTotal, 1)
	if first.owner.ID == d.self.ID {
		other := d.requests.answer(first.id)
		if other == nil || other == a {
			a.end(o)
			return
		}
		copyAnswer(a, other)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	rec, known := d.lookup(ctx, first.id)
	switch {
	case known && rec.Answer != nil:
		completeAnswer(a, *rec.Answer)
	case d.pullFromOwner(a, streams.Record{Request: first.id, Owner: first.owner}):
	case r.joinAttempts < maxJoinAttempts:
		next := newRunner(d, r.spec, a)
		next.joinAttempts = r.joinAttempts + 1
		d.start(next)
	default:
		a.end(o)
	}
}

// maxJoinAttempts bounds how many owners that are gone a repeated request tries
// to join.
const maxJoinAttempts = 3

// copyAnswer copies an answer of this daemon until it has ended.
func copyAnswer(to, from *answer) {
	for next := 0; ; {
		tokens, outcome, changed := from.after(next)
		for _, t := range tokens {
			to.append(t)
		}
		next += len(tokens)
		if len(tokens) == 0 && outcome != nil {
			to.end(outcome)
			return
		}
		if len(tokens) == 0 {
			<-changed
		}
	}
}
