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
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	protocol "github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

type testMessage struct {
	N    int    `msgpack:"n"`
	Text string `msgpack:"t,omitempty"`
}

type testCall struct {
	N int `msgpack:"n"`
}

type testAnswer struct {
	N int `msgpack:"n"`
}

// slowAnswer calls a function before it is encoded, which is just before it is sent.
type slowAnswer struct {
	beforeEncoding func()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a slowAnswer) EncodeMsgpack(enc *msgpack.Encoder) error {
	a.beforeEncoding()
	return enc.EncodeMapLen(0)
}

func registry() *protocol.Registry {
	r := protocol.NewRegistry()
	protocol.Register[testMessage](r, 1)
	protocol.Register[testCall](r, 2)
	protocol.Register[testAnswer](r, 3)
	return r
}

// testTimeout bounds how long a spec waits for a condition.
const testTimeout = 20 * time.Second

// daemon is a Node that records what it receives and the errors that it reports.
type daemon struct {
	*peer.Node
	address string
	scope   tally.TestScope

	mu             sync.Mutex
	messages       []int
	callNumbers    []int
	lostErrors     []error
	rejectedErrors []error
	release        chan struct{} // if set, calls block until it is closed
}

func start(id string, change func(*peer.Config)) *daemon {
	GinkgoHelper()
	d := &daemon{scope: tally.NewTestScope("", nil)}
	cfg := peer.Config{
		Self:             state.Member{ID: state.DaemonID(id), Incarnation: 1},
		Registry:         registry(),
		Handler:          peer.Handler{HandleMessage: d.handleMessage, HandleCall: d.handleCall},
		OnConnectionLost: func(_ string, err error) { d.locked(func() { d.lostErrors = append(d.lostErrors, err) }) },
		OnInboundError:   func(_ net.Addr, err error) { d.locked(func() { d.rejectedErrors = append(d.rejectedErrors, err) }) },
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

func (d *daemon) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *daemon) handleMessage(_ state.Member, msg any) {
	d.locked(func() { d.messages = append(d.messages, msg.(testMessage).N) })
}

func (d *daemon) handleCall(ctx context.Context, _ state.Member, msg any) (any, error) {
	n := msg.(testCall).N
	var release chan struct{}
	d.locked(func() { d.callNumbers = append(d.callNumbers, n); release = d.release })
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if n < 0 {
		return nil, errors.New("negative")
	}
	return testAnswer{N: n}, nil
}

func (d *daemon) receivedMessages() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.messages...)
}

func (d *daemon) receivedCalls() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.callNumbers...)
}

func (d *daemon) inboundErrors() []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]error{}, d.rejectedErrors...)
}

func (d *daemon) lostConnections() []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]error{}, d.lostErrors...)
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

// outcome is the result of a call in the background.
type outcome struct {
	answer peer.Answer
	err    error
}

func startCall(d *daemon, to string, n int) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		a, err := d.Call(context.Background(), to, testCall{N: n})
		done <- outcome{a, err}
	}()
	return done
}

