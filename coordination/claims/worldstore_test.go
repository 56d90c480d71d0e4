package claims_test

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// fate is what befalls one store call.
type fate int

const (
	fateOK      fate = iota // applied and answered
	fateLost                // applied, answer lost
	fateLate                // answer lost, applied at some later moment
	fateNever               // answer lost, never applied
	fateNotSent             // refused before it left
	fates
)

// table is the table service: rows and conditional writes.
type table struct {
	rows map[string]store.Row
	late []store.Txn
	txns int

	byPrefix map[string][]string // of the rows at the first scan
}

func (s *table) commit(txn store.Txn) store.Result {
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

func (s *table) serve(req store.Request, f fate) store.Result {
	if f == fateNotSent {
		return store.Result{Status: store.NotSent}
	}
	switch req := req.(type) {
	case store.Commit:
		switch f {
		case fateOK:
			return s.commit(req.Txn)
		case fateLost:
			s.commit(req.Txn)
		case fateLate:
			s.late = append(s.late, req.Txn)
		default:
		}
	case store.Scan:
		return s.scan(req.Prefix)
	case store.Get:
		if f != fateOK {
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

func (s *table) scan(prefix string) store.Result {
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
