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
	CallTime time.Duration // duration of one call; default 200 µs
	Slots    int           // concurrent calls; default 64
	Ledger   *Ledger       // shared by a site; nil creates one
}

const defaultPlainSlots = 64

// PlainServer is a stand-in of one plain service.
type PlainServer struct {
	*endpoint
	cfg   PlainConfig
	slots chan struct{}

	mu               sync.Mutex
	slowdown         float64
	crashOn          string
	running          int
	queued           int
	leavingSince     time.Time
	startsAfterLeave []time.Time
	restarts         int // number of restarts
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
	s := &PlainServer{endpoint: newEndpoint(), cfg: cfg, slots: make(chan struct{}, cfg.Slots), slowdown: 1}
	handle(s.endpoint, "POST "+engine.PathCall, writeCall, s.call)
	handle(s.endpoint, "GET "+engine.PathLoad, readCall, s.load)
	return s, s.listen()
}

// Restart restarts a killed service on its address.
func (s *PlainServer) Restart() error {
	s.mu.Lock()
	s.restarts++
	s.leavingSince = time.Time{}
	s.mu.Unlock()
	return s.listen()
}

// PlainAnswer returns the correct answer to a call with this body.
func PlainAnswer(body string) string {
	return "done: " + body
}

func (s *PlainServer) call(c engine.PlainCall) (engine.PlainResult, error) {
	s.addCounts(0, 1)
	s.slots <- struct{}{}
	s.addCounts(1, -1)
	defer func() {
		s.addCounts(-1, 0)
		<-s.slots
	}()
	if !s.awaitThaw() {
		return engine.PlainResult{}, errAborted
	}
	dead := s.deadChan()
	s.mu.Lock()
	duration := time.Duration(float64(s.cfg.CallTime) * s.slowdown)
	crash := s.crashOn != "" && strings.Contains(c.Body, s.crashOn)
	if !s.leavingSince.IsZero() {
		s.startsAfterLeave = append(s.startsAfterLeave, time.Now())
	}
	s.mu.Unlock()

	s.cfg.Ledger.recordStart(attemptID{c.Request, c.Attempt}, c.Body)
	if crash {
		s.cfg.Ledger.recordCrash(c.Body)
		s.Kill()
	}
	select {
	case <-dead:
		return engine.PlainResult{}, errAborted
	case <-time.After(duration):
		return engine.PlainResult{Status: engine.PlainDone, Body: PlainAnswer(c.Body)}, nil
	}
}

func (s *PlainServer) addCounts(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
}

func (s *PlainServer) load(struct{}) (engine.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Load{BootID: s.bootID(), Running: s.running, Queued: s.queued, Leaving: !s.leavingSince.IsZero()}, nil
}

// bootID returns the boot ID of the current process. The caller holds mu.
func (s *PlainServer) bootID() string {
	return fmt.Sprintf("%s#%d", s.cfg.ID, s.restarts)
}

// Slow makes every call take factor times as long.
func (s *PlainServer) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// CrashOn makes the service crash when it starts a call whose body contains part.
// "" disables it.
func (s *PlainServer) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = part
}

// Leave makes the service report that it is leaving.
func (s *PlainServer) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
}

// StartedAfterLeave returns the number of calls that started more than grace after
// Leave.
func (s *PlainServer) StartedAfterLeave(grace time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.startsAfterLeave {
		if at.Sub(s.leavingSince) > grace {
			n++
		}
	}
	return n
}

// ID returns the configured ID.
func (s *PlainServer) ID() state.BackendID { return s.cfg.ID }
