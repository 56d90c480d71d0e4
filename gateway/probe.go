package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// probeWait is how long a server may take to answer a probe. A live one needs
	// a round trip and no slot: about a millisecond.
	probeWait = 25 * time.Millisecond
	// probeFresh is how long the result of a probe stands for other streams: longer
	// ones find a death later, shorter ones cost a probe for each slow stream.
	probeFresh = 250 * time.Millisecond
	// probeRate and probeBurst bound the probes of one daemon, which the site pays
	// for: a death has about ten suspects, and a site that is slow as a whole none.
	probeRate  = 20 // a second
	probeBurst = 40
	// reprobeEvery is how often a dead server is probed again, or less often where many daemons
	// do so.
	reprobeEvery = 500 * time.Millisecond
	// reprobesMost is how many such probes a second a server gets from all daemons together.
	reprobesMost = 100
	// reprobeFor is how long: a server that stays dead leaves the list sooner.
	reprobeFor = 15 * time.Second
)

// probeLate is how long a probe may take beyond probeWait before its failure says
// nothing: this process did not run meanwhile.
const probeLate = 30 * time.Millisecond

// prober finds out whether servers are alive by asking them for their report.
// Streams that fall silent together share its probes.
type prober struct {
	g     *Gateway
	group singleflight.Group
	limit *rate.Limiter

	mu   sync.Mutex
	last map[string]probed // by address
}

// probeNames are the results of probes in counters.
var probeNames = map[bool]string{true: "alive", false: "dead"}

// probed is the result of one probe. took and err say why a server counts as dead.
type probed struct {
	at    time.Time
	alive bool
	took  time.Duration
	err   error
}

func newProber(g *Gateway) *prober {
	return &prober{g: g, limit: rate.NewLimiter(probeRate, probeBurst), last: make(map[string]probed)}
}

// alive reports whether a server answers.
func (p *prober) alive(server state.Life, address string) bool { return p.probe(server, address).alive }

// probe asks a server for its report, unless that was done a moment ago.
func (p *prober) probe(server state.Life, address string) probed {
	p.mu.Lock()
	old, ok := p.last[address]
	p.mu.Unlock()
	if ok && old.fresh() {
		return old
	}
	result, _, _ := p.group.Do(address, func() (any, error) {
		if !p.limit.Allow() {
			return probed{alive: true}, nil
		}
		return p.ask(server, address), nil
	})
	return result.(probed)
}

// ask sends one probe and keeps its result.
func (p *prober) ask(server state.Life, address string) probed {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	report, err := p.g.backends.Report(ctx, address)
	if err == nil {
		p.g.metLife(server, address, report.Born)
	}
	out := probed{at: time.Now(), took: time.Since(began), err: err}
	out.alive = err == nil || out.took > probeWait+probeLate
	p.g.metrics.CountReason(telemetry.GatewayProbesTotal, probeNames[out.alive])
	p.mu.Lock()
	maps.DeleteFunc(p.last, func(_ string, old probed) bool { return !old.fresh() }) // addresses come and go
	p.last[address] = out
	p.mu.Unlock()
	return out
}

// fresh reports whether the result still stands.
func (r probed) fresh() bool { return time.Since(r.at) < probeFresh }

// check probes all hops at once. Those that do not answer are avoided until they do,
// and the streams that cross them are told.
func (p *prober) check(hops []fleet.Hop) {
	results := make([]probed, len(hops))
	var all sync.WaitGroup
	for i, h := range hops {
		all.Go(func() { results[i] = p.probe(h.Server, h.Address) })
	}
	all.Wait()
	// One live server proves that this daemon is not cut off itself.
	lives := func(r probed) bool { return r.alive }
	if !slices.ContainsFunc(results, lives) && len(hops) > 1 {
		return
	}
	for i, h := range hops {
		if results[i].alive {
			continue
		}
		p.bury(h, results[i])
		for _, s := range p.g.book.crossing(h.Address) {
			s.hopDied(h)
		}
	}
}

// bury has a dead server avoided, and probes it until it answers again.
func (p *prober) bury(h fleet.Hop, why probed) {
	if !p.g.book.bury(h.Address) {
		return
	}
	p.g.log.Emit(telemetry.EventBackendDead, telemetry.Backend(h.Server.ID), telemetry.Address(h.Address),
		telemetry.Took(why.took), telemetry.Cause(why.err))
	go func() {
		until := time.Now().Add(reprobeFor)
		for time.Now().Before(until) {
			select {
			case <-p.g.done:
				return
			case <-time.After(reprobeAfter(p.g.current.Load().live)):
			}
			if p.alive(h.Server, h.Address) {
				break
			}
		}
		p.g.book.raise(h.Address)
		p.g.log.Emit(telemetry.EventBackendRecovered, telemetry.Backend(h.Server.ID), telemetry.Address(h.Address))
	}()
}

// reprobeAfter is after what time each of some daemons probes a dead server again.
//
// Guard (probes-kept-alone): each daemon that had streams across it probes a server that comes
// back. Were each to do so as often as one may, hundreds would meet it with as many probes as
// it takes requests, while it starts.
func reprobeAfter(daemons int) time.Duration {
	return max(reprobeEvery, time.Duration(daemons)*time.Second/reprobesMost)
}
