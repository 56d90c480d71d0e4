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
	// waitPoll is how often daemons that lag are asked again.
	waitPoll = 200 * time.Millisecond
	// waitParallel bounds the calls under way at one time.
	waitParallel = 16
	// stateDead is the MemberStatus.State of a daemon that is not waited for.
	stateDead = "dead"
)

// Lag is a live daemon that does not have a version in force.
type Lag struct {
	Daemon  state.DaemonID
	Version state.DocumentVersion // in force there; 0 for none or not known
	Cause   string                // why the version is not known
}

// String gives "entry-3: version 6" or why that is not known.
func (l Lag) String() string {
	if l.Cause != "" {
		return fmt.Sprintf("%s: version not known: %s", l.Daemon, l.Cause)
	}
	return fmt.Sprintf("%s: version %d", l.Daemon, l.Version)
}

// WaitInForce waits until every live daemon has at least version in force, or
// ctx ends, and returns those that lag then, by name.
//
// A daemon is live while any of the client's servers sees it so. One view is
// not enough: a daemon that is cut off sees the others as dead, and a wait
// through it alone would end at once although the site has not changed.
func (c *Client) WaitActive(ctx context.Context, id state.ServiceID, version state.DocumentVersion) []Lag {
	w := &waiter{client: c, service: id, version: version, reached: map[state.DaemonID]bool{}}
	for {
		w.round(ctx)
		if w.complete() || !sleep(ctx, waitPoll) {
			return w.lags()
		}
	}
}

// waiter holds one WaitInForce.
type waiter struct {
	client  *Client
	service state.ServiceID
	version state.DocumentVersion

	// reached are the daemons seen with the version, which none gives up.
	reached map[state.DaemonID]bool

	mu      sync.Mutex            // of what follows, during a round
	asked   int                   // servers that answered in this round
	pending []Lag                 // live daemons that lag in this round
	direct  []state.DaemonID      // daemons that answered for themselves
	members []caller.MemberStatus // live daemons that servers named
	errs    map[string]string     // why a server did not answer, by server
}

// round asks the servers, then each live daemon that they name and that was
// not yet seen with the version.
func (w *waiter) round(ctx context.Context) {
	w.asked, w.pending, w.direct, w.members = 0, nil, nil, nil
	w.errs = map[string]string{}
	w.each(len(w.client.servers), func(i int) { w.askServer(ctx, w.client.servers[i]) })
	w.members = slices.DeleteFunc(w.members, func(m caller.MemberStatus) bool {
		return slices.Contains(w.direct, m.Member.ID)
	})
	w.each(len(w.members), func(i int) { w.askMember(ctx, w.members[i]) })
}

// each runs f(0) to f(n-1), some at a time.
func (w *waiter) each(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(waitParallel)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait()
}

func (w *waiter) askServer(ctx context.Context, server string) {
	s, err := w.client.statusOf(ctx, server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.errs[server] = err.Error()
		return
	}
	w.asked++
	w.direct = append(w.direct, s.ID)
	w.note(s.ID, s.Documents[w.service])
	for _, m := range s.Members {
		w.addMember(m)
	}
}

// addMember keeps a live daemon once, by its latest incarnation.
func (w *waiter) addMember(m caller.MemberStatus) {
	if m.State == stateDead || w.reached[m.Member.ID] {
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

// askMember asks m itself, or takes what a server knows of it where it has told
// no address.
func (w *waiter) askMember(ctx context.Context, m caller.MemberStatus) {
	if m.BaseURL == "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.note(m.Member.ID, m.Documents[w.service])
		return
	}
	s, err := w.client.statusOf(ctx, m.BaseURL)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.pending = append(w.pending, Lag{Daemon: m.Member.ID, Cause: err.Error()})
		return
	}
	w.note(m.Member.ID, s.Documents[w.service])
}

func (w *waiter) note(id state.DaemonID, v state.DocumentVersion) {
	if v >= w.version {
		w.reached[id] = true
		return
	}
	w.pending = append(w.pending, Lag{Daemon: id, Version: v})
}

// complete reports whether some server answered and no live daemon lags.
func (w *waiter) complete() bool {
	return w.asked > 0 && len(w.pending) == 0
}

// lags gives the daemons that lag; where no server answered, the servers.
func (w *waiter) lags() []Lag {
	if w.asked == 0 {
		for server, cause := range w.errs {
			w.pending = append(w.pending, Lag{Daemon: state.DaemonID(server), Cause: cause})
		}
	}
	slices.SortFunc(w.pending, func(a, b Lag) int {
		return strings.Compare(string(a.Daemon), string(b.Daemon))
	})
	return w.pending
}
