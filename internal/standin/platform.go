package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
)

// PlatformCounts are calls since the start, refused and unanswered ones
// included where it is not said otherwise.
type PlatformCounts struct {
	Commits   int // transactions applied
	Conflicts int // transactions refused by a condition
	Puts      int // objects written
	Reads     int // rows and scans and objects read
	Lists     int // instance lists read
	Refused   int // by a rate limit
	Dropped   int // while down
}

// Platform is a stand-in of the table service, the object store and the
// instance list, on one port.
type Platform struct {
	*endpoint

	mu        sync.Mutex
	tables    tables
	objects   map[string][]byte
	instances instanceHistory
	down      bool
	slow      time.Duration
	writes    *rate.Limiter
	reads     *rate.Limiter
	counts    PlatformCounts
}

// StartPlatform starts a platform without rate limits on a loopback port.
func StartPlatform() (*Platform, error) {
	p := &Platform{
		endpoint: newEndpoint(),
		tables:   make(tables),
		objects:  make(map[string][]byte),
		writes:   rate.NewLimiter(rate.Inf, 0),
		reads:    rate.NewLimiter(rate.Inf, 0),
	}
	p.routes()
	return p, p.listen()
}

func (p *Platform) routes() {
	p.route("POST "+platform.PathTxn, changing, p.commit)
	p.route("GET "+platform.PathRows+"/{table}/{key}", reading, p.get)
	p.route("GET "+platform.PathRows+"/{table}", reading, p.scan)
	p.route("PUT "+platform.PathObjects+"/{name}", changing, p.put)
	p.route("GET "+platform.PathObjects+"/{name}", reading, p.object)
	p.route("GET "+platform.PathInstances, reading, p.list)
}

// route adds the platform's own failures around run: half of the slowness comes
// before the call takes effect and half after it, so that a caller that has
// given up meets both cases.
func (p *Platform) route(pattern string, kind callKind, run func(r *http.Request, body []byte) (any, error)) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, kind, func(body []byte) (any, error) {
			slow, err := p.gate(kind)
			if err != nil {
				_, _ = io.Copy(io.Discard, r.Body)
				return nil, err
			}
			time.Sleep(slow / 2)
			out, err := run(r, body)
			time.Sleep(slow - slow/2)
			return out, err
		})
	})
}

func (p *Platform) gate(kind callKind) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		p.counts.Dropped++
		return 0, errAborted
	}
	limit := p.reads
	if kind == changing {
		limit = p.writes
	}
	if !limit.Allow() {
		p.counts.Refused++
		return 0, &statusError{http.StatusTooManyRequests, "rate limit"}
	}
	return p.slow, nil
}

// Down makes every call end without an answer and without effect.
func (p *Platform) Down(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
}

// Slow makes every call take d.
func (p *Platform) Slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Limit refuses writes and reads above a rate a second with status 429; 0 is no
// limit.
func (p *Platform) Limit(writes, reads float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = limiter(writes)
	p.reads = limiter(reads)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
