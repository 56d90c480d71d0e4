package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	pullWait    = time.Second            // how long an owner holds a Pull back for news
	pullTimeout = 2 * time.Second        // after it an owner counts as silent
	pullTries   = 2                      // silent pulls before the request is taken over
	followRetry = 100 * time.Millisecond // between pulls that failed
)

// pulled says why following another daemon's answer stopped.
type pulled int

const (
	pulledEnd     pulled = iota // the answer has ended
	pulledUnknown               // the owner does not have the request
	pulledSilent                // the owner does not answer
)

// pull copies the answer of a request that another daemon owns, until it ends or
// the owner is gone.
func (d *Daemon) pull(a *answer, id state.RequestID, address string) pulled {
	silent := 0
	for silent < pullTries {
		from, _, _ := a.after(0)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		res, err := d.node.Call(ctx, address, streams.Pull{Request: id, From: len(from), Wait: pullWait})
		cancel()
		got, ok := res.Msg.(streams.PullResult)
		switch {
		case err != nil || !ok:
			silent++
			time.Sleep(followRetry)
			continue
		case !got.Known:
			return pulledUnknown
		}
		silent = 0
		a.setRunning()
		for _, t := range got.Answer.Tokens {
			a.append(t)
		}
		if got.Answer.Outcome != nil {
			a.end(got.Answer.Outcome.State())
			return pulledEnd
		}
	}
	return pulledSilent
}

// servePull answers another daemon that follows a request of this one.
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

// resume gives a the rest of a request that this daemon does not own: from its
// record, from its owner, or by taking it over.
func (d *Daemon) resume(a *answer, rec streams.Record) {
	if rec.Answer != nil {
		fill(a, *rec.Answer)
		return
	}
	if d.pullFromOwner(a, rec) {
		return
	}
	d.log.Emit(telemetry.EventRequestTakenOver, telemetry.Request(rec.Request), telemetry.Peer(rec.Owner.ID))
	d.takeOver(a, rec)
}

// fill ends a with an answer that is complete.
func fill(a *answer, whole streams.Answer) {
	for _, t := range whole.Tokens {
		a.append(t)
	}
	a.end(whole.Outcome.State())
}

// pullFromOwner follows the owner if it is believed to live. It reports whether
// the answer ended.
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
	d.control.post(func() { d.control.members.unreachable(rec.Owner) })
	return false
}

// follow makes r's callers see the answer of another request of the same key,
// which its owner runs or has run.
func (r *runner) follow(id state.RequestID, owner state.Member) {
	r.followed.Store(&followed{id: id, owner: owner})
}

// followed names the request whose answer is given in place of a runner's own.
type followed struct {
	id    state.RequestID
	owner state.Member
}

// followOn gives r's callers the answer of the request of its key that came
// first. If that one's owner is gone, r's request is made again: its claim then
// takes the first one's over. It ends with o where nothing can be had.
func (r *runner) followOn(f followed, o state.Outcome) {
	d, a := r.d, r.answer
	d.metrics.Add(telemetry.JoinedRepeatsTotal, 1)
	if f.owner.ID == d.self.ID {
		other := d.requests.answer(f.id)
		if other == nil || other == a {
			a.end(o)
			return
		}
		copyAnswer(a, other)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookUpTimeout)
	defer cancel()
	rec, known := d.lookUp(ctx, f.id)
	switch {
	case known && rec.Answer != nil:
		fill(a, *rec.Answer)
	case d.pullFromOwner(a, streams.Record{Request: f.id, Owner: f.owner}):
	case r.follows < maxFollows:
		again := newRunner(d, r.spec, a)
		again.follows = r.follows + 1
		d.start(again)
	default:
		a.end(o)
	}
}

// maxFollows bounds how often a repeated request goes from one owner that is gone
// to the next.
const maxFollows = 3

// copyAnswer copies an answer of this daemon to its end.
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
