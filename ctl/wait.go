package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// waitPollInterval is the interval at which lagging daemons are queried.
	waitPollInterval = 200 * time.Millisecond
	// maxParallelCalls limits the calls in flight at a time.
	maxParallelCalls = 16
	// stateDead is the MemberStatus.State of a daemon that WaitActive ignores.
	stateDead = "dead"
)

// Lag describes a live daemon that has not applied a version yet.
type Lag struct {
	Daemon  state.DaemonID
	Version state.DocumentVersion // active there; 0 for none or unknown
	Cause   string                // why the version is unknown
}

// String returns "entry-3: version 6", or why the version is unknown.
func (l Lag) String() string {
	if l.Cause != "" {
		return fmt.Sprintf("%s: version not known: %s", l.Daemon, l.Cause)
	}
	return fmt.Sprintf("%s: version %d", l.Daemon, l.Version)
}

// WaitActive waits until at least the given version is active at every live daemon,
// or until ctx ends. It returns the daemons that still lag, sorted by name.
//
// A daemon is live while any of the client's servers sees it alive. A single view is
// not enough: a partitioned daemon sees the others as dead, and a wait through it
// alone would end at once although the rest of the site has not applied the version.
func (c *Client) WaitActive(ctx context.Context, id state.ServiceID, version state.DocumentVersion) []Lag {
	w := &waiter{client: c, service: id, version: version, upToDate: map[state.DaemonID]bool{}}
	var known []Lag // by the first round, or by the last one that ctx did not cut off
	for first := true; ; first = false {
		w.round(ctx)
		if w.complete() {
			return nil
		}
		if lags := w.lags(); first || ctx.Err() == nil {
			known = lags
		}
		if !sleep(ctx, waitPollInterval) {
			return slices.DeleteFunc(known, func(l Lag) bool { return w.upToDate[l.Daemon] })
		}
	}
}

// waiter holds the state of one call of WaitActive.
type waiter struct {
	client  *Client
	service state.ServiceID
	version state.DocumentVersion

	// upToDate holds the daemons seen with the version. A daemon never goes back to
	// an older one.
	upToDate map[state.DaemonID]bool

	mu           sync.Mutex            // guards the fields below during a round
	answered     int                   // servers that responded in this round
	lagging      []Lag                 // live daemons that lag in this round
	queried      []state.DaemonID      // daemons queried directly as servers
	members      []caller.MemberStatus // live daemons reported by the servers
	serverErrors map[string]string     // errors of unanswered queries, by server
}

// round queries the servers, then each live daemon that they report and that was not
// yet seen with the version.
func (w *waiter) round(ctx context.Context) {
	w.answered, w.lagging, w.queried, w.members = 0, nil, nil, nil
	w.serverErrors = map[string]string{}
	w.forEach(len(w.client.servers), func(i int) { w.queryServer(ctx, w.client.servers[i]) })
	w.members = slices.DeleteFunc(w.members, func(m caller.MemberStatus) bool {
		return slices.Contains(w.queried, m.Member.ID)
	})
	w.forEach(len(w.members), func(i int) { w.queryMember(ctx, w.members[i]) })
}

// forEach runs f(0) to f(n-1), at most maxParallelCalls at a time.
func (w *waiter) forEach(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait()
}

func (w *waiter) queryServer(ctx context.Context, server string) {
	s, err := w.client.statusOf(ctx, server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.serverErrors[server] = err.Error()
		return
	}
	w.answered++
	w.queried = append(w.queried, s.ID)
	w.record(s.ID, s.Documents[w.service])
	for _, m := range s.Members {
		w.addMember(m)
	}
}

// addMember adds a live daemon, keeping only its latest incarnation.
func (w *waiter) addMember(m caller.MemberStatus) {
	if m.State == stateDead || w.upToDate[m.Member.ID] {
		return
	}
	for i, other := range w.members {
		if other.Member.ID != m.Member.ID {
			continue
		}
		if other.Member.Incarnation < m.Member.Incarnation {
			w.members[i] = m
		}
		return
	}
	w.members = append(w.members, m)
}

// queryMember queries m itself, or uses the version reported by a server where m's
// address is unknown.
func (w *waiter) queryMember(ctx context.Context, m caller.MemberStatus) {
	if m.BaseURL == "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.record(m.Member.ID, m.Documents[w.service])
		return
	}
	s, err := w.client.statusOf(ctx, m.BaseURL)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.lagging = append(w.lagging, Lag{Daemon: m.Member.ID, Cause: err.Error()})
		return
	}
	w.record(m.Member.ID, s.Documents[w.service])
}

func (w *waiter) record(id state.DaemonID, v state.DocumentVersion) {
	if v >= w.version {
		w.upToDate[id] = true
		return
	}
	w.lagging = append(w.lagging, Lag{Daemon: id, Version: v})
}

// complete reports whether some server responded and no live daemon lags.
func (w *waiter) complete() bool {
	return w.answered > 0 && len(w.lagging) == 0
}

// lags returns the lagging daemons, or the servers where none of them responded.
func (w *waiter) lags() []Lag {
	if w.answered == 0 {
		for server, cause := range w.serverErrors {
			w.lagging = append(w.lagging, Lag{Daemon: state.DaemonID(server), Cause: cause})
		}
	}
	slices.SortFunc(w.lagging, func(a, b Lag) int {
		return strings.Compare(string(a.Daemon), string(b.Daemon))
	})
	return w.lagging
}
