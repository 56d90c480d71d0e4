package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// feed is a feed whose rows a test sets.
type feed[T any] struct {
	mu       sync.Mutex
	rows     map[string]T
	revision uint64
	written  map[string]uint64 // revisions of the rows
	changed  chan struct{}
	err      error
	// behind makes reads answer as of an older revision.
	behind *site.Batch[T]
	// history keeps the changes, nil for a feed that has always lost them.
	history []site.Item[T]
}

// keep makes the feed tell changes from now on.
func (f *feed[T]) keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = []site.Item[T]{}
}

// since lists the changes after a revision.
func (f *feed[T]) since(after uint64) site.Batch[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := site.Batch[T]{Revision: f.revision}
	for _, it := range f.history {
		if it.Revision > after {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

func newFeed[T any]() *feed[T] {
	return &feed[T]{rows: make(map[string]T), written: make(map[string]uint64), changed: make(chan struct{})}
}

func (f *feed[T]) set(key string, v T) {
	f.change(func() {
		f.rows[key] = v
		f.written[key] = f.revision + 1
		f.log(site.Item[T]{Key: key, Value: v, Revision: f.revision + 1})
	})
}

func (f *feed[T]) remove(key string) {
	f.change(func() {
		delete(f.rows, key)
		f.log(site.Item[T]{Key: key, Removed: true, Revision: f.revision + 1})
	})
}

func (f *feed[T]) log(it site.Item[T]) {
	if f.history != nil {
		f.history = append(f.history, it)
	}
}

// fail makes every call end with err, nil for none.
func (f *feed[T]) fail(err error) {
	f.change(func() { f.err = err })
}

func (f *feed[T]) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

// Read implements site.Feed.
func (f *feed[T]) Read(context.Context) (site.Batch[T], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behind != nil {
		return *f.behind, nil
	}
	return f.all(), f.err
}

func (f *feed[T]) all() site.Batch[T] {
	b := site.Batch[T]{Revision: f.revision}
	for k, v := range f.rows {
		b.Items = append(b.Items, site.Item[T]{Key: k, Value: v, Revision: f.written[k]})
	}
	return b
}

// Follow implements site.Feed. Without a history it demands a whole read at each
// change.
func (f *feed[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	f.mu.Lock()
	changed, revision, err, kept := f.changed, f.revision, f.err, f.history != nil
	f.mu.Unlock()
	if err != nil {
		return site.Batch[T]{}, err
	}
	if revision > after {
		return f.changes(after, kept)
	}
	select {
	case <-changed:
		return f.changes(after, kept)
	case <-time.After(wait):
		return site.Batch[T]{Revision: after}, nil
	case <-ctx.Done():
		return site.Batch[T]{}, ctx.Err()
	}
}

func (f *feed[T]) changes(after uint64, kept bool) (site.Batch[T], error) {
	if !kept {
		return site.Batch[T]{}, site.ErrHistoryGone
	}
	return f.since(after), nil
}

// door is one gateway's way to a feed.
type door[T any] struct {
	feed  *feed[T]
	calls atomic.Int64
	shut  atomic.Bool // every call is refused
}

// Read implements site.Feed.
func (d *door[T]) Read(ctx context.Context) (site.Batch[T], error) {
	d.calls.Add(1)
	if d.shut.Load() {
		return site.Batch[T]{}, site.ErrUnavailable
	}
	return d.feed.Read(ctx)
}

// Follow implements site.Feed.
func (d *door[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	d.calls.Add(1)
	if d.shut.Load() {
		return site.Batch[T]{}, site.ErrUnavailable
	}
	return d.feed.Follow(ctx, after, wait)
}

// table is a table of the site's store.
type table struct {
	mu       sync.Mutex
	rows     map[string]site.Row
	revision uint64
	began    time.Time
}

func newTable() *table { return &table{rows: make(map[string]site.Row), began: time.Now()} }

// Read implements site.Table.
func (t *table) Read(context.Context) (site.Rows, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := site.Rows{Now: time.Since(t.began)}
	for _, r := range t.rows {
		out.Rows = append(out.Rows, r)
	}
	return out, nil
}

// Commit implements site.Table.
func (t *table) Commit(_ context.Context, c site.Change) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Conditional && t.rows[c.Key].Revision != c.Revision {
		return 0, site.ErrConflict
	}
	t.revision++
	t.rows[c.Key] = site.Row{Key: c.Key, Value: c.Value, Revision: t.revision}
	return t.revision, nil
}

// servers is a fake of all backend servers.
type servers struct {
	mu     sync.Mutex
	calls  []backend.Call
	orders []backend.Order
	dead   map[string]bool // by address
	// plain and stream answer calls; a stream writes events with increasing ids.
	plain  func(c backend.Call) (*backend.Answer, error)
	stream func(c backend.Call, out *io.PipeWriter)
	listed *feed[fleet.Server]
}

// Send implements backend.Client.
func (s *servers) Send(ctx context.Context, c backend.Call) (*backend.Answer, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c)
	dead := s.dead[c.Address]
	s.mu.Unlock()
	if dead {
		return nil, errors.Join(backend.ErrNotSent, errors.New("connection refused"))
	}
	if c.Path == nil {
		return s.plain(c)
	}
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(backend.ErrBroken) })
	go s.stream(c, w)
	return &backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r, Signed: true}, nil
}

