package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
)

// PlatformCounts counts the calls since the start, including those whose response was
// lost.
type PlatformCounts struct {
	Commits   int // transactions applied
	Conflicts int // transactions rejected by a condition
	Puts      int // objects written
	Reads     int // rows, scans and objects read
	Lists     int // instance lists read
	Refused   int // calls rejected by a rate limit
	Dropped   int // calls dropped while down
}

// Platform is a stand-in of the table service, the object store and the
// instance list, on one port.
type Platform struct {
	*endpoint

	mu         sync.Mutex
	tables     tables
	objects    map[string][]byte
	instances  instanceHistory
	down       bool
	delay      time.Duration
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
	counts     PlatformCounts
}

// StartPlatform starts a platform without rate limits on a loopback port.
func StartPlatform() (*Platform, error) {
	p := &Platform{
		endpoint:   newEndpoint(),
		tables:     make(tables),
		objects:    make(map[string][]byte),
		writeLimit: rate.NewLimiter(rate.Inf, 0),
		readLimit:  rate.NewLimiter(rate.Inf, 0),
	}
	p.routes()
	return p, p.listen()
}

func (p *Platform) routes() {
	p.route("POST "+platform.PathTxn, writeCall, p.commit)
	p.route("GET "+platform.PathRows+"/{table}/{key}", readCall, p.get)
	p.route("GET "+platform.PathRows+"/{table}", readCall, p.scan)
	p.route("PUT "+platform.PathObjects+"/{name}", writeCall, p.put)
	p.route("GET "+platform.PathObjects+"/{name}", readCall, p.object)
	p.route("GET "+platform.PathInstances, readCall, p.list)
}

// route registers run for pattern with the platform's injected failures. Half of the
// delay comes before the call takes effect and half after it, so that a caller that
// times out meets both cases.
func (p *Platform) route(pattern string, kind callKind, run func(r *http.Request, body []byte) (any, error)) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, kind, func(body []byte) (any, error) {
			slow, err := p.admit(kind)
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

func (p *Platform) admit(kind callKind) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		p.counts.Dropped++
		return 0, errAborted
	}
	limit := p.readLimit
	if kind == writeCall {
		limit = p.writeLimit
	}
	if !limit.Allow() {
		p.counts.Refused++
		return 0, &statusError{http.StatusTooManyRequests, "rate limit"}
	}
	return p.delay, nil
}

// Down makes every call end without a response and without effect while on.
func (p *Platform) Down(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
}

// Slow makes every call take d.
func (p *Platform) Slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Limit rejects writes and reads above the given rates per second with status 429.
// 0 means no limit.
func (p *Platform) Limit(writes, reads float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeLimit = limiter(writes)
	p.readLimit = limiter(reads)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
