package daemon

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// endedFor is how long the answer of an ended request is kept for callers that
// come back for it.
const endedFor = time.Minute

// requests is the table of the requests that this daemon owns or ended lately.
type requests struct {
	mu   sync.Mutex
	live map[state.RequestID]*runner
	past map[state.RequestID]*answer
	idle chan struct{} // closed and replaced whenever live becomes empty
}

func newRequests() *requests {
	return &requests{
		live: make(map[state.RequestID]*runner),
		past: make(map[state.RequestID]*answer),
		idle: make(chan struct{}),
	}
}

func (t *requests) add(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[r.spec.ID] = r
}

// ended moves a request from live to the answers kept.
func (t *requests) ended(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live[r.spec.ID] == r {
		delete(t.live, r.spec.ID)
	}
	t.past[r.spec.ID] = r.answer
	if len(t.live) == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
	time.AfterFunc(endedFor, func() { t.forget(r.answer) })
}

func (t *requests) forget(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.past[a.id] == a {
		delete(t.past, a.id)
	}
}

// runner returns the live request of that id, or nil.
func (t *requests) runner(id state.RequestID) *runner {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live[id]
}

// answer returns the answer of a live or ended request, or nil.
func (t *requests) answer(id state.RequestID) *answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.live[id]; ok {
		return r.answer
	}
	return t.past[id]
}

// active counts the live requests and returns a channel that is closed when
// there are none left.
func (t *requests) active() (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.live), t.idle
}
