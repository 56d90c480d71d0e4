// Package ctltest provides a cluster of fake daemons that serve the operators' part
// of the HTTP interface, for tests of the operators' commands.
package ctltest

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Cluster is a set of fake daemons that share the committed documents. Its methods
// are safe for concurrent use.
type Cluster struct {
	mu        sync.Mutex
	committed map[state.ServiceID]service.Versioned
	daemons   map[state.DaemonID]*Daemon
}

// Daemon is one fake daemon. Its exported fields are set through Cluster.Change.
type Daemon struct {
	ID  state.DaemonID
	URL string

	LoseAnswers    int  // number of edits to apply but answer with 503
	IgnoresEditIDs bool // does not recognize a repeated edit by its ID
	Lagging        bool // does not receive newer documents
	Partitioned    bool // sees all others as dead and does not receive newer documents
	Dead           bool // seen as dead by the others
	NoAddress      bool // the others do not report its address
	Active         int

	cluster         *Cluster
	server          *httptest.Server
	activeDocuments map[state.ServiceID]service.Versioned
	draining        bool
	listCalls       atomic.Int64 // calls that listed the documents
}

// New starts one daemon for each ID. Close stops them.
func New(ids ...state.DaemonID) *Cluster {
	c := &Cluster{
		committed: map[state.ServiceID]service.Versioned{},
		daemons:   map[state.DaemonID]*Daemon{},
	}
	for _, id := range ids {
		d := &Daemon{ID: id, cluster: c, activeDocuments: map[state.ServiceID]service.Versioned{}}
		d.server = startServer(d.handler())
		d.URL = d.server.URL
		c.daemons[id] = d
	}
	return c
}

// maxListenAttempts is how many addresses a server tries that other processes take first.
const maxListenAttempts = 10

// startServer starts a server on a port that is assigned to no outgoing connection and to no other
// server, so that it refuses connections once it has stopped.
func startServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	var err error
	for range maxListenAttempts {
		var address string
		if address, err = freeport.Address(); err != nil {
			continue
		}
		if s.Listener, err = net.Listen("tcp", address); err == nil {
			s.Start()
			return s
		}
	}
	panic(fmt.Sprintf("ctltest: no server started: %v", err))
}

// Close stops every daemon.
func (c *Cluster) Close() {
	for _, d := range c.daemons {
		d.server.Close()
	}
}

// URL returns the base URL of a daemon.
func (c *Cluster) URL(id state.DaemonID) string {
	return c.daemons[id].URL
}

// Stop stops a daemon's HTTP server and closes its connections.
func (c *Cluster) Stop(id state.DaemonID) {
	c.daemons[id].server.CloseClientConnections()
	c.daemons[id].server.Close()
}

// Change calls change with a daemon under the cluster's lock, then propagates the
// committed documents.
func (c *Cluster) Change(id state.DaemonID, change func(*Daemon)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.daemons[id])
	c.propagate()
}

// Commit makes v the active version of its document, as if another operator had
// edited it.
func (c *Cluster) Commit(v service.Versioned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.committed[v.Document.Service] = v
	c.propagate()
}

// Committed returns the version committed last.
func (c *Cluster) Committed(id state.ServiceID) service.Versioned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.committed[id]
}

// propagate copies the committed documents to each daemon that is neither lagging
// nor partitioned.
func (c *Cluster) propagate() {
	for _, d := range c.daemons {
		if d.Lagging || d.Partitioned {
			continue
		}
		for id, v := range c.committed {
			d.activeDocuments[id] = v
		}
	}
}

// Draining reports whether a daemon has begun to drain.
func (c *Cluster) Draining(id state.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[id].draining
}

// ListCalls returns the number of calls that listed a daemon's documents.
func (c *Cluster) ListCalls(id state.DaemonID) int64 {
	return c.daemons[id].listCalls.Load()
}

// apply handles an edit as a daemon does.
func (d *Daemon) apply(e caller.Edit) caller.EditResult {
	document, faults := service.Decode(e.Text)
	if len(faults) > 0 {
		return caller.EditResult{Status: caller.EditInvalid, Faults: service.Texts(faults)}
	}
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.committed[document.Service]
	if d.IgnoresEditIDs || current.EditID != e.EditID {
		if current.Version != e.Base {
			return caller.EditResult{Status: caller.EditConflict, Current: &current}
		}
		current = service.Versioned{Version: e.Base + 1, EditID: e.EditID, Document: document}
		c.committed[document.Service] = current
		c.propagate()
	}
	if d.LoseAnswers > 0 {
		d.LoseAnswers--
		return caller.EditResult{Status: caller.EditUnknown}
	}
	return caller.EditResult{Status: caller.EditAccepted, Version: current.Version}
}

func (d *Daemon) documents() []service.Versioned {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	all := []service.Versioned{}
	for _, v := range d.activeDocuments {
		all = append(all, v)
	}
	return all
}

func (d *Daemon) status() caller.DaemonStatus {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	s := caller.DaemonStatus{ID: d.ID, Draining: d.draining, Isolated: d.Partitioned, Active: d.Active, Documents: d.versions()}
	for _, other := range d.cluster.daemons {
		if other != d {
			s.Members = append(s.Members, d.memberStatus(other))
		}
	}
	slices.SortFunc(s.Members, func(a, b caller.MemberStatus) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return s
}

// memberStatus returns the status of another daemon as d sees it.
func (d *Daemon) memberStatus(other *Daemon) caller.MemberStatus {
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
	for id, v := range d.activeDocuments {
		versions[id] = v.Version
	}
	return versions
}
