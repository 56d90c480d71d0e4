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

// send sends one request and reads its answer in the background.
func (r *harness) send(class state.ClassID) {
	r.sentCount[class]++
	n := r.sentCount[class]
	s := caller.Submission{
		Service: drafts, Customer: customer, Class: class, After: -1,
		Prompt:         fmt.Sprintf("%s of consignment %d", class, n),
		IdempotencyKey: state.IdempotencyKey(fmt.Sprintf("%s-%d", class, n)),
	}
	if class == classAlert {
		s.Service = alerts
	}
	first := n
	r.callers.Go(func() {
		if err := r.submit(s, first); err != nil {
			err = fmt.Errorf("%s: %w", s.IdempotencyKey, err)
			r.firstError.CompareAndSwap(nil, &err)
		}
	})
}

// transientReasons are the reasons of refusals that a caller retries: the daemon is
// draining, or has no share of the customer's limit yet.
var transientReasons = []state.Reason{state.ReasonDraining, state.ReasonCustomerLimit}

// submit sends s to one daemon after another until one accepts it.
func (r *harness) submit(s caller.Submission, first int) error {
	for {
		daemons := r.activeDaemons()
		d := daemons[first%len(daemons)]
		stream, outcome := d.Submit(r.ctx, s)
		if stream != nil {
			return r.read(d, stream)
		}
		if refused, ok := outcome.(state.Refused); !ok || !slices.Contains(transientReasons, refused.Reason) {
			return fmt.Errorf("%T %v", outcome, outcome)
		}
		if err := r.sleep(pollInterval); err != nil {
			return err
		}
		first++
	}
}

// read reads an answer until its end.
func (r *harness) read(d *daemon.Daemon, stream caller.Stream) error {
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
			return fmt.Errorf("daemon stopped during the stream: %w", err)
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

// sendMix sends a number of requests of each class, spread evenly over a time span, in
// an order that is the same in every recording.
func (r *harness) sendMix(span time.Duration, counts map[state.ClassID]int) error {
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
