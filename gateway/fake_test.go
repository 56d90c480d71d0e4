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
	"syscall"
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

// fakeServers fakes all backend servers.
type fakeServers struct {
	mu          sync.Mutex
	calls       []backend.Call
	orders      []backend.Order
	dead        map[string]bool            // by address
	ended       map[string]bool            // by address: servers whose port refuses connections
	silent      map[string]bool            // by address: servers that read and answer nothing
	used        int64                      // of a capacity of 100, in the reports of all servers
	refusing    map[string]bool            // by address: engines that refuse all requests along a path
	blaming     map[string]bool            // by address: engines that refuse those sent to them, and blame the last hop
	startTimes  map[string]int64           // of servers that are another incarnation than listed, by address
	reportErr   map[string]error           // errors of report requests, by address
	reportCalls map[string]int             // number of report requests, by address
	paces       map[string]float64         // in the reports of slow servers, by address
	limits      map[string]fleet.RateLimit // limits that servers name, by address
	shedding    map[string]shedding        // by address: servers that turn all requests away
	turnedAway  map[string][]time.Time     // when servers turned requests away, by address
	leaving     map[string]bool            // by address: servers that state that they are leaving
	requestsAt  map[string][]time.Time     // when servers received requests, by address
	// connect is called before a call is admitted, if it is set.
	connect func(c backend.Call)
	// delay returns how long a call waits for its answer, if it is set.
	delay func(c backend.Call) time.Duration
	// plain and stream answer calls; a stream writes events with increasing ids.
	plain  func(c backend.Call) (*backend.Answer, error)
	stream func(c backend.Call, out *io.PipeWriter)
	// streamError makes a call along a path fail before its header, if it is set.
	streamError func(c backend.Call) error
	serverFeed  *fakeFeed[fleet.Server]
}

// Send implements backend.Client.
func (s *fakeServers) Send(ctx context.Context, c backend.Call) (*backend.Answer, error) {
	if s.connect != nil {
		s.connect(c)
	}
	if c.Admit != nil && !c.Admit(false) {
		return nil, errors.Join(backend.ErrNotSent, backend.ErrWithdrawn)
	}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.requestsAt[c.Address] = append(s.requestsAt[c.Address], time.Now())
	dead, limit := s.dead[c.Address] || s.ended[c.Address], s.limits[c.Address]
	s.mu.Unlock()
	if dead {
		return nil, errors.Join(backend.ErrNotSent, errors.New("connection refused"))
	}
	if s.isSilent(c.Address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if s.delay != nil {
		select {
		case <-time.After(s.delay(c)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if a, ok := s.shed(c.Address); ok {
		return a, nil
	}
	if c.Path == nil {
		a, err := s.plain(c)
		if err == nil {
			a.Limit, a.Leaving = limit, s.isLeaving(c.Address)
		}
		return a, err
	}
	if culprit, ok := s.refusingHop(c.Path); ok {
		a := signedAnswer(http.StatusServiceUnavailable, "")
		a.NotRun, a.FaultyHop = true, culprit
		return a, nil
	}
	if s.streamError != nil {
		return nil, s.streamError(c)
	}
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(backend.ErrIncomplete) })
	go s.stream(c, w)
	return &backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r, Signed: true, Limit: limit, Leaving: s.isLeaving(c.Address)}, nil
}

// shedding says until when a server turns all requests away, and what it states then.
type shedding struct {
	until      time.Time
	retryAfter time.Duration
	faultyHop  string // the hop that it blames, or ""
}

// startShedding makes a server turn all requests away for a duration. It asks for as long a
// time without requests.
func (s *fakeServers) startShedding(address string, duration time.Duration) {
	s.startSheddingFor(address, "", duration)
}

// startSheddingFor makes a server turn all requests away as startShedding does, and blame
// another hop.
func (s *fakeServers) startSheddingFor(address, faultyHop string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding[address] = shedding{until: time.Now().Add(duration), retryAfter: duration, faultyHop: faultyHop}
}

// shed answers a request to a server that turns requests away.
func (s *fakeServers) shed(address string) (*backend.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, sh := time.Now(), s.shedding[address]
	if !now.Before(sh.until) {
		return nil, false
	}
	s.turnedAway[address] = append(s.turnedAway[address], now)
	a := signedAnswer(http.StatusServiceUnavailable, "")
	a.NotRun, a.RetryAfter, a.FaultyHop = true, sh.retryAfter, sh.faultyHop
	return a, true
}

// turnAways returns how many requests a server has turned away.
func (s *fakeServers) turnAways(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.turnedAway[address])
}

