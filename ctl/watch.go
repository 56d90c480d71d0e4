package ctl

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Watch polls the active documents every interval until ctx ends and reports each new
// version, beginning with the versions active at the start. With ids it reports only
// these services. A failure to read is reported once until a read succeeds.
func (c *Client) Watch(ctx context.Context, ids []state.ServiceID, interval time.Duration,
	changed func(service.Versioned), failed func(error),
) {
	seen := map[state.ServiceID]state.DocumentVersion{}
	failing := false
	for {
		all, err := c.Documents(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			failed(err)
		}
		failing = err != nil
		slices.SortFunc(all, func(a, b service.Versioned) int {
			return strings.Compare(string(a.Document.Service), string(b.Document.Service))
		})
		for _, v := range all {
			id := v.Document.Service
			if len(ids) > 0 && !slices.Contains(ids, id) {
				continue
			}
			// A server that lags behind the one queried before returns an older
			// version, which is not a change.
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
