package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// send lets a caller send one request and read its answer in the background.
func (r *rig) send(class state.ClassID) {
	r.sent[class]++
	n := r.sent[class]
	s := caller.Submission{
		Service: drafts, Customer: customer, Class: class, After: -1,
		Prompt:         fmt.Sprintf("%s of consignment %d", class, n),
		IdempotencyKey: state.IdempotencyKey(fmt.Sprintf("%s-%d", class, n)),
	}
	if class == classAlert {
		s.Service = alerts
	}
	at := n
	r.callers.Go(func() {
		if err := r.call(s, at); err != nil {
			err = fmt.Errorf("%s: %w", s.IdempotencyKey, err)
			r.failed.CompareAndSwap(nil, &err)
		}
	})
}

// passing are the refusals as not run after which a caller comes back: the daemon is
// stopping, or has no part of the customer's limit yet.
var passing = []state.Reason{state.ReasonDraining, state.ReasonCustomerLimit}

// call sends s to daemons in turn until one runs it.
func (r *rig) call(s caller.Submission, at int) error {
	for {
		using := r.using()
		d := using[at%len(using)]
		stream, outcome := d.Submit(r.ctx, s)
		if stream != nil {
			return r.read(d, stream)
		}
		if refused, ok := outcome.(state.Refused); !ok || !slices.Contains(passing, refused.Reason) {
			return fmt.Errorf("%T %v", outcome, outcome)
		}
		if err := r.sleep(poll); err != nil {
			return err
		}
		at++
	}
}

// read reads an answer to its end.
func (r *rig) read(d *daemon.Daemon, stream caller.Stream) error {
	defer stream.Close()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	go func() {
		select {
		case <-d.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		item, err := stream.Next(ctx)
		if err != nil {
			return fmt.Errorf("the daemon stopped under the stream: %w", err)
		}
		if item.Token != nil {
			continue
		}
		if _, ok := item.Outcome.(state.Completed); !ok {
			return fmt.Errorf("%T %v", item.Outcome, item.Outcome)
		}
		return nil
	}
}

// mix sends some requests of each class, spread over a span in an order that is
// the same in every recording.
func (r *rig) mix(span time.Duration, counts map[state.ClassID]int) error {
	var order []state.ClassID
	for _, class := range []state.ClassID{classCheck, classDraft, classNote, classAlert} {
		for range counts[class] {
			order = append(order, class)
		}
	}
	r.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, class := range order {
		r.send(class)
		if err := r.sleep(span / time.Duration(len(order))); err != nil {
			return err
		}
	}
	return nil
}
