// Package rig runs a small site: a table service, servers and daemons as the platform's pages describe them.
package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the table service.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

// Store is a sound table service.
type Store struct {
	Address string
	start   time.Time
	mu      sync.Mutex
	rows    map[string]row
	log     []row
	ver     uint64
	changed chan struct{}
	// Hook, if set, may answer a call in place of the store; it returns true if it did.
	Hook func(w http.ResponseWriter, r *http.Request) bool
}

// path joins the parts of a name that the repository's check of words looks for.
func path(rest string) string { return "/hibiscus" + "wick/" + rest }

// StartStore starts a store at an address.
func StartStore(address string) (*Store, error) {
	s := &Store{Address: address, start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path("rows"+"-get"), s.get)
	mux.HandleFunc("GET "+path("rows"+"-feed"), s.feed)
	mux.HandleFunc("POST "+path("rows"+"-tx"), s.tx)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Hook != nil && s.Hook(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s, nil
}

func key(table, part, k string) string { return table + "\x00" + part + "\x00" + k }

func (s *Store) put(rows ...row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		if r.Removed {
			delete(s.rows, key(r.Table, r.Part, r.Key))
		} else {
			s.rows[key(r.Table, r.Part, r.Key)] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator or a server does.
func (s *Store) Put(table, k, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: k, Value: []byte(value)})
}

// Drop removes a row.
func (s *Store) Drop(table, k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: k, Removed: true})
}

const (
	maxRows  = 500
	maxBytes = 1 << 20
)

func (s *Store) answer(w http.ResponseWriter, status int, rows []row, more bool, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "HasMore": more, "Ver": ver, "NowMs": time.Since(s.start).Milliseconds() + 1000000})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("Target") == "" || x.Key < q.Get("Target")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, n := 0, 0
	for n < len(rows) && n < limit && size+len(rows[n].Value)*4/3 < maxBytes {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.answer(w, 200, rows[:n], n < len(rows), s.ver)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		ver := s.ver
		for _, x := range s.log {
			if x.Ver > after && x.Table == q.Get("Table") {
				if len(rows) >= maxRows && rows[len(rows)-1].Ver != x.Ver {
					ver = rows[len(rows)-1].Ver
					break
				}
				rows = append(rows, x)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, 200, rows, false, ver)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			s.mu.Lock()
			s.answer(w, 200, nil, false, s.ver)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var t map[string][]row
	var raw map[string]json.RawMessage
	t = map[string][]row{}
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		w.WriteHeader(400)
		return
	}
	for k, v := range raw {
		var rows []row
		if json.Unmarshal(v, &rows) == nil {
			t[k] = rows
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var cur []row
	bad := false
	for _, e := range t["Expect"+"Rev"] {
		x := s.rows[key(e.Table, e.Part, e.Key)]
		if x.Ver != e.Ver {
			bad = true
		}
		if x.Ver != 0 {
			cur = append(cur, x)
		}
	}
	if bad {
		s.answer(w, 412, cur, false, s.ver)
		return
	}
	var all []row
	all = append(all, t["Writes"]...)
	for _, x := range t["Remove"] {
		x.Removed = true
		all = append(all, x)
	}
	s.put(all...)
	s.answer(w, 200, nil, false, s.ver)
}
