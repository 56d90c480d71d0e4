package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	protocol "github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

type note struct {
	N    int    `msgpack:"n"`
	Text string `msgpack:"t,omitempty"`
}

type ask struct {
	N int `msgpack:"n"`
}

type told struct {
	N int `msgpack:"n"`
}

func registry() *protocol.Registry {
	r := protocol.NewRegistry()
	protocol.Register[note](r, 1)
	protocol.Register[ask](r, 2)
	protocol.Register[told](r, 3)
	return r
}

// patience bounds the waits for conditions.
const patience = 20 * time.Second

// daemon is one node that records what it sees.
type daemon struct {
	*peer.Node
	address string
	scope   tally.TestScope

	mu       sync.Mutex
	notes    []int
	asked    []int
	lost     []error
	rejected []error
	hold     chan struct{} // calls wait for it, where set
}

func start(id string, change func(*peer.Config)) *daemon {
	GinkgoHelper()
	d := &daemon{scope: tally.NewTestScope("", nil)}
	cfg := peer.Config{
		Self:             state.Member{ID: state.DaemonID(id), Incarnation: 1},
		Registry:         registry(),
		Handler:          peer.Handler{HandleMessage: d.received, HandleCall: d.called},
		OnConnectionLost: func(_ string, err error) { d.note(func() { d.lost = append(d.lost, err) }) },
		OnInboundError:   func(_ net.Addr, err error) { d.note(func() { d.rejected = append(d.rejected, err) }) },
		Scope:            d.scope,
	}
	if change != nil {
		change(&cfg)
	}
	d.Node = peer.New(cfg)
	addr, err := d.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d.address = addr.String()
	DeferCleanup(d.Close)
	return d
}

func (d *daemon) note(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *daemon) received(_ state.Member, msg any) {
	d.note(func() { d.notes = append(d.notes, msg.(note).N) })
}

func (d *daemon) called(ctx context.Context, _ state.Member, msg any) (any, error) {
	n := msg.(ask).N
	var hold chan struct{}
	d.note(func() { d.asked = append(d.asked, n); hold = d.hold })
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if n < 0 {
		return nil, errors.New("negative")
	}
	return told{N: n}, nil
}

func (d *daemon) seen() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.notes...)
}

func (d *daemon) calls() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.asked...)
}

func (d *daemon) faults() []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]error{}, d.rejected...)
}

func (d *daemon) losses() []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]error{}, d.lost...)
}

func (d *daemon) count(name string) int64 {
	var sum int64
	for _, c := range d.scope.Snapshot().Counters() {
		if c.Name() == "peer_"+name+"_total" {
			sum += c.Value()
		}
	}
	return sum
}

// outcome is what a call in the background came to.
type outcome struct {
	answer peer.Answer
	err    error
}

func goCall(d *daemon, to string, n int) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		a, err := d.Call(context.Background(), to, ask{N: n})
		done <- outcome{a, err}
	}()
	return done
}

// quick makes silence show soon.
func quick(c *peer.Config) {
	c.ProbeAfter = 50 * time.Millisecond
	c.ProgressTimeout = 400 * time.Millisecond
	c.IdleProbeAfter = 100 * time.Millisecond
}

