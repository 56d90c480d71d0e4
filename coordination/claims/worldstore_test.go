package claims_test

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// outcome is the result of one simulated store call.
type outcome int

const (
	outcomeOK           outcome = iota // committed and answered
	outcomeAnswerLost                  // committed, answer lost
	outcomeAppliedLate                 // answer lost, committed later
	outcomeNeverApplied                // answer lost, never committed
	outcomeNotSent                     // failed before it was sent
	numOutcomes
)

// fakeStore is the table service: rows and conditional writes.
type fakeStore struct {
	rows     map[string]store.Row
	lateTxns []store.Txn
	txns     int

	byPrefix map[string][]string // keys by prefix at the first scan
}

func (s *fakeStore) commit(txn store.Txn) store.Result {
	s.txns++
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Revision != c.Revision {
			return store.Result{Status: store.Conflict}
		}
	}
	res := store.Result{Status: store.Done}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		row := store.Row{Table: w.Table, Key: w.Key, Value: w.Value, Revision: s.rows[w.Key].Revision + 1}
		s.rows[w.Key] = row
		res.Rows = append(res.Rows, row)
	}
	return res
}

func (s *fakeStore) serve(req store.Request, f outcome) store.Result {
	if f == outcomeNotSent {
		return store.Result{Status: store.NotSent}
	}
	switch req := req.(type) {
	case store.Commit:
		switch f {
		case outcomeOK:
			return s.commit(req.Txn)
		case outcomeAnswerLost:
			s.commit(req.Txn)
		case outcomeAppliedLate:
			s.lateTxns = append(s.lateTxns, req.Txn)
		default:
		}
	case store.Scan:
		return s.scan(req.Prefix)
	case store.Get:
		if f != outcomeOK {
			break
		}
		res := store.Result{Status: store.Done}
		if row, ok := s.rows[req.Key]; ok {
			res.Rows = []store.Row{row}
		}
		return res
	}
	return store.Result{}
}

// scan returns the rows whose keys start with prefix. All prefixes must have the same
// length: the first scan indexes the keys by their first len(prefix) bytes.
func (s *fakeStore) scan(prefix string) store.Result {
	if s.byPrefix == nil {
		s.byPrefix = map[string][]string{}
		for key := range s.rows {
			s.byPrefix[key[:len(prefix)]] = append(s.byPrefix[key[:len(prefix)]], key)
		}
	}
	res := store.Result{Status: store.Done}
	for _, key := range s.byPrefix[prefix] {
		if row, ok := s.rows[key]; ok {
			res.Rows = append(res.Rows, row)
		}
	}
	return res
}
