package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// cutMode is how a gateway's connections to servers fail.
type cutMode int32

// The values of cutMode.
const (
	notCut     cutMode = iota
	cutSilent          // new connections hang
	cutReset           // new connections are reset
	cutEndless         // new connections hang until the call is canceled
)

// cuttableServers is one gateway's path to the fake servers.
type cuttableServers struct {
	*fakeServers
	mode atomic.Int32
	// only is the first letter of the servers that are cut off, or empty for all: p for plain
	// servers, e for engines.
	only atomic.Value
	// refusals is how many new connections are reset although the path is not cut.
	refusals atomic.Int64
	// late is how many new connections fail only after lateDial, as when the process does not run.
	late  atomic.Int64
	sends atomic.Int64 // calls of Send
}

// lateDial is longer than a check waits for a connection.
const lateDial = 300 * time.Millisecond

func (s *cuttableServers) set(mode cutMode) { s.mode.Store(int32(mode)) }

// setFor cuts the servers whose address begins with a letter.
func (s *cuttableServers) setFor(mode cutMode, only string) {
	s.only.Store(only)
	s.set(mode)
}

// connectTimeout is how long the transport tries to connect.
const connectTimeout = 1200 * time.Millisecond

var errReset = errors.New("connection reset by peer")

// dial fails while the path is cut.
func (s *cuttableServers) dial(ctx context.Context, address string) error {
	if s.late.Add(-1) >= 0 {
		time.Sleep(lateDial)
		return errors.Join(backend.ErrNotSent, errReset)
	}
	if s.refusals.Add(-1) >= 0 {
		return errors.Join(backend.ErrNotSent, errReset)
	}
	if only, ok := s.only.Load().(string); ok && !strings.HasPrefix(address, only) {
		return nil
	}
	switch cutMode(s.mode.Load()) {
	case cutEndless:
		<-ctx.Done()
		return errors.Join(backend.ErrNotSent, ctx.Err())
	case cutSilent:
		select {
		case <-ctx.Done():
			return errors.Join(backend.ErrNotSent, ctx.Err())
		case <-time.After(connectTimeout):
			return errors.Join(backend.ErrNotSent, errors.New("i/o timeout"))
		}
	case cutReset:
		return errors.Join(backend.ErrNotSent, errReset)
	default:
		return nil
	}
}

// Send implements backend.Client.
func (s *cuttableServers) Send(ctx context.Context, c backend.Call) (*backend.Answer, error) {
	s.sends.Add(1)
	if err := s.dial(ctx, c.Address); err != nil {
		return nil, err
	}
	return s.fakeServers.Send(ctx, c)
}

// Connect implements backend.Client.
func (s *cuttableServers) Connect(ctx context.Context, address string) error {
	if err := s.dial(ctx, address); err != nil {
		return err
	}
	return s.fakeServers.Connect(ctx, address)
}

// Report implements backend.Client.
func (s *cuttableServers) Report(ctx context.Context, address string) (backend.Report, error) {
	if err := s.dial(ctx, address); err != nil {
		return backend.Report{}, err
	}
	return s.fakeServers.Report(ctx, address)
}

// cuttableSite is gateways that can each be cut off from all servers.
type cuttableSite struct {
	*harness
	gateways map[string]*gateway.Gateway // by the address for callers
	paths    []*cuttableServers
}

func newCuttableSite(gateways int) *cuttableSite {
	s := &cuttableSite{harness: newHarness(), gateways: make(map[string]*gateway.Gateway)}
	s.gateway.Close()
	for i := range gateways {
		path := &cuttableServers{fakeServers: s.servers}
		s.add(i, path)
	}
	s.gateway = s.gateways["front-c0"]
	s.populate()
	for _, g := range s.gateways {
		Eventually(func() []string { list, _ := g.Addresses("a"); return list }).WithTimeout(eventuallyTimeout).Should(HaveLen(gateways))
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Eventually(listedServers).WithArguments(g).WithTimeout(eventuallyTimeout).Should(Equal(populatedServers))
	}
	return s
}

// populatedServers is how many servers populate lists.
const populatedServers = 6

// listedServers returns how many servers a gateway knows. It is ready before it knows those that are
// listed later.
func listedServers(g *gateway.Gateway) int {
	status, err := g.Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, svc := range status.Services {
		n += len(svc.Servers)
	}
	return n
}

// add starts a gateway with its path to the servers.
func (s *cuttableSite) add(i int, path *cuttableServers) {
	id := state.DaemonID(fmt.Sprintf("c%d", i))
	s.gateways["front-"+string(id)] = s.startWith(id, path)
	s.paths = append(s.paths, path)
}

// cut cuts the first n gateways off from all servers.
func (s *cuttableSite) cut(n int, mode cutMode) {
	for _, p := range s.paths[:n] {
		p.set(mode)
	}
}

func (s *cuttableSite) isCut(address string) bool {
	var i int
	_, err := fmt.Sscanf(address, "front-c%d", &i)
	Expect(err).NotTo(HaveOccurred())
	return cutMode(s.paths[i].mode.Load()) != notCut
}

