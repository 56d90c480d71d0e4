// Package ctltest is a fleet of fake daemons that answer the operators' part of
// the HTTP interface, for tests of the operators' commands.
package ctltest

import (
	"cmp"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Fleet is some daemons that share the committed documents. Its methods may be
// called by many goroutines at once.
type Cluster struct {
	mu        sync.Mutex
	committed map[state.ServiceID]service.Versioned
	daemons   map[state.DaemonID]*Daemon
}

// Daemon is one fake daemon. Its fields are set through Fleet.Change.
type Daemon struct {
	ID  state.DaemonID
	URL string

	LoseAnswers    int  // so many edits take effect and are answered 503
	IgnoresEditIDs bool // does not know an edit by its id
	Lagging        bool // keeps the documents it has
	Partitioned    bool // sees all others as dead, and keeps its documents
	Dead           bool // is seen as dead by the others
	NoAddress      bool // the others tell no address of it
	Active         int

	fleet    *Cluster
	server   *httptest.Server
	inForce  map[state.ServiceID]service.Versioned
	draining bool
	lists    atomic.Int64 // calls that listed the documents
}

// New starts daemons of the given names; Close stops them.
func New(ids ...state.DaemonID) *Cluster {
	f := &Cluster{
		committed: map[state.ServiceID]service.Versioned{},
		daemons:   map[state.DaemonID]*Daemon{},
	}
	for _, id := range ids {
		d := &Daemon{ID: id, fleet: f, inForce: map[state.ServiceID]service.Versioned{}}
		d.server = httptest.NewServer(d.handler())
		d.URL = d.server.URL
		f.daemons[id] = d
	}
	return f
}

// Close stops every daemon.
func (f *Cluster) Close() {
	for _, d := range f.daemons {
		d.server.Close()
	}
}

// URL is the base URL of a daemon.
func (f *Cluster) URL(id state.DaemonID) string {
	return f.daemons[id].URL
}

// Stop closes a daemon's address.
func (f *Cluster) Stop(id state.DaemonID) {
	f.daemons[id].server.CloseClientConnections()
	f.daemons[id].server.Close()
}

// Change changes a daemon.
func (f *Cluster) Change(id state.DaemonID, change func(*Daemon)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.daemons[id])
	f.spread()
}

// Commit makes a document the one in force, as an edit of another operator.
func (f *Cluster) Commit(v service.Versioned) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.committed[v.Document.Service] = v
	f.spread()
}

// Committed returns the version committed last.
func (f *Cluster) Committed(id state.ServiceID) service.Versioned {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.committed[id]
}

// spread brings the committed documents to each daemon that does not lag.
func (f *Cluster) spread() {
	for _, d := range f.daemons {
		if d.Lagging || d.Partitioned {
			continue
		}
		for id, v := range f.committed {
			d.inForce[id] = v
		}
	}
}

// Draining reports whether a planned stop has begun.
func (f *Cluster) Draining(id state.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[id].draining
}

// Lists counts the calls that listed a daemon's documents.
func (f *Cluster) ListCalls(id state.DaemonID) int64 {
	return f.daemons[id].lists.Load()
}

// apply does what a daemon does with an edit.
func (d *Daemon) apply(e caller.Edit) caller.EditResult {
	document, faults := service.Decode(e.Text)
	if len(faults) > 0 {
		return caller.EditResult{Status: caller.EditInvalid, Faults: service.Texts(faults)}
	}
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.committed[document.Service]
	if d.IgnoresEditIDs || now.EditID != e.EditID {
		if now.Version != e.Base {
			return caller.EditResult{Status: caller.EditConflict, Current: &now}
		}
		now = service.Versioned{Version: e.Base + 1, EditID: e.EditID, Document: document}
		f.committed[document.Service] = now
		f.spread()
	}
	if d.LoseAnswers > 0 {
		d.LoseAnswers--
		return caller.EditResult{Status: caller.EditUnknown}
	}
	return caller.EditResult{Status: caller.EditAccepted, Version: now.Version}
}

func (d *Daemon) documents() []service.Versioned {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	all := []service.Versioned{}
	for _, v := range d.inForce {
		all = append(all, v)
	}
	return all
}

func (d *Daemon) status() caller.DaemonStatus {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	s := caller.DaemonStatus{ID: d.ID, Draining: d.draining, Isolated: d.Partitioned, Active: d.Active, Documents: d.versions()}
	for _, other := range d.fleet.daemons {
		if other != d {
			s.Members = append(s.Members, d.view(other))
		}
	}
	slices.SortFunc(s.Members, func(a, b caller.MemberStatus) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return s
}

// view is what d knows of another daemon.
func (d *Daemon) view(other *Daemon) caller.MemberStatus {
	m := caller.MemberStatus{
		Member:    state.Member{ID: other.ID, Incarnation: 1},
		Address:   "127.0.0.1:7100",
		BaseURL:   other.URL,
		State:     "alive",
		Documents: other.versions(),
	}
	if other.Dead || d.Partitioned {
		m.State = "dead"
	}
	if other.NoAddress {
		m.BaseURL = ""
	}
	return m
}

func (d *Daemon) versions() map[state.ServiceID]state.DocumentVersion {
	versions := map[state.ServiceID]state.DocumentVersion{}
	for id, v := range d.inForce {
		versions[id] = v.Version
	}
	return versions
}