// unwantedRequests returns how many requests a server got between half a second after it
// first turned one away and the end of the time that it asked for.
func (s *fakeServers) unwantedRequests(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.turnedAway[address]) == 0 {
		return 0
	}
	first, count := s.turnedAway[address][0], 0
	for _, at := range s.requestsAt[address] {
		if after := at.Sub(first); after > settleTime && after < s.shedding[address].retryAfter {
			count++
		}
	}
	return count
}

// startLeaving makes a server state in its answers that it is leaving.
func (s *fakeServers) startLeaving(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[address] = true
}

func (s *fakeServers) isLeaving(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[address]
}

// setPace makes a server report to be slow.
func (s *fakeServers) setPace(address string, pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paces[address] = pace
}

// setLimit makes a server name a limit of requests per second in its answers.
func (s *fakeServers) setLimit(address string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[address] = fleet.RateLimit{Named: true, PerSecond: perSecond}
}

// clearLimit makes a server name no limit.
func (s *fakeServers) clearLimit(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.limits, address)
}

// requestTimes returns when a server received requests.
func (s *fakeServers) requestTimes(address string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.requestsAt[address]...)
}

// Connect implements backend.Client.
func (s *fakeServers) Connect(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead[address] || s.ended[address] {
		return errors.Join(backend.ErrNotSent, errors.New("connection refused"))
	}
	return nil
}

// Order implements backend.Client: the engine lists its layers at once.
func (s *fakeServers) Order(_ context.Context, o backend.Order) (backend.OrderAnswer, error) {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	s.serverFeed.mu.Lock()
	srv := s.serverFeed.rows[string(o.Server)]
	s.serverFeed.mu.Unlock()
	srv.Layers = o.Layers
	s.serverFeed.set(string(o.Server), srv)
	return backend.OrderAnswer{Result: backend.OrderAccepted}, nil
}

// Report implements backend.Client.
func (s *fakeServers) Report(ctx context.Context, address string) (backend.Report, error) {
	s.mu.Lock()
	dead, err := s.dead[address] || s.silent[address], s.reportErr[address]
	if s.ended[address] {
		err = errors.Join(backend.ErrNotSent, backend.ErrRefused)
	}
	s.reportCalls[address]++
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return backend.Report{}, ctx.Err()
	}
	if err != nil {
		return backend.Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.Report{StartTime: s.startTimes[address], Pace: s.paces[address], KVCapacity: 100, KVUsed: s.used}, nil
}

// refusingHop returns a hop of a path that refuses requests.
func (s *fakeServers) refusingHop(path fleet.Path) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blaming[path[0].Address] {
		return path[len(path)-1].Address, true
	}
	for _, h := range path {
		if s.refusing[h.Address] {
			return h.Address, true
		}
	}
	return "", false
}

// refuseAll makes all engines refuse requests along a path, or accept them again.
func (s *fakeServers) refuseAll(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range 4 {
		s.refusing[fmt.Sprintf("e%d", i)] = refuse
	}
}

// setStartTime makes a server report another start time, as another incarnation does.
func (s *fakeServers) setStartTime(address string, startTime int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTimes[address] = startTime
}

// reportCount returns how often a server's report was requested.
func (s *fakeServers) reportCount(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportCalls[address]
}

func (s *fakeServers) markDead(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[address] = true
}

// revive undoes markDead.
func (s *fakeServers) revive(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[address] = false
}

// setSilent makes a server answer nothing, or answer again.
func (s *fakeServers) setSilent(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = silent
}

func (s *fakeServers) isSilent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

