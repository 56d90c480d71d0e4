package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// drainPoll is how often a daemon that drains is asked whether it still runs.
const drainPoll = 200 * time.Millisecond

// Drain starts the planned stop of the one daemon that the client knows.
func (c *Client) Drain(ctx context.Context) error {
	if len(c.servers) != 1 {
		return eris.Errorf("a planned stop is of one daemon; %d servers are given", len(c.servers))
	}
	a, err := c.call(ctx, http.MethodPost, c.servers[0]+front.PathDaemon+"/drain", nil)
	if err != nil {
		return err
	}
	if a.status >= http.StatusMultipleChoices {
		return eris.Errorf("%s: %d %s", c.servers[0], a.status, a.problem().Detail)
	}
	return nil
}

// WaitStopped waits until the one daemon that the client knows takes no more
// connections. report gets the number of its active requests when it changes.
// The error is that of ctx.
func (c *Client) WaitStopped(ctx context.Context, report func(active int)) error {
	last := -1
	for {
		s, err := c.statusOf(ctx, c.servers[0])
		if err != nil && notSent(err) && ctx.Err() == nil {
			return nil
		}
		if err == nil && s.Active != last {
			last = s.Active
			report(last)
		}
		if !sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
}