// shortTimeouts makes a Node detect unresponsive connections quickly.
func shortTimeouts(c *peer.Config) {
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
	It("deliver messages in order and answer calls", func() {
		a, b := start("a", nil), start("b", nil)
		want := make([]int, 500)
		for i := range want {
			want[i] = i
			Expect(a.Send(b.address, testMessage{N: i})).To(Succeed())
		}
		Eventually(b.receivedMessages, testTimeout).Should(Equal(want))
		r, err := a.Call(context.Background(), b.address, testCall{N: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(peer.Answer{From: state.Member{ID: "b", Incarnation: 1}, Msg: testAnswer{N: 7}}))
		Expect(a.count("connections_opened")).To(BeEquivalentTo(1))
	})

	It("distinguish refusals, failures and ended contexts", func() {
		a, b := start("a", nil), start("b", func(c *peer.Config) { c.MaxCalls = 1 })
		_, err := a.Call(context.Background(), b.address, testCall{N: -1})
		var failed *peer.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(peer.Unhandled(err)).To(BeFalse())

		b.locked(func() { b.release = make(chan struct{}) })
		first := startCall(a, b.address, 1)
		Eventually(b.receivedCalls, testTimeout).Should(ContainElement(1))
		_, err = a.Call(context.Background(), b.address, testCall{N: 2})
		var refused *peer.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(peer.Unhandled(err)).To(BeTrue())
		close(b.release)
		Eventually(first, testTimeout).Should(Receive(Equal(outcome{peer.Answer{
			From: state.Member{ID: "b", Incarnation: 1}, Msg: testAnswer{N: 1},
		}, nil})))

		b.locked(func() { b.release = make(chan struct{}) })
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			Eventually(b.receivedCalls, testTimeout).Should(ContainElement(3))
			cancel()
		}()
		_, err = a.Call(ctx, b.address, testCall{N: 3})
		Expect(err).To(MatchError(context.Canceled))
		Expect(peer.NotSent(err)).To(BeFalse())
	})

	// Guards against calls that are refused although their caller has the answer to the one before.
	It("accept the next call as soon as an answer is sent", Label("failure:next-call-refused"), func() {
		withSlowAnswers := func(c *peer.Config) {
			c.Registry = registry()
			protocol.Register[slowAnswer](c.Registry, 4)
		}
		a := start("a", withSlowAnswers)
		var b *daemon
		var second <-chan outcome
		refused := func() bool { return b.count("refused_calls") > 0 }
		answer := slowAnswer{beforeEncoding: func() {
			second = startCall(a, b.address, 2)
			Eventually(func() bool { return len(b.receivedCalls()) > 0 || refused() }, testTimeout).Should(BeTrue())
		}}
		b = start("b", func(c *peer.Config) {
			withSlowAnswers(c)
			c.MaxCalls = 1
			c.Handler.HandleCall = func(ctx context.Context, from state.Member, msg any) (any, error) {
				if msg.(testCall).N == 1 {
					return answer, nil
				}
				return b.handleCall(ctx, from, msg)
			}
		})
		_, err := a.Call(context.Background(), b.address, testCall{N: 1})
		Expect(err).NotTo(HaveOccurred())
		var got outcome
		Eventually(second, testTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
	})

	It("report messages to an unreachable address as not sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		a := start("a", nil)
		_, err = a.Call(context.Background(), address, testCall{N: 1})
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(peer.NotSent(err)).To(BeTrue())
		_, err = a.Call(context.Background(), address, struct{}{})
		Expect(err).To(MatchError(peer.ErrUnregistered))

		b := start("b", nil)
		a.Close()
		Expect(a.Send(b.address, testMessage{})).To(MatchError(peer.ErrNodeClosed))
	})

	It("drop the oldest messages of a full queue", func() {
		b := start("b", nil)
		dialGate := make(chan struct{})
		a := start("a", func(c *peer.Config) {
			c.MaxQueuedMessages = 4
			c.DialTimeout = testTimeout
			c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				<-dialGate
				return new(net.Dialer).DialContext(ctx, "tcp", address)
			}
		})
		call := startCall(a, b.address, 1)
		Eventually(func() int64 { // until the call is the oldest in the queue
			Expect(a.Send(b.address, testMessage{N: 99})).To(Succeed())
			return a.count("dropped")
		}, testTimeout).Should(BeNumerically(">", 0))
		for i := range 10 {
			Expect(a.Send(b.address, testMessage{N: i})).To(Succeed())
		}
		var o outcome
		Eventually(call, testTimeout).Should(Receive(&o))
		Expect(o.err).To(MatchError(peer.ErrDropped))
		Expect(peer.NotSent(o.err)).To(BeTrue())
		close(dialGate)
		Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{6, 7, 8, 9}))
		Expect(b.receivedCalls()).To(BeEmpty())
	})
})

