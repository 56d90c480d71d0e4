package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/registry"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	registrars    = 2                      // daemons that keep a request's record
	lookUpTimeout = 500 * time.Millisecond // for all registrars together
	recordBytes   = 512                    // of a record without prompt and tokens, about
	tokenBytes    = 16                     // of one token of a record, about
)

// streamsPart keeps the records of other daemons' requests.
type streamsPart struct {
	c       *control
	records *registry.Registry[streams.Record]
}

func newStreamsPart(c *control) *streamsPart {
	return &streamsPart{c: c, records: registry.New[streams.Record](registry.DefaultConfig())}
}

func (p *streamsPart) nextTick(time.Time) time.Time { return time.Time{} }
func (p *streamsPart) tick(time.Time)               {}

func (p *streamsPart) put(rec streams.Record) {
	size := recordBytes + len(rec.Prompt)
	if rec.Answer != nil {
		size += tokenBytes * len(rec.Answer.Tokens)
	}
	p.records.Put(p.c.now, rec.Request, rec.Epoch, size, rec)
}

// registrarsOf lists the daemons that keep a request's record, as this daemon
// sees the fleet.
func (p *streamsPart) registrarsOf(id state.RequestID, without state.DaemonID) []state.DaemonID {
	ranked := rendezvous.Rank(string(id), p.c.members.liveIDs(), registrars+1)
	out := make([]state.DaemonID, 0, registrars)
	for _, m := range ranked {
		if m != without && len(out) < registrars {
			out = append(out, m)
		}
	}
	return out
}

// register sends a record to its registrars.
func (p *streamsPart) register(rec streams.Record) {
	for _, id := range p.registrarsOf(rec.Request, p.c.d.self.ID) {
		p.c.d.send(p.c.members.address(id), streams.Register{Record: rec})
	}
}

// recordOf describes a runner's request as its attempt runs now.
func recordOf(r *runner, a request.AttemptStarted) streams.Record {
	return streams.Record{
		Request:   r.spec.ID,
		Owner:     r.d.self,
		Service:   r.spec.Service,
		Customer:  r.spec.Customer,
		Class:     r.spec.Class,
		Key:       r.spec.Key,
		Prompt:    r.spec.Prompt,
		Adapter:   r.spec.Adapter,
		MaxTokens: r.spec.MaxTokens,
		Deadline:  r.spec.FirstTokenDeadline.Sub(r.arrived),
		Replica:   a.Replica,
		Attempt:   a.Attempt,
		Epoch:     a.Epoch,
	}
}

// lookUp finds the record of a request at this daemon or its registrars. The
// newest owner's wins.
func (d *Daemon) lookUp(ctx context.Context, id state.RequestID) (streams.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	type local struct {
		rec       streams.Record
		known     bool
		addresses []string
	}
	got, ok := ask(ctx, d.control, func() local {
		p := d.control.streams
		rec, known := p.records.Get(d.control.now, id)
		l := local{rec: rec, known: known}
		// The owner is not known, so that one more is asked than registers.
		for _, m := range rendezvous.Rank(string(id), d.control.members.liveIDs(), registrars+1) {
			if m != d.self.ID {
				l.addresses = append(l.addresses, d.control.members.address(m))
			}
		}
		return l
	})
	if !ok {
		return streams.Record{}, false
	}
	answers := make(chan streams.LookupResult, len(got.addresses))
	for _, address := range got.addresses {
		go func() {
			res, err := d.node.Call(ctx, address, streams.Lookup{Request: id})
			found, _ := res.Msg.(streams.LookupResult)
			found.Known = found.Known && err == nil
			answers <- found
		}()
	}
	best, known := got.rec, got.known
	for range got.addresses {
		found := <-answers
		if found.Known && (!known || found.Record.Epoch >= best.Epoch) {
			best, known = found.Record, true
		}
	}
	return best, known
}

// ask runs f on the control goroutine and waits for its value.
func ask[T any](ctx context.Context, c *control, f func() T) (T, bool) {
	answer := make(chan T, 1)
	c.post(func() { answer <- f() })
	select {
	case v := <-answer:
		return v, true
	case <-ctx.Done():
	case <-c.d.kill:
	}
	var none T
	return none, false
}
