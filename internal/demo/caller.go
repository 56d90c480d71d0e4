package demo

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// work is one request of the demo.
type work struct {
	service  state.ServiceID
	customer state.CustomerID
	class    state.ClassID
	prompt   string
	key      state.IdempotencyKey
}

// result is what a caller got: tokens in the order in which they came, and how
// the answer ended.
type result struct {
	tokens []caller.TokenEvent
	end    caller.EndEvent
}

const (
	callTimeout = 15 * time.Second
	silentAfter = 5 * time.Second // without a sign of life a connection is given up
)

// call sends one request and reads its answer to the end, through the loss of
// connections and daemons. seeds are the addresses that the caller begins with.
func call(ctx context.Context, seeds []string, w work) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := client.New(client.Config{
		Seeds:           seeds,
		Service:         w.service,
		Customer:        w.customer,
		ProgressTimeout: silentAfter,
	})
	var got result
	res, err := c.Do(ctx, client.Request{Class: w.class, Key: w.key, Prompt: w.prompt}, func(t caller.TokenEvent) {
		got.tokens = append(got.tokens, t)
	})
	got.end = res.End
	return got, err
}
