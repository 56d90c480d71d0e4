package quarantine

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// scanDone adds the quarantine entries of the table, for a daemon that was not running
// when they were broadcast.
func (m *Quarantine) scanDone(now time.Time, res store.Result) {
	if res.Status != store.Done {
		return
	}
	for _, row := range res.Rows {
		rec := decodeRecord(row)
		fp, ok := parseFingerprint(row.Key)
		if ok && rec.State == stateQuarantined && !rec.expired(now) {
			m.facts.addQuarantined(now, fp, time.Unix(rec.Until, 0))
		}
	}
	if m.rng.IntN(len(m.livePeers)+1) == 0 {
		m.sweep(now, res.Rows)
	}
}

// sweep deletes some rows that have not been needed for QuarantineTTL. On average one
// daemon does so per round of scans.
func (m *Quarantine) sweep(now time.Time, rows []store.Row) {
	var txn store.Txn
	for _, row := range rows {
		rec := decodeRecord(row)
		idle := rec.State == stateFree || rec.expired(now)
		if !idle || now.Sub(time.Unix(rec.At, 0)) < m.cfg.QuarantineTTL || len(txn.Writes) == maxSweepRows {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Table: row.Table, Key: row.Key, Revision: row.Revision})
		txn.Writes = append(txn.Writes, store.Write{Table: row.Table, Key: row.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		m.callStore(store.Commit{Txn: txn}, store.ClassBackground)
	}
}