// markEnded makes a server's process end: its port refuses connections.
func (s *fakeServers) markEnded(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[address] = true
}

func (s *fakeServers) hasEnded(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[address]
}

func (s *fakeServers) sent() []backend.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]backend.Call(nil), s.calls...)
}

// signedAnswer returns a complete signed answer.
func signedAnswer(status int, body string) *backend.Answer {
	return &backend.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body)), Signed: true}
}

// writeEvents writes the events after the given one up to last, and ends the answer.
func writeEvents(out *io.PipeWriter, after string, last int) {
	from, _ := strconv.Atoi(after)
	for id := from + 1; id <= last; id++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %d\n\n", id, id); err != nil {
			return
		}
	}
	_ = out.Close()
}

// fakeReply records what a caller receives.
type fakeReply struct {
	status  int
	body    bytes.Buffer
	aborted bool
}

// WriteHeader implements gateway.Reply.
func (r *fakeReply) WriteHeader(status int, _ http.Header) { r.status = status }

// Write implements gateway.Reply.
func (r *fakeReply) Write(b []byte) error { _, err := r.body.Write(b); return err }

// Abort implements gateway.Reply.
func (r *fakeReply) Abort() { r.aborted = true }

// harness is a fake site with one gateway.
type harness struct {
	configs    *fakeFeed[*fleet.Config]
	serverFeed *fakeFeed[fleet.Server]
	servers    *fakeServers
	members    *memTable
	leases     *memTable
	gateway    *gateway.Gateway
	grace      time.Duration
	log        *telemetry.Log
	// Settings of the gateways that are started from now on.
	contention               gateway.Contention
	budgetRatio, budgetSlack float64
}

const eventuallyTimeout = 20 * time.Second

func newHarness() *harness { return newHarnessWithGrace(20 * time.Second) }

// newHarnessWithGrace returns a harness whose gateways take at most grace for a planned
// stop.
func newHarnessWithGrace(grace time.Duration) *harness {
	return newHarnessWithLog(grace, telemetry.Discard())
}

// newHarnessWithLog returns a harness whose gateways write to a log.
func newHarnessWithLog(grace time.Duration, log *telemetry.Log) *harness {
	h := &harness{log: log, grace: grace, budgetRatio: 0.2, budgetSlack: 100, configs: newFakeFeed[*fleet.Config](), serverFeed: newFakeFeed[fleet.Server](), members: newMemTable(), leases: newMemTable()}
	h.servers = &fakeServers{dead: make(map[string]bool), ended: make(map[string]bool), refusing: make(map[string]bool), blaming: make(map[string]bool), silent: make(map[string]bool), startTimes: make(map[string]int64), reportCalls: make(map[string]int), reportErr: make(map[string]error), serverFeed: h.serverFeed,
		paces: make(map[string]float64), limits: make(map[string]fleet.RateLimit), requestsAt: make(map[string][]time.Time),
		shedding: make(map[string]shedding), turnedAway: make(map[string][]time.Time), leaving: make(map[string]bool)}
	h.servers.stream = func(c backend.Call, out *io.PipeWriter) { writeEvents(out, c.LastEventID, 5) }
	h.servers.plain = func(backend.Call) (*backend.Answer, error) { return signedAnswer(http.StatusOK, "ok"), nil }
	h.gateway = h.start("g1")
	return h
}

// start runs one more gateway of the site.
func (h *harness) start(id state.DaemonID) *gateway.Gateway {
	return h.startAt(id, h.configs, h.serverFeed)
}

// startWith runs a gateway with its own path to the servers.
func (h *harness) startWith(id state.DaemonID, backends backend.Client) *gateway.Gateway {
	return h.startOn(id, h.configs, h.serverFeed, backends)
}

// startAt runs a gateway with its own connections to the site's feeds.
func (h *harness) startAt(id state.DaemonID, configs site.Feed[*fleet.Config], servers site.Feed[fleet.Server]) *gateway.Gateway {
	return h.startOn(id, configs, servers, h.servers)
}