func proxy(to *daemon) *standin.Proxy {
	GinkgoHelper()
	p, err := standin.StartProxy(to.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

var _ = Describe("two daemons", func() {
	It("exchange messages in order, and calls with their answers", func() {
		a, b := start("a", nil), start("b", nil)
		want := make([]int, 500)
		for i := range want {
			want[i] = i
			Expect(a.Send(b.address, note{N: i})).To(Succeed())
		}
		Eventually(b.seen, patience).Should(Equal(want))
		r, err := a.Call(context.Background(), b.address, ask{N: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(peer.Answer{From: state.Member{ID: "b", Incarnation: 1}, Msg: told{N: 7}}))
		Expect(a.count("connections_opened")).To(BeEquivalentTo(1))
	})

	It("tell refusals, failures and ended contexts apart", func() {
		a, b := start("a", nil), start("b", func(c *peer.Config) { c.MaxCalls = 1 })
		_, err := a.Call(context.Background(), b.address, ask{N: -1})
		var failed *peer.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(peer.Unhandled(err)).To(BeFalse())

		b.note(func() { b.hold = make(chan struct{}) })
		first := goCall(a, b.address, 1)
		Eventually(b.calls, patience).Should(ContainElement(1))
		_, err = a.Call(context.Background(), b.address, ask{N: 2})
		var refused *peer.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(peer.Unhandled(err)).To(BeTrue())
		close(b.hold)
		Eventually(first, patience).Should(Receive(Equal(outcome{peer.Answer{
			From: state.Member{ID: "b", Incarnation: 1}, Msg: told{N: 1},
		}, nil})))

		b.note(func() { b.hold = make(chan struct{}) })
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			Eventually(b.calls, patience).Should(ContainElement(3))
			cancel()
		}()
		_, err = a.Call(ctx, b.address, ask{N: 3})
		Expect(err).To(MatchError(context.Canceled))
		Expect(peer.NotSent(err)).To(BeFalse())
	})

	It("prove what was not sent to an address that does not answer", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		a := start("a", nil)
		_, err = a.Call(context.Background(), address, ask{N: 1})
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(peer.NotSent(err)).To(BeTrue())
		_, err = a.Call(context.Background(), address, struct{}{})
		Expect(err).To(MatchError(peer.ErrUnregistered))

		b := start("b", nil)
		a.Close()
		Expect(a.Send(b.address, note{})).To(MatchError(peer.ErrNodeClosed))
	})

	It("drop the oldest messages of a full queue", func() {
		b := start("b", nil)
		gate := make(chan struct{})
		a := start("a", func(c *peer.Config) {
			c.MaxQueuedMessages = 4
			c.DialTimeout = patience
			c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				<-gate
				return new(net.Dialer).DialContext(ctx, "tcp", address)
			}
		})
		call := goCall(a, b.address, 1)
		Eventually(func() int64 { // until the call is the oldest in the queue
			Expect(a.Send(b.address, note{N: 99})).To(Succeed())
			return a.count("dropped")
		}, patience).Should(BeNumerically(">", 0))
		for i := range 10 {
			Expect(a.Send(b.address, note{N: i})).To(Succeed())
		}
		var o outcome
		Eventually(call, patience).Should(Receive(&o))
		Expect(o.err).To(MatchError(peer.ErrDropped))
		Expect(peer.NotSent(o.err)).To(BeTrue())
		close(gate)
		Eventually(b.seen, patience).Should(Equal([]int{6, 7, 8, 9}))
		Expect(b.calls()).To(BeEmpty())
	})
})

var _ = Describe("a silent connection", Label("failure:silent-connection"), func() {
	// A slot request between two daemons gets no answer: something between them
	// forgot their connection, and neither end is told. New connections work.
	// The caller of the transport must learn of it within a bound, without a
	// second run of the call; what was queued meanwhile must still go out.
	It("ends its calls unanswered and is replaced by one that works", func() {
		a, b := start("a", quick), start("b", nil)
		p := proxy(b)
		b.note(func() { b.hold = make(chan struct{}) })
		first := goCall(a, p.Address(), 1)
		Eventually(b.calls, patience).Should(Equal([]int{1}))
		p.SilenceConnections()
		second := goCall(a, p.Address(), 2)

		for _, c := range []<-chan outcome{first, second} {
			var o outcome
			Eventually(c, patience).Should(Receive(&o))
			Expect(o.err).To(MatchError(peer.ErrUnresponsive))
			Expect(peer.Unhandled(o.err)).To(BeFalse())
		}
		close(b.hold)
		r, err := a.Call(context.Background(), p.Address(), ask{N: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Msg).To(Equal(told{N: 3}))
		Expect(b.calls()).To(Equal([]int{1, 3}))
		Expect(a.losses()).To(HaveLen(1))
		Expect(a.losses()[0]).To(MatchError(peer.ErrUnresponsive))
		Expect(a.losses()[0]).NotTo(MatchError(peer.ErrUnreachable))
		Expect(a.count("silent_connections")).To(BeEquivalentTo(1))
	})

	// Membership messages have no answer. If their connection is forgotten while
	// idle, they would all vanish and a live daemon would be taken for dead.
	It("is noticed while nothing is sent", func() {
		a, b := start("a", quick), start("b", nil)
		p := proxy(b)
		Expect(a.Send(p.Address(), note{N: 1})).To(Succeed())
		Eventually(b.seen, patience).Should(Equal([]int{1}))
		p.SilenceConnections()
		Eventually(a.losses, patience).Should(HaveLen(1))
		Expect(a.Send(p.Address(), note{N: 2})).To(Succeed())
		Eventually(b.seen, patience).Should(Equal([]int{1, 2}))
	})

	// An address whose every connection swallows bytes can't be reached. Calls
	// must not wait for ever, nor may connections to it be made in a tight loop.
	It("that never answered counts as an address out of reach", func() {
		a, b := start("a", quick), start("b", nil)
		p := proxy(b)
		p.Swallow(standin.ToClient, true)
		_, err := a.Call(context.Background(), p.Address(), ask{N: 1})
		Expect(err).To(MatchError(peer.ErrUnresponsive))
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(peer.NotSent(err)).To(BeFalse())
		p.Swallow(standin.ToClient, false)
		Eventually(func() error {
			_, err := a.Call(context.Background(), p.Address(), ask{N: 2})
			return err
		}, patience).Should(Succeed())
	})

	// The peer's process vanished with its instance: no end of the connection
	// comes. The accepting side must not keep it for good.
	It("from a vanished peer is closed by the accepting side", func() {
		b := start("b", func(c *peer.Config) { c.InboundIdleTimeout = 100 * time.Millisecond })
		a := start("a", nil)
		p := proxy(b)
		Expect(a.Send(p.Address(), note{N: 1})).To(Succeed())
		Eventually(b.seen, patience).Should(Equal([]int{1}))
		p.SilenceConnections()
		Eventually(b.faults, patience).Should(HaveLen(1))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(1))
	})
})

