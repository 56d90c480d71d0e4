package ctl

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Watch reports each document that comes into force, those in force at the
// start first, until ctx ends. With ids it reports only these services. It asks
// every interval; a failure to read is reported once until a read succeeds.
func (c *Client) Watch(ctx context.Context, ids []state.ServiceID, interval time.Duration,
	changed func(service.Versioned), failed func(error),
) {
	seen := map[state.ServiceID]state.DocumentVersion{}
	down := false
	for {
		all, err := c.Documents(ctx)
		if err != nil && !down && ctx.Err() == nil {
			failed(err)
		}
		down = err != nil
		slices.SortFunc(all, func(a, b service.Versioned) int {
			return strings.Compare(string(a.Document.Service), string(b.Document.Service))
		})
		for _, v := range all {
			id := v.Document.Service
			if len(ids) > 0 && !slices.Contains(ids, id) {
				continue
			}
			// A server that lags behind the one asked before shows an older
			// version, which is no change.
			if v.Version > seen[id] {
				seen[id] = v.Version
				changed(v)
			}
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}
