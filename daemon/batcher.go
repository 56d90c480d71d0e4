package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
	tpeer "github.com/hibiscuswick/hibiscuswick/transport/peer"
)

// viaHomeTimeout bounds how long a claim's write may take by way of the key's
// home before the claimant goes to the table service itself.
const viaHomeTimeout = 500 * time.Millisecond

// batcherPart gathers the claim writes of the keys that this daemon is home of.
type batcherPart struct {
	c       *control
	m       *claims.Batcher
	sweeper *claims.Sweeper
	homes   []state.DaemonID // as the sweeper was told
	waiting map[uint64]batchWait
	last    uint64
}

// batchWait is one write that waits for its batch: the caller's own number and
// where its answer goes.
type batchWait struct {
	call   uint64
	answer func(claims.WriteReply)
}

func newBatcherPart(c *control) *batcherPart {
	return &batcherPart{
		c:       c,
		m:       claims.NewBatcher(claims.DefaultBatchConfig()),
		sweeper: claims.NewSweeper(claims.DefaultSweepConfig(), c.d.self.ID, uint16(c.rng.Uint32())),
		waiting: make(map[uint64]batchWait),
	}
}

func (p *batcherPart) nextTick(now time.Time) time.Time {
	if !slices.Equal(p.homes, p.c.members.keyHomes) {
		return now
	}
	next, sweep := p.m.NextTick(), p.sweeper.NextTick()
	if next.IsZero() || !sweep.IsZero() && sweep.Before(next) {
		return sweep
	}
	return next
}

func (p *batcherPart) tick(now time.Time) {
	if !slices.Equal(p.homes, p.c.members.keyHomes) {
		p.homes = slices.Clone(p.c.members.keyHomes)
		p.sweeper.SetHomes(now, p.homes)
	}
	p.step(claims.Tick{})
	if call, due := p.sweeper.Tick(now); due {
		p.sweep(call)
	}
}

// sweep makes one call of the sweeper, which deletes claims past their retention.
func (p *batcherPart) sweep(call store.Call) {
	p.c.store.do(call, func(res store.Result) {
		if next, due := p.sweeper.Answered(p.c.now, res); due {
			p.sweep(next)
		}
	})
}

// write has one claim row written by the key's home; answer runs on the control
// goroutine, exactly once.
func (p *batcherPart) write(key claims.Key, req claims.WriteRequest, answer func(claims.WriteReply)) {
	home, ok := claims.KeyHome(key, p.c.members.keyHomes)
	if !ok || home == p.c.d.self.ID {
		p.want(req, answer)
		return
	}
	address := p.c.members.address(home)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), viaHomeTimeout)
		defer cancel()
		res, err := p.c.d.node.Call(ctx, address, req)
		reply, ok := res.Msg.(claims.WriteReply)
		if err != nil || !ok {
			reply = claims.WriteReply{Status: unansweredBy(err)}
		}
		reply.Call = req.Call
		p.c.post(func() { answer(reply) })
	}()
}

// want adds a write to the batch, under a number of this daemon's own: two
// claimants may use the same one.
func (p *batcherPart) want(req claims.WriteRequest, answer func(claims.WriteReply)) {
	p.last++
	p.waiting[p.last] = batchWait{call: req.Call, answer: answer}
	req.Call = p.last
	p.step(claims.WriteRequested{From: p.c.d.self, Request: req})
}

// serve answers a claimant at another daemon.
func (p *batcherPart) serve(ctx context.Context, req claims.WriteRequest) (claims.WriteReply, error) {
	answered := make(chan claims.WriteReply, 1)
	p.c.post(func() { p.want(req, func(reply claims.WriteReply) { answered <- reply }) })
	select {
	case reply := <-answered:
		return reply, nil
	case <-ctx.Done():
		return claims.WriteReply{}, ctx.Err()
	}
}

func (p *batcherPart) step(ev claims.BatchEvent) {
	for _, a := range p.m.Step(p.c.now, ev) {
		switch a := a.(type) {
		case claims.CallStore:
			p.c.store.do(a.Call, func(res store.Result) { p.step(claims.StoreResult{Result: res}) })
		case claims.Reply:
			p.reply(a.Reply)
		}
	}
}

func (p *batcherPart) reply(reply claims.WriteReply) {
	w, ok := p.waiting[reply.Call]
	if !ok {
		return
	}
	delete(p.waiting, reply.Call)
	reply.Call = w.call
	p.c.later(func() { w.answer(reply) })
}

// unansweredBy says what a failed call to a key's home proves.
func unansweredBy(err error) store.Status {
	if err != nil && tpeer.Unhandled(err) {
		return store.NotSent
	}
	return store.Unanswered
}

var _ claims.OwnerView = (*claimsPart)(nil)
