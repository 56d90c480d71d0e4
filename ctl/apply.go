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

// Bounds of the wait between two attempts of one edit.
const (
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = 2 * time.Second
)

// ApplyResult is what became of an edit.
type ApplyResult struct {
	caller.EditResult

	// Unanswered counts the attempts before the last one that may have taken
	// effect although their answer was lost.
	Unanswered int
	// Unreached: no server could be connected to, so nothing was changed.
	Unreachable bool
	// Cause is why the result is EditUnknown.
	Cause error
}

// Apply edits the document of a service and repeats the edit, under its one
// edit id and at each server in turn, until its outcome is known or ctx ends.
//
// The repeat guards against an edit whose answer is lost: the table service or
// the daemon committed it, and the operator sees only a timeout. The edit id
// makes a repeat safe, since the store keeps it with the version that it made.
func (c *Client) Apply(ctx context.Context, id state.ServiceID, e caller.Edit) ApplyResult {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	wait.MaxInterval = mostBackoff
	unanswered := 0
	for attempt := 0; ; attempt++ {
		server := c.servers[attempt%len(c.servers)]
		r, err := c.applyAt(ctx, server, id, e)
		if r.Status != caller.EditUnknown {
			return ApplyResult{EditResult: r, Unanswered: unanswered}
		}
		if !notSent(err) {
			unanswered++
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return ApplyResult{EditResult: r, Unanswered: unanswered, Unreachable: unanswered == 0, Cause: err}
		}
	}
}

// applyAt sends the edit once. The error says why the result is EditUnknown.
func (c *Client) applyAt(ctx context.Context, server string, id state.ServiceID, e caller.Edit) (caller.EditResult, error) {
	query := url.Values{
		"base":    {strconv.FormatUint(uint64(e.Base), 10)},
		"edit_id": {e.EditID},
	}
	unknown := caller.EditResult{Status: caller.EditUnknown}
	a, err := c.call(ctx, http.MethodPut, server+documentPath(id)+"?"+query.Encode(), e.Text)
	if err != nil {
		return unknown, err
	}
	p := a.problem()
	switch {
	case a.status == http.StatusOK:
		var applied front.Applied
		if err := json.Unmarshal(a.body, &applied); err != nil || applied.Version == 0 {
			return unknown, eris.Errorf("%s: the answer has no version", server)
		}
		return caller.EditResult{Status: caller.EditAccepted, Version: applied.Version}, nil
	case a.status == http.StatusConflict && p.Current != nil && p.Current.EditID == e.EditID:
		// The edit lost against itself: it was committed, its answer was lost,
		// and the daemon compared versions before edit ids.
		return caller.EditResult{Status: caller.EditAccepted, Version: p.Current.Version}, nil
	case a.status == http.StatusConflict:
		return caller.EditResult{Status: caller.EditConflict, Current: p.Current}, nil
	case a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError:
		if len(p.Faults) == 0 {
			p.Faults = []string{p.Detail}
		}
		return caller.EditResult{Status: caller.EditInvalid, Faults: p.Faults}, nil
	default:
		return unknown, eris.Errorf("%s: %d %s", server, a.status, p.Detail)
	}
}

// sleep waits and reports whether ctx still holds after it.
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