// raw connects to d and writes b.
func raw(d *daemon, b ...[]byte) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", d.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	for _, part := range b {
		_, err = conn.Write(part)
		Expect(err).NotTo(HaveOccurred())
	}
	return conn
}

// closed waits for the end of conn.
func closed(conn net.Conn) {
	GinkgoHelper()
	Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "connection is still open")
}

var hello = frame(protocol.Envelope{Role: protocol.RoleHello},
	protocol.Hello{From: state.Member{ID: "x", Incarnation: 1}})

func frame(e protocol.Envelope, body any) []byte {
	b, err := protocol.AppendFrame(nil, e, body, protocol.MaxFrame)
	if err != nil {
		panic(err)
	}
	return b
}

// A daemon of another version, a broken one, or something that is no daemon at
// all connects and sends what can't be read. It must lose its connection and
// nothing more; other daemons' connections go on.
var _ = Describe("bad input from a peer", Label("failure:bad-frame"), func() {
	DescribeTable("ends its connection with a typed error and a counter",
		func(want protocol.Fault, parts ...[]byte) {
			a, b := start("a", nil), start("b", nil)
			Expect(a.Send(b.address, note{N: 1})).To(Succeed())
			Eventually(b.seen, patience).Should(Equal([]int{1}))
			closed(raw(b, parts...))
			Eventually(b.faults, patience).Should(HaveLen(1))
			f, ok := protocol.FaultOf(b.faults()[0])
			Expect(ok).To(BeTrue())
			Expect(f).To(Equal(want))
			Expect(b.count("frame_faults")).To(BeEquivalentTo(1))
			Expect(a.Send(b.address, note{N: 2})).To(Succeed())
			Eventually(b.seen, patience).Should(Equal([]int{1, 2}))
			Expect(a.count("connections_opened")).To(BeEquivalentTo(1))
		},
		Entry("oversized", protocol.FaultOversized, hello, []byte{0xff, 0, 0, 0}),
		Entry("HTTP", protocol.FaultOversized, []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("wrong version", protocol.FaultVersion, []byte{0, 0, 0, 2, 9, 0xc0}),
		Entry("bad msgpack", protocol.FaultMsgpack, hello, []byte{0, 0, 0, 3, 1, 0x95, 0xc1}),
		Entry("no hello", protocol.FaultRole, frame(protocol.Envelope{Role: protocol.RoleSend, Kind: 1}, note{})),
		Entry("an answer from the connecting side", protocol.FaultRole, hello,
			frame(protocol.Envelope{Role: protocol.RoleAnswer, Kind: 1}, note{})),
		Entry("unknown kind", protocol.FaultKind, hello, frame(protocol.Envelope{Role: protocol.RoleSend, Kind: 77}, note{})),
		Entry("hello of no one", protocol.FaultMsgpack, frame(protocol.Envelope{Role: protocol.RoleHello}, nil)),
	)

	It("that comes too slowly, or not at all, ends its connection", func() {
		b := start("b", func(c *peer.Config) {
			c.FrameTimeout = 50 * time.Millisecond
			c.HelloTimeout = 50 * time.Millisecond
		})
		closed(raw(b))
		closed(raw(b, hello[:7]))
		closed(raw(b, hello, hello[:7]))
		Eventually(b.faults, patience).Should(HaveLen(3))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(3))
	})

	It("in too many connections is refused", func() {
		b := start("b", func(c *peer.Config) { c.MaxInbound = 1 })
		a := start("a", nil)
		_, err := a.Call(context.Background(), b.address, ask{N: 1})
		Expect(err).NotTo(HaveOccurred())
		closed(raw(b, hello))
		Expect(b.count("inbound_refused")).To(BeEquivalentTo(1))
		_, err = a.Call(context.Background(), b.address, ask{N: 2})
		Expect(err).NotTo(HaveOccurred())
	})

	It("that asks and does not read loses its connection", func() {
		b := start("b", func(c *peer.Config) { c.MaxQueuedBytes = 1 << 10 })
		conn := raw(b, hello)
		call := frame(protocol.Envelope{Role: protocol.RoleCall, Kind: 2, Call: 1}, ask{N: 1})
		calls := bytes.Repeat(call, 100)
		ended := make(chan error, 1)
		go func() {
			for {
				if _, err := conn.Write(calls); err != nil {
					ended <- err
					return
				}
			}
		}()
		Eventually(ended, patience).Should(Receive())
		Eventually(b.faults, patience).Should(HaveLen(1))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(1))
	})
})
