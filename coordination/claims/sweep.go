package claims

import (
	"strconv"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// shards is how many pieces the claims table is swept in. At a thousand claims
// a second and a day's retention one holds about 1300 rows.
const shards = 1 << 16

// SweepConfig tunes a Sweeper.
type SweepConfig struct {
	// Retention is how long a key is remembered after its last write. A repeat
	// of the key after it is new work. It is far longer than any clock is off
	// and any daemon is paused.
	Retention time.Duration

	MaxRows int // deletions in one transaction
}

// DefaultSweepConfig returns the values used by a daemon.
func DefaultSweepConfig() SweepConfig {
	return SweepConfig{Retention: 24 * time.Hour, MaxRows: 64}
}

// Sweeper deletes old claim rows at a key home: each home sweeps its part of
// the shards, twice in a Retention, by calls of store.ClassLazy. Two homes that
// sweep one shard only find each other's rows gone.
type Sweeper struct {
	cfg   SweepConfig
	self  state.DaemonID
	homes []state.DaemonID
	next  int // shard
	at    time.Time
	rows  []store.Row // to delete, of the shard just read
	call  store.CallID
	last  store.CallID
	done  int
}

// NewSweeper returns a Sweeper that begins at shard first, so that daemons that
// are replaced often do not all sweep the same ones.
func NewSweeper(cfg SweepConfig, self state.DaemonID, first uint16) *Sweeper {
	return &Sweeper{cfg: cfg, self: self, next: int(first)}
}

// SetHomes tells the key homes; each shard is swept by one of them.
func (s *Sweeper) SetHomes(now time.Time, homes []state.DaemonID) {
	s.homes = homes
	if s.at.IsZero() {
		s.at = now
	}
}

// Deleted counts the rows deleted so far.
func (s *Sweeper) Deleted() int {
	return s.done
}

// NextTick returns when the Sweeper next wants a Tick, zero for never.
func (s *Sweeper) NextTick() time.Time {
	if s.call != 0 || len(s.homes) == 0 {
		return time.Time{}
	}
	return s.at
}

// Tick returns the next call, if one is due.
func (s *Sweeper) Tick(now time.Time) (store.Call, bool) {
	if s.call != 0 || now.Before(s.at) {
		return store.Call{}, false
	}
	return s.advance(now)
}

// Answered takes the result of a call and returns the next one, if it is due at
// once.
func (s *Sweeper) Answered(now time.Time, res store.Result) (store.Call, bool) {
	if res.Call != s.call {
		return store.Call{}, false
	}
	s.call = 0
	if res.Status == store.Done && s.rows == nil {
		s.rows = s.old(now, res.Rows)
		return s.advance(now)
	}
	// A deletion: one that conflicted or was lost is left to the next round.
	n := min(len(s.rows), s.cfg.MaxRows)
	if res.Status == store.Done {
		s.done += n
	}
	s.rows = s.rows[n:]
	return s.advance(now)
}

func (s *Sweeper) advance(now time.Time) (store.Call, bool) {
	if len(s.rows) > 0 {
		return s.send(store.Commit{Txn: deletion(s.rows[:min(len(s.rows), s.cfg.MaxRows)])}), true
	}
	s.rows = nil
	if now.Before(s.at) {
		return store.Call{}, false
	}
	for range shards {
		shard := uint16(s.next)
		s.next = (s.next + 1) % shards
		owner, ok := rendezvous.Owner(strconv.Itoa(int(shard)), s.homes)
		if !ok {
			return store.Call{}, false
		}
		if owner == s.self {
			s.at = now.Add(s.cfg.Retention / 2 * time.Duration(len(s.homes)) / shards)
			return s.send(store.Scan{Table: Table, Prefix: shardPrefix(shard)}), true
		}
	}
	s.at = now.Add(time.Minute) // not a key home
	return store.Call{}, false
}

func (s *Sweeper) send(req store.Request) store.Call {
	s.last++
	s.call = s.last
	return store.Call{ID: s.call, Class: store.ClassBackground, Request: req}
}

// old picks the rows whose last write is past the retention.
func (s *Sweeper) old(now time.Time, rows []store.Row) []store.Row {
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
