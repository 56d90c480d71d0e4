package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// drainPollInterval is the interval at which a draining daemon's status is polled.
const drainPollInterval = 200 * time.Millisecond

// Drain starts the drain of the daemon, for a client with exactly one server.
func (c *Client) Drain(ctx context.Context) error {
	if len(c.servers) != 1 {
		return eris.Errorf("drain takes exactly one server, got %d", len(c.servers))
	}
	resp, err := c.call(ctx, http.MethodPost, c.servers[0]+front.PathDaemon+"/drain", nil)
	if err != nil {
		return err
	}
	if resp.status >= http.StatusMultipleChoices {
		return eris.Errorf("%s: %d %s", c.servers[0], resp.status, resp.problem().Detail)
	}
	return nil
}

// WaitStopped waits until the client's first server accepts no more connections.
// report is called with the number of active requests whenever it changes. The error
// is that of ctx.
func (c *Client) WaitStopped(ctx context.Context, report func(active int)) error {
	last := -1
	for {
		s, err := c.statusOf(ctx, c.servers[0])
		if err != nil && isDialError(err) && ctx.Err() == nil {
			return nil
		}
		if err == nil && s.Active != last {
			last = s.Active
			report(last)
		}
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}