func (h *harness) startOn(id state.DaemonID, configs site.Feed[*fleet.Config], servers site.Feed[fleet.Server], backends backend.Client) *gateway.Gateway {
	create := func() (*gateway.Gateway, error) {
		return gateway.New(gateway.Settings{
			ID: id, Domain: "a", CallerAddress: "front-" + string(id), PeerAddress: freeAddress(), DrainTimeout: h.grace,
			AddressTTL: 5 * time.Second, BudgetRatio: h.budgetRatio, BudgetWindow: 10 * time.Second, BudgetSlack: h.budgetSlack, Contention: h.contention,
		}, gateway.Site{Configs: configs, Servers: servers, Members: h.members, Leases: h.leases},
			backends, h.log, telemetry.NewMetrics())
	}
	g, err := create()
	for errors.Is(err, syscall.EADDRINUSE) { // another process has taken the free port meanwhile
		g, err = create()
	}
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

// config has a streaming route to engines of 8 layers, and two routes to plain servers.
func config(version uint64) *fleet.Config {
	return &fleet.Config{
		Version: version,
		Hosts: map[string][]fleet.Route{"h": {
			{Name: "stream", Prefix: "/stream/", Stream: true, Repeat: fleet.Resumable, MaxAttempts: 2, Target: time.Second, Gap: 200 * time.Millisecond, Split: []fleet.Share{{Service: "llm", Weight: 1}}},
			{Name: "again", Prefix: "/again/", Repeat: fleet.Idempotent, MaxAttempts: 2, Target: time.Second, Split: []fleet.Share{{Service: "app", Weight: 1}}},
			{Name: "once", Prefix: "/once/", Repeat: fleet.AtMostOnce, MaxAttempts: 2, Target: time.Second, Split: []fleet.Share{{Service: "app", Weight: 1}}},
		}},
		Services: map[state.ServiceID]fleet.Service{
			"llm": {ID: "llm", Engine: &fleet.Engine{
				Layers: 8, LayerMB: 1000, KVTokens: 10, TokenKB: 1, StepMS: 1,
				Kinds: map[string]fleet.AcceleratorKind{"card": {MemoryMB: 4500, Pace: 1}},
			}},
			"app": {ID: "app"},
		},
		Keys: map[string]fleet.Customer{"secret": {ID: "bank"}},
	}
}

// populate lists two plain servers and two chains of two engines. Engines e0 and e1 are
// the chain in domain a, e2 and e3 the one in domain b; the first engine of each chain
// has the lower half of the layers.
func (h *harness) populate() {
	for i := range 2 {
		id := fmt.Sprintf("p%d", i)
		h.serverFeed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
	}
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		from := 4 * (i % 2)
		h.serverFeed.set(id, fleet.Server{
			ID: state.BackendID(id), Service: "llm", Address: id, Kind: "card",
			Domain: state.FailureDomain(fmt.Sprint("ab"[i/2 : i/2+1])), Layers: fleet.Range{From: from, To: from + 4},
		})
	}
	h.configs.set("config", config(1))
	Eventually(h.gateway.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
}

func request(path string) *gateway.Request {
	return &gateway.Request{
		ID: "r1", Host: "h", Path: path, Target: path, Method: http.MethodPost, Header: http.Header{},
		Key: "secret", CallerTimeout: 10 * time.Second, PromptTokens: 2, MaxAnswerTokens: 2, Arrived: time.Now(),
	}
}

// serve sends a request through the gateway.
func (h *harness) serve(path string) (*fakeReply, gateway.Result) {
	got := &fakeReply{}
	res := h.gateway.Serve(context.Background(), request(path), got)
	return got, res
}

// serveAt sends a request as if it had arrived some time from now.
func (h *harness) serveAt(path string, in time.Duration) gateway.Result {
	req := request(path)
	req.Arrived = req.Arrived.Add(in)
	return h.gateway.Serve(context.Background(), req, &fakeReply{})
}

// serveFor sends a request whose caller waits for a given time.
func (h *harness) serveFor(path string, timeout time.Duration) gateway.Result {
	req := request(path)
	req.CallerTimeout = timeout
	return h.gateway.Serve(context.Background(), req, &fakeReply{})
}
