package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// Bounds of the backoff between two attempts of one edit.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// ApplyResult is the outcome of an edit.
type ApplyResult struct {
	caller.EditResult

	// Unanswered counts the attempts before the last one that may have taken
	// effect although their response was lost.
	Unanswered int
	// Unreachable is set when no server could be connected to, so that nothing was
	// changed.
	Unreachable bool
	// Cause is the error behind the result EditUnknown.
	Cause error
}

// Apply edits the document of a service. It retries the edit under the same edit ID,
// at each server in turn, until its outcome is known or ctx ends.
//
// The retry resolves an edit whose response is lost: the table service or the daemon
// committed it, but the operator sees only a timeout. A retry is safe because the
// store keeps the edit ID with the version that the edit created.
func (c *Client) Apply(ctx context.Context, id state.ServiceID, e caller.Edit) ApplyResult {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minBackoff
	wait.MaxInterval = maxBackoff
	unanswered := 0
	for attempt := 0; ; attempt++ {
		server := c.servers[attempt%len(c.servers)]
		r, err := c.applyAt(ctx, server, id, e)
		if r.Status != caller.EditUnknown {
			return ApplyResult{EditResult: r, Unanswered: unanswered}
		}
		if !isDialError(err) {
			unanswered++
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return ApplyResult{EditResult: r, Unanswered: unanswered, Unreachable: unanswered == 0, Cause: err}
		}
	}
}

// applyAt sends the edit once. The error is the cause of a result EditUnknown.
func (c *Client) applyAt(ctx context.Context, server string, id state.ServiceID, e caller.Edit) (caller.EditResult, error) {
	query := url.Values{
		"base":    {strconv.FormatUint(uint64(e.Base), 10)},
		"edit_id": {e.EditID},
	}
	unknown := caller.EditResult{Status: caller.EditUnknown}
	resp, err := c.call(ctx, http.MethodPut, server+documentPath(id)+"?"+query.Encode(), e.Text)
	if err != nil {
		return unknown, err
	}
	p := resp.problem()
	switch {
	case resp.status == http.StatusOK:
		var applied front.Applied
		if err := json.Unmarshal(resp.body, &applied); err != nil || applied.Version == 0 {
			return unknown, eris.Errorf("%s: the response has no version", server)
		}
		return caller.EditResult{Status: caller.EditAccepted, Version: applied.Version}, nil
	case resp.status == http.StatusConflict && p.Current != nil && p.Current.EditID == e.EditID:
		// The edit conflicts with itself: an earlier attempt committed it, the response
		// was lost, and the daemon compared versions before edit IDs.
		return caller.EditResult{Status: caller.EditAccepted, Version: p.Current.Version}, nil
	case resp.status == http.StatusConflict:
		return caller.EditResult{Status: caller.EditConflict, Current: p.Current}, nil
	case resp.status >= http.StatusBadRequest && resp.status < http.StatusInternalServerError:
		if len(p.Faults) == 0 {
			p.Faults = []string{p.Detail}
		}
		return caller.EditResult{Status: caller.EditInvalid, Faults: p.Faults}, nil
	default:
		return unknown, eris.Errorf("%s: %d %s", server, resp.status, p.Detail)
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
