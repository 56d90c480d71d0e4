package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// PlainConfig describes one plain service.
type PlainConfig struct {
	ID       state.BackendID
	CallTime time.Duration // of one call; default 200 µs
	Slots    int           // calls at one time; default 64
	Ledger   *Ledger       // shared by a site; nil keeps its own
}

const defaultPlainSlots = 64

// PlainServer is a stand-in of one plain service.
type PlainServer struct {
	*endpoint
	cfg   PlainConfig
	slots chan struct{}

	mu      sync.Mutex
	slow    float64
	crashOn string
	running int
	queued  int
	left    time.Time
	late    []time.Time
	lives   int // restarts so far
}

// StartPlain starts a plain service on a loopback port.
func StartPlain(cfg PlainConfig) (*PlainServer, error) {
	if cfg.CallTime <= 0 {
		cfg.CallTime = DefaultStepTime
	}
	if cfg.Slots <= 0 {
		cfg.Slots = defaultPlainSlots
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	s := &PlainServer{endpoint: newEndpoint(), cfg: cfg, slots: make(chan struct{}, cfg.Slots), slow: 1}
	handle(s.endpoint, "POST "+engine.PathCall, changing, s.call)
	handle(s.endpoint, "GET "+engine.PathLoad, reading, s.load)
	return s, s.listen()
}

// Restart starts a killed service again on its address.
func (s *PlainServer) Restart() error {
	s.mu.Lock()
	s.lives++
	s.left = time.Time{}
	s.mu.Unlock()
	return s.listen()
}

// PlainAnswer is the right answer to a call with this body.
func PlainAnswer(body string) string {
	return "done: " + body
}

func (s *PlainServer) call(c engine.PlainCall) (engine.PlainResult, error) {
	s.count(0, 1)
	s.slots <- struct{}{}
	s.count(1, -1)
	defer func() {
		s.count(-1, 0)
		<-s.slots
	}()
	if !s.awaitThaw() {
		return engine.PlainResult{}, errAborted
	}
	dead := s.died()
	s.mu.Lock()
	took := time.Duration(float64(s.cfg.CallTime) * s.slow)
	crash := s.crashOn != "" && strings.Contains(c.Body, s.crashOn)
	if !s.left.IsZero() {
		s.late = append(s.late, time.Now())
	}
	s.mu.Unlock()

	s.cfg.Ledger.begin(attemptID{c.Request, c.Attempt}, c.Body)
	if crash {
		s.cfg.Ledger.crashed(c.Body)
		s.Kill()
	}
	select {
	case <-dead:
		return engine.PlainResult{}, errAborted
	case <-time.After(took):
		return engine.PlainResult{Status: engine.PlainDone, Body: PlainAnswer(c.Body)}, nil
	}
}

func (s *PlainServer) count(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
}

func (s *PlainServer) load(struct{}) (engine.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Load{BootID: s.life(), Running: s.running, Queued: s.queued, Leaving: !s.left.IsZero()}, nil
}

// life names the present life of the process. The caller holds mu.
func (s *PlainServer) life() string {
	return fmt.Sprintf("%s#%d", s.cfg.ID, s.lives)
}

// Slow makes every call take factor times as long.
func (s *PlainServer) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// CrashOn makes the service die when it begins a body that contains part; ""
// ends it.
func (s *PlainServer) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = part
}

// Leave makes the service report that it is leaving.
func (s *PlainServer) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left.IsZero() {
		s.left = time.Now()
	}
}

// NewAfterLeave counts the calls that began later than grace after Leave.
func (s *PlainServer) StartedAfterLeave(grace time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.late {
		if at.Sub(s.left) > grace {
			n++
		}
	}
	return n
}

// ID is the configured name.
func (s *PlainServer) ID() state.BackendID { return s.cfg.ID }
