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

// servers is a fake of all backend servers.
type servers struct {
	mu     sync.Mutex
	calls  []backend.Call
	orders []backend.Order
	dead   map[string]bool            // by address
	used   int64                      // of 100, what every server's report says
	refuse map[string]bool            // by address: they run no request along a path
	born   map[string]int64           // of servers that are another life than listed, by address
	asked  map[string]int             // reports that were asked for, by address
	limits map[string]fleet.RateLimit // that servers name, by address
	sentAt map[string][]time.Time     // when servers got requests, by address
	// plain and stream answer calls; a stream writes events with increasing ids.
	plain  func(c backend.Call) (*backend.Answer, error)
	stream func(c backend.Call, out *io.PipeWriter)
	listed *feed[fleet.Server]
}

// Send implements backend.Client.
func (s *servers) Send(ctx context.Context, c backend.Call) (*backend.Answer, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.sentAt[c.Address] = append(s.sentAt[c.Address], time.Now())
	dead, limit := s.dead[c.Address], s.limits[c.Address]
	s.mu.Unlock()
	if dead {
		return nil, errors.Join(backend.ErrNotSent, errors.New("connection refused"))
	}
	if c.Path == nil {
		a, err := s.plain(c)
		if err == nil {
			a.Limit = limit
		}
		return a, err
	}
	if culprit, ok := s.refuses(c.Path); ok {
		a := answer(http.StatusServiceUnavailable, "")
		a.NotRun, a.Culprit = true, culprit
		return a, nil
	}
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(backend.ErrBroken) })
	go s.stream(c, w)
	return &backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r, Signed: true, Limit: limit}, nil
}

// limit has a server name a limit of requests a second in its answers.
func (s *servers) limit(address string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[address] = fleet.RateLimit{Named: true, PerSecond: perSecond}
}

// unlimit has a server name no limit any more.
func (s *servers) unlimit(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.limits, address)
}

// gotAt is when a server got requests.
func (s *servers) gotAt(address string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.sentAt[address]...)
}

// Order implements backend.Client: the engine lists its layers at once.
func (s *servers) Order(_ context.Context, o backend.Order) (backend.OrderAnswer, error) {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	s.listed.mu.Lock()
	srv := s.listed.rows[string(o.Server)]
	s.listed.mu.Unlock()
	srv.Layers = o.Layers
	s.listed.set(string(o.Server), srv)
	return backend.OrderAnswer{Result: backend.OrderBegun}, nil
}

// Report implements backend.Client.
func (s *servers) Report(ctx context.Context, address string) (backend.Report, error) {
	s.mu.Lock()
	dead := s.dead[address]
	s.asked[address]++
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return backend.Report{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.Report{Born: s.born[address], Room: 100, Used: s.used}, nil
}

// refuses finds a hop of a path that runs no request.
func (s *servers) refuses(path fleet.Path) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range path {
		if s.refuse[h.Address] {
			return h.Address, true
		}
	}
	return "", false
}

// refuseAll has all engines run no request along a path, or run them again.
func (s *servers) refuseAll(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range 4 {
		s.refuse[fmt.Sprintf("e%d", i)] = refuse
	}
}

// reborn has a server say that it is another life.
func (s *servers) reborn(address string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born[address] = born
}

// reported counts the reports that a server was asked for.
func (s *servers) reported(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[address]
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
func (r *reply) WriteHeader(status int, _ http.Header) { r.status = status }

// Write implements gateway.Reply.
func (r *reply) Write(b []byte) error { _, err := r.body.Write(b); return err }

// Cut implements gateway.Reply.
func (r *reply) Abort() { r.cut = true }

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
	r.servers = &servers{dead: make(map[string]bool), refuse: make(map[string]bool), born: make(map[string]int64), asked: make(map[string]int), listed: r.listed,
		limits: make(map[string]fleet.RateLimit), sentAt: make(map[string][]time.Time)}
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
		ID: id, Domain: "a", CallerAddress: "front-" + string(id), PeerAddress: freeAddress(), DrainTimeout: r.grace,
		AddressTTL: 5 * time.Second, BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: 100,
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
		Key: "secret", CallerTimeout: 10 * time.Second, PromptTokens: 2, MaxAnswerTokens: 2, Arrived: time.Now(),
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