// Order implements backend.Client: the engine lists its layers at once.
func (s *servers) Order(_ context.Context, o backend.Order) (backend.OrderResult, error) {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	s.listed.mu.Lock()
	srv := s.listed.rows[string(o.Server)]
	s.listed.mu.Unlock()
	srv.Layers = o.Layers
	s.listed.set(string(o.Server), srv)
	return backend.OrderBegun, nil
}

// Report implements backend.Client.
func (s *servers) Report(ctx context.Context, address string) (backend.Report, error) {
	s.mu.Lock()
	dead := s.dead[address]
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return backend.Report{}, ctx.Err()
	}
	return backend.Report{}, nil
}

func (s *servers) kill(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[address] = true
}

func (s *servers) sent() []backend.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]backend.Call(nil), s.calls...)
}

// answer is a whole signed answer.
func answer(status int, body string) *backend.Answer {
	return &backend.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body)), Signed: true}
}

// events writes events after the given one up to last, and ends the answer.
func events(out *io.PipeWriter, after string, last int) {
	from, _ := strconv.Atoi(after)
	for id := from + 1; id <= last; id++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %d\n\n", id, id); err != nil {
			return
		}
	}
	_ = out.Close()
}

// reply collects what a caller gets.
type reply struct {
	status int
	body   bytes.Buffer
	cut    bool
}

// Head implements gateway.Reply.
func (r *reply) Head(status int, _ http.Header) { r.status = status }

// Write implements gateway.Reply.
func (r *reply) Write(b []byte) error { _, err := r.body.Write(b); return err }

// Cut implements gateway.Reply.
func (r *reply) Cut() { r.cut = true }

// rig is a site with one gateway.
type rig struct {
	configs *feed[*fleet.Config]
	listed  *feed[fleet.Server]
	servers *servers
	members *table
	leases  *table
	gateway *gateway.Gateway
	grace   time.Duration
	log     *telemetry.Log
}

const patience = 20 * time.Second

func newRig() *rig { return newRigWith(20 * time.Second) }

// newRigWith has gateways whose planned stops take grace at most.
func newRigWith(grace time.Duration) *rig {
	return newRigLogging(grace, telemetry.Discard())
}

// newRigLogging has gateways that write to a log.
func newRigLogging(grace time.Duration, log *telemetry.Log) *rig {
	r := &rig{log: log, grace: grace, configs: newFeed[*fleet.Config](), listed: newFeed[fleet.Server](), members: newTable(), leases: newTable()}
	r.servers = &servers{dead: make(map[string]bool), listed: r.listed}
	r.servers.stream = func(c backend.Call, out *io.PipeWriter) { events(out, c.After, 5) }
	r.servers.plain = func(backend.Call) (*backend.Answer, error) { return answer(http.StatusOK, "ok"), nil }
	r.gateway = r.start("g1")
	return r
}

