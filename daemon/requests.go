package daemon

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// answerTTL is how long the answer of an ended request is kept for callers that
// re-attach.
const answerTTL = time.Minute

// requests is the table of the requests that this daemon owns or has ended
// recently.
type requests struct {
	mu       sync.Mutex
	live     map[state.RequestID]*runner
	retained map[state.RequestID]*answer
	idle     chan struct{} // closed and replaced whenever live becomes empty

	// byKey holds the answers of never-repeat requests by idempotency key, for
	// repeats that arrive at the same daemon.
	byKey map[claims.Key]keyedAnswer
}

// keyedAnswer is the answer under one idempotency key.
type keyedAnswer struct {
	contentDigest string
	answer        *answer
}

func newRequests() *requests {
	return &requests{
		live:     make(map[state.RequestID]*runner),
		retained: make(map[state.RequestID]*answer),
		idle:     make(chan struct{}),
		byKey:    make(map[claims.Key]keyedAnswer),
	}
}

func (t *requests) add(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[r.spec.ID] = r
	if r.spec.NeverRepeat {
		t.byKey[keyOf(r.spec)] = keyedAnswer{contentDigest: r.contentDigest, answer: r.answer}
	}
}

// repeated returns the answer under a never-repeat request's key if it is still
// running or complete. For one that ended incomplete, the claim row decides
// what a repeat may do.
func (t *requests) repeated(spec request.Spec) (keyedAnswer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.byKey[keyOf(spec)]
	if !ok {
		return k, false
	}
	_, outcome, _ := k.answer.after(0)
	_, completed := outcome.(state.Completed)
	return k, outcome == nil || completed
}

// attach adds an answer whose request this daemon does not own. If there
// already is one, that is returned.
func (t *requests) attach(a *answer) *answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.live[a.id]; ok {
		return r.answer
	}
	if old, ok := t.retained[a.id]; ok {
		return old
	}
	t.retained[a.id] = a
	time.AfterFunc(answerTTL, func() { t.forget(a) })
	return a
}

// abandon stops every request without an outcome, as the loss of the instance
// would.
func (t *requests) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.live {
		r.cancel()
	}
}

// ended moves a request from live to the retained answers.
func (t *requests) ended(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live[r.spec.ID] == r {
		delete(t.live, r.spec.ID)
	}
	t.retained[r.spec.ID] = r.answer
	if len(t.live) == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
	time.AfterFunc(answerTTL, func() { t.forget(r.answer) })
}

func (t *requests) forget(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, outcome, _ := a.after(0); outcome == nil {
		time.AfterFunc(answerTTL, func() { t.forget(a) })
		return // still running
	}
	if t.retained[a.id] == a {
		delete(t.retained, a.id)
	}
	for key, k := range t.byKey {
		if k.answer == a {
			delete(t.byKey, key)
		}
	}
}

// runner returns the live request with that ID, or nil.
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
	return t.retained[id]
}

// active returns the number of live requests and a channel that is closed when
// there are none left.
func (t *requests) active() (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.live), t.idle
}

func (t *requests) count() int {
	n, _ := t.active()
	return n
}