// firstTries counts callers' first attempts, by whether their gateway was cut off.
type firstTries struct {
	mu           sync.Mutex
	sent, served map[bool]int
}

// record counts one attempt.
func (f *firstTries) record(cut, served bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[cut]++
	if served {
		f.served[cut]++
	}
}

// servedFarWorse reports whether gateways that were cut off served first attempts less than two
// thirds as often as the others, and more than 10 and one in 50 of all failed there.
func (f *firstTries) servedFarWorse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := f.sent[true] - f.served[true]
	lessOften := f.served[true]*f.sent[false]*3 < f.served[false]*f.sent[true]*2
	return lessOften && failed > 10+(f.sent[true]+f.sent[false])/50
}

// call makes a caller send requests until ctx ends. It keeps each address answer for keep, uses
// the addresses at random, and leaves out those that have failed it since.
func (s *cuttableSite) call(ctx context.Context, keep time.Duration, count func(cut, served bool)) {
	addresses := slices.Sorted(func(yield func(string) bool) {
		for a := range s.gateways {
			if !yield(a) {
				return
			}
		}
	})
	var list []string
	var asked time.Time
	failed := make(map[string]bool)
	for ctx.Err() == nil {
		if time.Since(asked) > keep {
			list, _ = s.gateways[addresses[rand.IntN(len(addresses))]].Addresses("a")
			asked = time.Now()
			clear(failed)
		}
		usable := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return failed[a] })
		if len(usable) == 0 {
			asked = time.Time{}
			continue
		}
		address := usable[rand.IntN(len(usable))]
		cut := s.isCut(address)
		req := request([]string{"/again/", "/stream/", "/once/"}[rand.IntN(3)])
		req.CallerTimeout = 2 * time.Second
		result := s.gateways[address].Serve(ctx, req, &fakeReply{})
		served := result.Outcome == gateway.Answered
		if ctx.Err() == nil {
			count(cut, served)
		}
		failed[address] = !served
		time.Sleep(time.Duration(50+rand.IntN(50)) * time.Millisecond)
	}
}

// Guards against daemons that keep callers' requests although they have lost their links to all
// servers, which other daemons reach.
var _ = Describe("Gateways that are cut off from all servers", func() {
	DescribeTable("lose callers few first attempts", Label("failure:gateway-cut-off-from-servers"),
		func(mode cutMode) {
			s := newCuttableSite(6)
			ctx, cancel := context.WithCancel(context.Background())
			var counting atomic.Bool
			tries := firstTries{sent: make(map[bool]int), served: make(map[bool]int)}
			var callers sync.WaitGroup
			for i := range 40 {
				keep := 2 * time.Second // as the answers allow
				if i%4 == 0 {
					keep *= 3
				}
				callers.Go(func() {
					s.call(ctx, keep, func(cut, served bool) {
						if counting.Load() {
							tries.record(cut, served)
						}
					})
				})
			}
			time.Sleep(time.Second)
			s.cut(4, mode)
			time.Sleep(3 * time.Second) // until they count as stable again
			counting.Store(true)
			time.Sleep(4 * time.Second)
			cancel()
			callers.Wait()
			GinkgoWriter.Println("sent", tries.sent, "served", tries.served)
			Expect(tries.servedFarWorse()).To(BeFalse())
		},
		Entry("if new connections hang", cutSilent),
		Entry("if new connections are reset", cutReset),
	)

	// named returns the addresses that a gateway names to callers.
	named := func(s *cuttableSite, address string) []string {
		list, _ := s.gateways[address].Addresses("a")
		return list
	}

	It("are named to callers again once they reach servers", Label("failure:gateway-cut-off-from-servers"), func() {
		s := newCuttableSite(3)
		s.cut(1, cutReset)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go s.call(ctx, 100*time.Millisecond, func(bool, bool) {})
		for address := range s.gateways {
			Eventually(named).WithArguments(s, address).WithTimeout(eventuallyTimeout).Should(ConsistOf("front-c1", "front-c2"))
		}
		Expect(s.gateways["front-c0"].CutOff()).To(BeTrue())
		began := time.Now()
		result := s.gateways["front-c0"].Serve(context.Background(), request("/once/"), &fakeReply{})
		Expect(result.Outcome).To(Equal(gateway.Refused))
		Expect(result.Reason).To(Equal("cut_off"))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		s.cut(1, notCut)
		for address := range s.gateways {
			Eventually(named).WithArguments(s, address).WithTimeout(2 * time.Second).Should(HaveLen(3))
		}
	})

	// Guards against gateways that blame their own links for servers that are gone for everyone.
	It("stay named to callers if no gateway reaches the servers", Label("failure:gateway-cut-off-from-servers"), func() {
		s := newCuttableSite(3)
		s.cut(3, cutReset)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for range 5 {
			go s.call(ctx, 100*time.Millisecond, func(bool, bool) {})
		}
		Consistently(func(g Gomega) {
			for address, gw := range s.gateways {
				g.Expect(named(s, address)).To(HaveLen(3))
				g.Expect(gw.CutOff()).To(BeFalse())
				g.Expect(gw.Ready()).To(BeTrue())
			}
		}).WithTimeout(3 * time.Second).Should(Succeed())
	})
})
