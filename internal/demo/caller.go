package demo

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// request is one request of the demo.
type request struct {
	service  state.ServiceID
	customer state.CustomerID
	class    state.ClassID
	prompt   string
	key      state.IdempotencyKey
}

// result is what a caller received: the tokens in order of arrival and the end event.
type result struct {
	tokens []caller.TokenEvent
	end    caller.EndEvent
}

const (
	callTimeout     = 15 * time.Second
	progressTimeout = 5 * time.Second // after which a connection without data is closed
)

// call sends one request and reads its answer to the end, across failures of
// connections and daemons. seeds are the addresses of the first daemons to query.
func call(ctx context.Context, seeds []string, req request) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := client.New(client.Config{
		Seeds:           seeds,
		Service:         req.service,
		Customer:        req.customer,
		ProgressTimeout: progressTimeout,
	})
	var got result
	res, err := c.Do(ctx, client.Request{Class: req.class, Key: req.key, Prompt: req.prompt}, func(t caller.TokenEvent) {
		got.tokens = append(got.tokens, t)
	})
	got.end = res.End
	return got, err
}