// start runs one more gateway of the site.
func (r *rig) start(id state.DaemonID) *gateway.Gateway {
	return r.startAt(id, r.configs, r.listed)
}

// startAt runs a gateway with ways of its own to the site's feeds.
func (r *rig) startAt(id state.DaemonID, configs site.Feed[*fleet.Config], servers site.Feed[fleet.Server]) *gateway.Gateway {
	g, err := gateway.New(gateway.Settings{
		ID: id, Domain: "a", Front: "front-" + string(id), Peers: freeAddress(), Grace: r.grace,
		AddressesValid: 5 * time.Second, BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: 100,
	}, gateway.Site{Configs: configs, Servers: servers, Members: r.members, Leases: r.leases},
		r.servers, r.log, telemetry.NewMetrics())
	Expect(err).NotTo(HaveOccurred())
	g.Run()
	DeferCleanup(g.Close)
	return g
}

func freeAddress() string {
	address, err := freeport.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// config has a streaming route to engines of 8 layers, and two to plain servers.
func config(version uint64) *fleet.Config {
	return &fleet.Config{
		Version: version,
		Hosts: map[string][]fleet.Route{"h": {
			{Name: "stream", Prefix: "/stream/", Stream: true, Repeat: fleet.RunOn, MaxAttempts: 2, Target: time.Second, Gap: 200 * time.Millisecond, Split: []fleet.Share{{Service: "llm", Weight: 1}}},
			{Name: "again", Prefix: "/again/", Repeat: fleet.RunAgain, MaxAttempts: 2, Target: time.Second, Split: []fleet.Share{{Service: "app", Weight: 1}}},
			{Name: "once", Prefix: "/once/", Repeat: fleet.RunOnce, MaxAttempts: 2, Target: time.Second, Split: []fleet.Share{{Service: "app", Weight: 1}}},
		}},
		Services: map[state.ServiceID]fleet.Service{
			"llm": {ID: "llm", Engine: &fleet.Engine{
				Layers: 8, LayerMB: 1000, KVTokens: 10, TokenKB: 1, StepMS: 1,
				Kinds: map[string]fleet.CardKind{"card": {MemoryMB: 4500, Pace: 1}},
			}},
			"app": {ID: "app"},
		},
		Keys: map[string]fleet.Customer{"secret": {ID: "bank"}},
	}
}

// fill lists two plain servers and two chains of two engines.
func (r *rig) fill() {
	for i := range 2 {
		id := fmt.Sprintf("p%d", i)
		r.listed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
	}
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		from := 4 * (i % 2)
		r.listed.set(id, fleet.Server{
			ID: state.BackendID(id), Service: "llm", Address: id, Kind: "card",
			Domain: state.FailureDomain(fmt.Sprint("ab"[i/2 : i/2+1])), Layers: fleet.Range{From: from, To: from + 4},
		})
	}
	r.configs.set("config", config(1))
	Eventually(r.gateway.Ready).WithTimeout(patience).Should(BeTrue())
}

func request(path string) *gateway.Request {
	return &gateway.Request{
		ID: "r1", Host: "h", Path: path, Target: path, Method: http.MethodPost, Header: http.Header{},
		Key: "secret", Wait: 10 * time.Second, Prompt: 2, Answer: 2, Arrived: time.Now(),
	}
}

// serve sends a request through the gateway.
func (r *rig) serve(path string) (*reply, gateway.Result) {
	to := &reply{}
	res := r.gateway.Serve(context.Background(), request(path), to)
	return to, res
}

// serveAt sends a request as if it had come some time from now.
func (r *rig) serveAt(path string, in time.Duration) gateway.Result {
	req := request(path)
	req.Arrived = req.Arrived.Add(in)
	return r.gateway.Serve(context.Background(), req, &reply{})
}
