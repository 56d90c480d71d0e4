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
	numRegistrars = 2                      // daemons that store a request's record
	lookupTimeout = 500 * time.Millisecond // for all registrars together
	recordBytes   = 512                    // approximate size of a record without prompt and tokens
	tokenBytes    = 16                     // approximate size of one token of a record
)

// streamsComponent holds the records of other daemons' requests.
type streamsComponent struct {
	c       *control
	records *registry.Registry[streams.Record]
}

func newStreamsComponent(c *control) *streamsComponent {
	return &streamsComponent{c: c, records: registry.New[streams.Record](registry.DefaultConfig())}
}

func (sc *streamsComponent) nextTick(time.Time) time.Time { return time.Time{} }
func (sc *streamsComponent) tick(time.Time)               {}

func (sc *streamsComponent) put(rec streams.Record) {
	size := recordBytes + len(rec.Prompt)
	if rec.Answer != nil {
		size += tokenBytes * len(rec.Answer.Tokens)
	}
	sc.records.Put(sc.c.now, rec.Request, rec.Epoch, size, rec)
}

// registrarsOf returns the daemons that store a request's record, according to
// this daemon's membership view.
func (sc *streamsComponent) registrarsOf(id state.RequestID, without state.DaemonID) []state.DaemonID {
	ranked := rendezvous.Rank(string(id), sc.c.members.liveIDs(), numRegistrars+1)
	out := make([]state.DaemonID, 0, numRegistrars)
	for _, m := range ranked {
		if m != without && len(out) < numRegistrars {
			out = append(out, m)
		}
	}
	return out
}

// register sends a record to its registrars.
func (sc *streamsComponent) register(rec streams.Record) {
	for _, id := range sc.registrarsOf(rec.Request, sc.c.d.self.ID) {
		sc.c.d.send(sc.c.members.address(id), streams.Register{Record: rec})
	}
}

// recordOf returns the record of a runner's request for its current attempt.
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

// lookup finds the record of a request at this daemon or its registrars. Of
// several, the one with the highest epoch is returned.
func (d *Daemon) lookup(ctx context.Context, id state.RequestID) (streams.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	type local struct {
		rec       streams.Record
		known     bool
		addresses []string
	}
	got, ok := callControl(ctx, d.control, func() local {
		sc := d.control.streams
		rec, known := sc.records.Get(d.control.now, id)
		l := local{rec: rec, known: known}
		// The owner is unknown, and it is not a registrar itself, so one more
		// daemon is queried than store the record.
		for _, m := range rendezvous.Rank(string(id), d.control.members.liveIDs(), numRegistrars+1) {
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

// callControl runs f on the control goroutine and returns its result. It
// reports false if ctx or the daemon ends first.
func callControl[T any](ctx context.Context, c *control, f func() T) (T, bool) {
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
