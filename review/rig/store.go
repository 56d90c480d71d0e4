package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of one answer of the store.
const storeDelay = 4 * time.Millisecond

type storeRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

func (r *storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is a stand-in of the platform's metadata store: rows, transactions and feeds.
type Store struct {
	Address string

	mu      sync.Mutex
	rows    map[string]storeRow
	log     []storeRow
	ver     uint64
	changed chan struct{}
	start   time.Time
}

// StartStore starts an empty store on a loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rows: map[string]storeRow{}, changed: make(chan struct{}), start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathGet, s.get)
	mux.HandleFunc("GET "+pathFeed, s.feed)
	mux.HandleFunc("POST "+pathTx, s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Put writes a row as JSON, as the operator or a server does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Value: data, Ver: s.ver})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Ver: s.ver, Removed: true})
}

func (s *Store) apply(r storeRow) {
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(w http.ResponseWriter, status int, body map[string]any) {
	body["Ver"], body["NowMs"] = s.ver, time.Since(s.start).Milliseconds()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		above := q.Get("Target") == "" || row.Key < q.Get("Target")
		if row.Table == q.Get("Table") && row.Part == q.Get("part") && row.Key >= q.Get("From") && above {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.write(w, http.StatusOK, map[string]any{"Rows": rows, "HasMore": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Ver > after && row.Table == q.Get("Table") {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			s.write(w, http.StatusOK, map[string]any{"Rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			s.mu.Lock()
			s.write(w, http.StatusOK, map[string]any{"Rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var raw map[string][]storeRow
	if json.NewDecoder(r.Body).Decode(&raw) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []storeRow{}, false
	for _, e := range raw[fieldExpect] {
		have, ok := s.rows[e.id()]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Ver != e.Ver
	}
	if conflict {
		s.write(w, http.StatusPreconditionFailed, map[string]any{"Rows": current})
		return
	}
	for _, row := range slices.Concat(raw["Writes"], raw["Remove"]) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, row := range raw["Writes"] {
		row.Ver = s.ver
		s.apply(row)
	}
	for _, row := range raw["Remove"] {
		row.Ver, row.Removed, row.Value = s.ver, true, nil
		s.apply(row)
	}
	s.write(w, http.StatusOK, map[string]any{})
}
