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

// viaHomeTimeout bounds a claim's write through the key's home. After it the
// claimant writes to the table service directly.
const viaHomeTimeout = 500 * time.Millisecond

// batcherComponent batches the claim writes of the keys whose home is this
// daemon.
type batcherComponent struct {
	c       *control
	batcher *claims.Batcher
	sweeper *claims.Sweeper
	homes   []state.DaemonID // as last passed to the sweeper
	waiting map[uint64]pendingWrite
	lastID  uint64
}

// pendingWrite is a write that waits for its batch, with the caller's call
// number and the callback for its answer.
type pendingWrite struct {
	call   uint64
	answer func(claims.WriteReply)
}

func newBatcherComponent(c *control) *batcherComponent {
	return &batcherComponent{
		c:       c,
		batcher: claims.NewBatcher(claims.DefaultBatchConfig()),
		sweeper: claims.NewSweeper(claims.DefaultSweepConfig(), c.d.self.ID, uint16(c.rng.Uint32())),
		waiting: make(map[uint64]pendingWrite),
	}
}

func (bc *batcherComponent) nextTick(now time.Time) time.Time {
	if !slices.Equal(bc.homes, bc.c.members.keyHomes) {
		return now
	}
	next, sweep := bc.batcher.NextTick(), bc.sweeper.NextTick()
	if next.IsZero() || !sweep.IsZero() && sweep.Before(next) {
		return sweep
	}
	return next
}

func (bc *batcherComponent) tick(now time.Time) {
	if !slices.Equal(bc.homes, bc.c.members.keyHomes) {
		bc.homes = slices.Clone(bc.c.members.keyHomes)
		bc.sweeper.SetHomes(now, bc.homes)
	}
	bc.step(claims.Tick{})
	if call, due := bc.sweeper.Tick(now); due {
		bc.sweep(call)
	}
}

// sweep makes one call of the sweeper, which deletes claims past their
// retention.
func (bc *batcherComponent) sweep(call store.Call) {
	bc.c.store.do(call, func(res store.Result) {
		if next, due := bc.sweeper.Answered(bc.c.now, res); due {
			bc.sweep(next)
		}
	})
}

// write has the key's home write one claim row. answer runs exactly once, on
// the control goroutine.
func (bc *batcherComponent) write(key claims.Key, req claims.WriteRequest, answer func(claims.WriteReply)) {
	home, ok := claims.KeyHome(key, bc.c.members.keyHomes)
	if !ok || home == bc.c.d.self.ID {
		bc.enqueue(req, answer)
		return
	}
	address := bc.c.members.address(home)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), viaHomeTimeout)
		defer cancel()
		res, err := bc.c.d.node.Call(ctx, address, req)
		reply, ok := res.Msg.(claims.WriteReply)
		if err != nil || !ok {
			reply = claims.WriteReply{Status: callStatus(err)}
		}
		reply.Call = req.Call
		bc.c.post(func() { answer(reply) })
	}()
}

// enqueue adds a write to the batch. It is renumbered, because two claimants
// may use the same call number.
func (bc *batcherComponent) enqueue(req claims.WriteRequest, answer func(claims.WriteReply)) {
	bc.lastID++
	bc.waiting[bc.lastID] = pendingWrite{call: req.Call, answer: answer}
	req.Call = bc.lastID
	bc.step(claims.WriteRequested{From: bc.c.d.self, Request: req})
}

// serve answers a write request of a claimant at another daemon.
func (bc *batcherComponent) serve(ctx context.Context, req claims.WriteRequest) (claims.WriteReply, error) {
	answered := make(chan claims.WriteReply, 1)
	bc.c.post(func() { bc.enqueue(req, func(reply claims.WriteReply) { answered <- reply }) })
	select {
	case reply := <-answered:
		return reply, nil
	case <-ctx.Done():
		return claims.WriteReply{}, ctx.Err()
	}
}

func (bc *batcherComponent) step(ev claims.BatchEvent) {
	for _, a := range bc.batcher.Step(bc.c.now, ev) {
		switch a := a.(type) {
		case claims.CallStore:
			bc.c.store.do(a.Call, func(res store.Result) { bc.step(claims.StoreResult{Result: res}) })
		case claims.Reply:
			bc.reply(a.Reply)
		}
	}
}

func (bc *batcherComponent) reply(reply claims.WriteReply) {
	w, ok := bc.waiting[reply.Call]
	if !ok {
		return
	}
	delete(bc.waiting, reply.Call)
	reply.Call = w.call
	bc.c.afterStep(func() { w.answer(reply) })
}

// callStatus maps the error of a call to a key's home to a store status:
// NotSent if it proves that the home did not handle the call, else Unanswered.
func callStatus(err error) store.Status {
	if err != nil && tpeer.Unhandled(err) {
		return store.NotSent
	}
	return store.Unanswered
}

var _ claims.OwnerView = (*claimsComponent)(nil)