var _ = Describe("an unresponsive connection", Label("failure:silent-connection"), func() {
	// A slot request between two daemons gets no answer because a middlebox dropped the
	// state of their connection. Neither end is notified, and new connections work. The
	// call must fail within a bounded time and must not run twice; messages queued
	// meanwhile must still be sent.
	It("fails its calls as unanswered and is replaced by one that works", func() {
		a, b := start("a", shortTimeouts), start("b", nil)
		p := proxy(b)
		// A connection that has never answered makes its address unreachable instead.
		_, err := a.Call(context.Background(), p.Address(), testCall{N: 0})
		Expect(err).NotTo(HaveOccurred())
		b.locked(func() { b.release = make(chan struct{}) })
		first := startCall(a, p.Address(), 1)
		Eventually(b.receivedCalls, testTimeout).Should(Equal([]int{0, 1}))
		p.BlackholeConnections()
		second := startCall(a, p.Address(), 2)

		for _, c := range []<-chan outcome{first, second} {
			var o outcome
			Eventually(c, testTimeout).Should(Receive(&o))
			Expect(o.err).To(MatchError(peer.ErrUnresponsive))
			Expect(peer.Unhandled(o.err)).To(BeFalse())
		}
		close(b.release)
		r, err := a.Call(context.Background(), p.Address(), testCall{N: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Msg).To(Equal(testAnswer{N: 3}))
		Expect(b.receivedCalls()).To(Equal([]int{0, 1, 3}))
		Expect(a.lostConnections()).To(HaveLen(1))
		Expect(a.lostConnections()[0]).To(MatchError(peer.ErrUnresponsive))
		Expect(a.lostConnections()[0]).NotTo(MatchError(peer.ErrUnreachable))
		Expect(a.count("silent_connections")).To(BeEquivalentTo(1))
	})

	// Membership messages have no answer. If the state of an idle connection is dropped
	// unnoticed, all of them are lost and a live daemon is considered dead.
	It("is detected while nothing is sent", func() {
		a, b := start("a", shortTimeouts), start("b", nil)
		p := proxy(b)
		Expect(a.Send(p.Address(), testMessage{N: 1})).To(Succeed())
		Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{1}))
		p.BlackholeConnections()
		Eventually(a.lostConnections, testTimeout).Should(HaveLen(1))
		Expect(a.Send(p.Address(), testMessage{N: 2})).To(Succeed())
		Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{1, 2}))
	})

	// An address is unreachable if every connection to it drops all bytes. Calls must not
	// wait forever, and connections to it must not be made in a tight loop.
	It("that never answered makes its address unreachable", func() {
		a, b := start("a", shortTimeouts), start("b", nil)
		p := proxy(b)
		p.Drop(standin.ToClient, true)
		_, err := a.Call(context.Background(), p.Address(), testCall{N: 1})
		Expect(err).To(MatchError(peer.ErrUnresponsive))
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(peer.NotSent(err)).To(BeFalse())
		p.Drop(standin.ToClient, false)
		Eventually(func() error {
			_, err := a.Call(context.Background(), p.Address(), testCall{N: 2})
			return err
		}, testTimeout).Should(Succeed())
	})

	// The peer's process ends with its instance, and the connection is never closed by
	// the peer. The accepting side must not keep it forever.
	It("from a peer that disappeared is closed by the accepting side", func() {
		b := start("b", func(c *peer.Config) { c.InboundIdleTimeout = 100 * time.Millisecond })
		a := start("a", nil)
		p := proxy(b)
		Expect(a.Send(p.Address(), testMessage{N: 1})).To(Succeed())
		Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{1}))
		p.BlackholeConnections()
		Eventually(b.inboundErrors, testTimeout).Should(HaveLen(1))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(1))
	})
})

// rawConn connects to d and writes b.
func rawConn(d *daemon, b ...[]byte) net.Conn {
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

// expectClosed waits until the other side closes conn.
func expectClosed(conn net.Conn) {
	GinkgoHelper()
	Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "connection is still open")
}

var helloFrame = frame(protocol.Envelope{Role: protocol.RoleHello},
	protocol.Hello{From: state.Member{ID: "x", Incarnation: 1}})

