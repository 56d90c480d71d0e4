package claims

import (
	"strconv"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// sweepShards is the number of parts in which the claims table is swept. At 1000
// claims per second and a retention of a day, one holds about 1300 rows.
const sweepShards = 1 << 16

// SweepConfig holds the settings of a Sweeper.
type SweepConfig struct {
	// Retention is how long a row is kept after its last write. A later repeat of
	// the key is new work. Retention is far longer than any clock error and any
	// pause of a daemon.
	Retention time.Duration

	MaxRows int // deletions in one transaction
}

// DefaultSweepConfig returns the values used by a daemon.
func DefaultSweepConfig() SweepConfig {
	return SweepConfig{Retention: 24 * time.Hour, MaxRows: 64}
}

// Sweeper deletes expired claim rows at a key home. Each home sweeps its part of
// the shards twice per Retention, by calls of store.ClassBackground. Two homes may
// sweep the same shard: one of them then finds rows already deleted.
type Sweeper struct {
	cfg       SweepConfig
	self      state.DaemonID
	homes     []state.DaemonID
	nextShard int // shard
	nextScan  time.Time
	toDelete  []store.Row // the expired rows of the shard read last
	call      store.CallID
	lastCall  store.CallID
	deleted   int
}

// NewSweeper returns a Sweeper that begins at shard first. Different values of
// first keep daemons that restart often from always sweeping the same shards.
func NewSweeper(cfg SweepConfig, self state.DaemonID, first uint16) *Sweeper {
	return &Sweeper{cfg: cfg, self: self, nextShard: int(first)}
}

// SetHomes sets the key homes; each shard is swept by one of them.
func (s *Sweeper) SetHomes(now time.Time, homes []state.DaemonID) {
	s.homes = homes
	if s.nextScan.IsZero() {
		s.nextScan = now
	}
}

// Deleted counts the rows deleted so far.
func (s *Sweeper) Deleted() int {
	return s.deleted
}

// NextTick returns when the next Tick is due, zero for never.
func (s *Sweeper) NextTick() time.Time {
	if s.call != 0 || len(s.homes) == 0 {
		return time.Time{}
	}
	return s.nextScan
}

// Tick returns the next call, if one is due.
func (s *Sweeper) Tick(now time.Time) (store.Call, bool) {
	if s.call != 0 || now.Before(s.nextScan) {
		return store.Call{}, false
	}
	return s.advance(now)
}

// Answered applies the result of a call and returns the next call, if that is due
// at once.
func (s *Sweeper) Answered(now time.Time, res store.Result) (store.Call, bool) {
	if res.Call != s.call {
		return store.Call{}, false
	}
	s.call = 0
	if res.Status == store.Done && s.toDelete == nil {
		s.toDelete = s.expired(now, res.Rows)
		return s.advance(now)
	}
	// A deletion that conflicted or was lost is left to the next sweep.
	n := min(len(s.toDelete), s.cfg.MaxRows)
	if res.Status == store.Done {
		s.deleted += n
	}
	s.toDelete = s.toDelete[n:]
	return s.advance(now)
}

func (s *Sweeper) advance(now time.Time) (store.Call, bool) {
	if len(s.toDelete) > 0 {
		return s.send(store.Commit{Txn: deletion(s.toDelete[:min(len(s.toDelete), s.cfg.MaxRows)])}), true
	}
	s.toDelete = nil
	if now.Before(s.nextScan) {
		return store.Call{}, false
	}
	for range sweepShards {
		shard := uint16(s.nextShard)
		s.nextShard = (s.nextShard + 1) % sweepShards
		owner, ok := rendezvous.Owner(strconv.Itoa(int(shard)), s.homes)
		if !ok {
			return store.Call{}, false
		}
		if owner == s.self {
			s.nextScan = now.Add(s.cfg.Retention / 2 * time.Duration(len(s.homes)) / sweepShards)
			return s.send(store.Scan{Table: Table, Prefix: shardPrefix(shard)}), true
		}
	}
	s.nextScan = now.Add(time.Minute) // not a key home
	return store.Call{}, false
}

func (s *Sweeper) send(req store.Request) store.Call {
	s.lastCall++
	s.call = s.lastCall
	return store.Call{ID: s.call, Class: store.ClassBackground, Request: req}
}

// expired returns the rows whose last write is older than the retention.
func (s *Sweeper) expired(now time.Time, rows []store.Row) []store.Row {
	oldest := now.Add(-s.cfg.Retention).Unix()
	var old []store.Row
	for _, row := range rows {
		rec, err := DecodeRecord(row)
		if err == nil && rec.At < oldest {
			old = append(old, row)
		}
	}
	return old
}

func deletion(rows []store.Row) store.Txn {
	var txn store.Txn
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, store.Condition{Table: Table, Key: row.Key, Revision: row.Revision})
		txn.Writes = append(txn.Writes, store.Write{Table: Table, Key: row.Key, Delete: true})
	}
	return txn
}
