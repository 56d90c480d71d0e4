package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const claimsTable = "claims"

// claimTable writes claim rows straight to the table service.
type claimTable struct {
	table platform.Table
}

func (c *claimTable) put(r *runner, a request.PutClaim) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.spec.FirstTokenBy)
		defer cancel()
		r.post(c.write(ctx, r))
	}()
}

func (c *claimTable) write(ctx context.Context, r *runner) request.ClaimSettled {
	key := string(r.spec.Service) + "/" + string(r.spec.Customer) + "/" + string(r.spec.Key)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Table: claimsTable, Key: key}},
		Writes:     []platform.Write{{Table: claimsTable, Key: key, Value: []byte(r.spec.ID)}},
	}
	for {
		_, err := c.table.Commit(ctx, txn)
		if err == nil {
			return request.ClaimSettled{Result: request.ClaimWon}
		}
		row, readErr := c.table.Get(ctx, claimsTable, key)
		switch {
		case readErr == nil && string(row.Value) == string(r.spec.ID):
			return request.ClaimSettled{Result: request.ClaimWon}
		case readErr == nil:
			return request.ClaimSettled{Result: request.ClaimElsewhere, Reason: state.ReasonDuplicate}
		case ctx.Err() != nil:
			return request.ClaimSettled{Result: request.ClaimElsewhere, Reason: state.ReasonStoreUnavailable}
		case !errors.Is(readErr, platform.ErrNotFound):
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (c *claimTable) abandon(*runner)               {}
func (c *claimTable) void(r *runner)                { go r.post(request.VoidSettled{}) }
func (c *claimTable) settle(*runner, state.Outcome) {}