func frame(e protocol.Envelope, body any) []byte {
	b, err := protocol.AppendFrame(nil, e, body, protocol.MaxFrame)
	if err != nil {
		panic(err)
	}
	return b
}

// A daemon of another version, a faulty one, or another kind of client connects and
// sends bytes that can't be decoded. Only its own connection may be closed; those of
// other daemons must keep working.
var _ = Describe("invalid input from a peer", Label("failure:bad-frame"), func() {
	DescribeTable("ends its connection with a typed error and a counter",
		func(want protocol.Fault, parts ...[]byte) {
			a, b := start("a", nil), start("b", nil)
			Expect(a.Send(b.address, testMessage{N: 1})).To(Succeed())
			Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{1}))
			expectClosed(rawConn(b, parts...))
			Eventually(b.inboundErrors, testTimeout).Should(HaveLen(1))
			f, ok := protocol.FaultOf(b.inboundErrors()[0])
			Expect(ok).To(BeTrue())
			Expect(f).To(Equal(want))
			Expect(b.count("frame_faults")).To(BeEquivalentTo(1))
			Expect(a.Send(b.address, testMessage{N: 2})).To(Succeed())
			Eventually(b.receivedMessages, testTimeout).Should(Equal([]int{1, 2}))
			Expect(a.count("connections_opened")).To(BeEquivalentTo(1))
		},
		Entry("oversized", protocol.FaultOversized, helloFrame, []byte{0xff, 0, 0, 0}),
		Entry("HTTP", protocol.FaultOversized, []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("wrong version", protocol.FaultVersion, []byte{0, 0, 0, 2, 9, 0xc0}),
		Entry("bad msgpack", protocol.FaultMsgpack, helloFrame, []byte{0, 0, 0, 3, 1, 0x95, 0xc1}),
		Entry("no hello", protocol.FaultRole, frame(protocol.Envelope{Role: protocol.RoleSend, Kind: 1}, testMessage{})),
		Entry("an answer from the connecting side", protocol.FaultRole, helloFrame,
			frame(protocol.Envelope{Role: protocol.RoleAnswer, Kind: 1}, testMessage{})),
		Entry("unknown kind", protocol.FaultKind, helloFrame, frame(protocol.Envelope{Role: protocol.RoleSend, Kind: 77}, testMessage{})),
		Entry("hello without a sender", protocol.FaultMsgpack, frame(protocol.Envelope{Role: protocol.RoleHello}, nil)),
	)

	It("that arrives too slowly, or not at all, ends its connection", func() {
		b := start("b", func(c *peer.Config) {
			c.FrameTimeout = 50 * time.Millisecond
			c.HelloTimeout = 50 * time.Millisecond
		})
		expectClosed(rawConn(b))
		expectClosed(rawConn(b, helloFrame[:7]))
		expectClosed(rawConn(b, helloFrame, helloFrame[:7]))
		Eventually(b.inboundErrors, testTimeout).Should(HaveLen(3))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(3))
	})

	It("on a connection over the limit is refused", func() {
		b := start("b", func(c *peer.Config) { c.MaxInbound = 1 })
		a := start("a", nil)
		_, err := a.Call(context.Background(), b.address, testCall{N: 1})
		Expect(err).NotTo(HaveOccurred())
		expectClosed(rawConn(b, helloFrame))
		Expect(b.count("inbound_refused")).To(BeEquivalentTo(1))
		_, err = a.Call(context.Background(), b.address, testCall{N: 2})
		Expect(err).NotTo(HaveOccurred())
	})

	It("without reading the answers ends its connection", func() {
		b := start("b", func(c *peer.Config) { c.MaxQueuedBytes = 1 << 10 })
		conn := rawConn(b, helloFrame)
		call := frame(protocol.Envelope{Role: protocol.RoleCall, Kind: 2, Call: 1}, testCall{N: 1})
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
		Eventually(ended, testTimeout).Should(Receive())
		Eventually(b.inboundErrors, testTimeout).Should(HaveLen(1))
		Expect(b.count("inbound_slow")).To(BeEquivalentTo(1))
	})
})
