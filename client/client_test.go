package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// total is the number of tokens of every answer.
const total = 8

// fault is what one connection of a site does.
type fault int

const (
	cut       fault = iota // ends after some tokens
	silent                 // stays open without a byte after some tokens
	mute                   // stays open without any answer
	skipping               // leaves a token out
	repeating              // sends tokens that the caller has
	shortEnd               // ends as completed too early
	forgotten              // does not know the request's id
	draining               // refuses as not run
	broken                 // answers 500 without a problem document
	faults
)

// site plays daemons whose connections fail in turn, then work.
type site struct {
	*httptest.Server
	mu     sync.Mutex
	script []fault
	keys   map[string]bool
	done   chan struct{}
}

func newSite(script []fault) *site {
	s := &site{script: script, keys: make(map[string]bool), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+caller.PathAddresses, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(caller.AddressesBody{
			Addresses: []string{s.URL, s.URL + "/b"}, ValidFor: service.Duration(time.Minute),
		})
	})
	for _, prefix := range []string{"", "/b"} {
		mux.HandleFunc("POST "+prefix+caller.PathRequests, s.serve)
		mux.HandleFunc("GET "+prefix+caller.PathRequests+"/r1"+caller.PathEvents, s.serve)
	}
	s.Server = httptest.NewServer(mux)
	return s
}

func (s *site) close() {
	close(s.done)
	s.Close()
}

// next takes the next fault; none is left when ok is false.
func (s *site) next(r *http.Request) (f fault, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		s.keys[r.Header.Get(caller.KeyHeader)] = true
	}
	if len(s.script) == 0 {
		return 0, false
	}
	f, s.script = s.script[0], s.script[1:]
	if (f == forgotten) == (r.Method == http.MethodPost) && (f == forgotten || f == draining) {
		return cut, true // makes no sense here
	}
	return f, true
}

func refuse(w http.ResponseWriter, status int, reason state.Reason, e state.Execution) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(caller.Problem{Status: status, Reason: reason, Execution: e})
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	after := -1
	if text := r.Header.Get(caller.LastEventHeader); text != "" {
		after, _ = strconv.Atoi(text)
	}
	f, faulty := s.next(r)
	switch {
	case faulty && f == mute:
		s.hang(r)
		return
	case faulty && f == forgotten:
		refuse(w, http.StatusNotFound, state.ReasonUnknownRequest, state.ExecutionUnknown)
		return
	case faulty && f == draining:
		refuse(w, http.StatusServiceUnavailable, state.ReasonDraining, state.ExecutionNotRun)
		return
	case faulty && f == broken:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(caller.RequestHeader, "r1")
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, after, f, faulty)
}

// hang keeps a connection open until its client leaves.
func (s *site) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
}

func (s *site) stream(w http.ResponseWriter, r *http.Request, after int, f fault, faulty bool) {
	first, last := after+1, total
	if faulty {
		last = min(first+3, total)
	}
	if faulty && f == repeating {
		first = max(0, after-2)
	}
	fmt.Fprintf(w, "event: accepted\ndata: {\"request\":\"r1\"}\n\n: keep-alive\n\n")
	for i := first; i < last; i++ {
		if faulty && f == skipping && i == first+1 {
			continue
		}
		fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"index\":%d,\"value\":%d,\"text\":\"t\"}\n\n", i, i, 100+i)
	}
	_ = http.NewResponseController(w).Flush()
	switch {
	case !faulty:
		fmt.Fprintf(w, "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":%d}\n\n", total)
	case f == shortEnd:
		fmt.Fprintf(w, "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":%d}\n\n", last+1)
	case f == silent:
		s.hang(r)
	}
}

func config(url string) client.Config {
	return client.Config{
		Seeds: []string{url}, Service: "notes", Customer: "kochi", ProgressTimeout: 100 * time.Millisecond, MaxRefusals: 100, RetryDelay: 2 * time.Millisecond,
	}
}

var _ = Describe("a request of the client", func() {
	// Daemons die and connections end, fall silent, or bring tokens twice, one
	// after the other. The caller must get each token once, in order, and the
	// daemons must only ever see one idempotency key.
	It("brings the whole answer once, through any faults", Label("failure:daemon-dies-mid-stream", "failure:silent-connection"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
				return fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault"))
			}), 0, 6).Draw(t, "script")
			slow := 0
			for i, f := range script {
				if f == silent || f == mute {
					slow++
				}
				if slow > 1 { // each costs the time of Progress
					script = script[:i]
					break
				}
			}
			s := newSite(script)
			defer s.close()
			var got []int64
			c := client.New(config(s.URL))
			r, err := c.Do(context.Background(), client.Request{Class: "check", Prompt: "p"},
				func(tok caller.TokenEvent) { got = append(got, tok.Value) })
			if err != nil {
				t.Fatal(err)
			}
			if r.End != (caller.EndEvent{Outcome: caller.EndCompleted, Tokens: total}) || r.Request != "r1" {
				t.Fatalf("%+v", r)
			}
			for i, v := range got {
				if v != int64(100+i) {
					t.Fatalf("tokens %v", got)
				}
			}
			if len(got) != total || len(s.keys) != 1 || s.keys[""] {
				t.Fatalf("tokens %v, keys %v", got, s.keys)
			}
		})
	})

	It("returns what is final and gives up on what never works", func() {
		for _, c := range []struct {
			reason    state.Reason
			execution state.Execution
			want      caller.Ending
		}{
			{state.ReasonBadRequest, state.ExecutionNotRun, caller.EndRefused},
			{state.ReasonDuplicate, state.ExecutionUnknown, caller.EndUnknown},
			{state.ReasonBackendFailed, state.ExecutionStarted, caller.EndFailed},
		} {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == caller.PathAddresses {
					fmt.Fprintf(w, `{"addresses":["http://%s"],"valid_for":"1m"}`, r.Host)
					return
				}
				refuse(w, 409, c.reason, c.execution)
			})
			s := httptest.NewServer(h)
			DeferCleanup(s.Close)
			r, err := client.New(config(s.URL)).Do(context.Background(), client.Request{}, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.End).To(Equal(caller.EndEvent{Outcome: c.want, Reason: c.reason, Execution: c.execution}))
			Expect(r.Attempts).To(Equal(1))
		}
		cfg := config("http://127.0.0.1:1")
		cfg.MaxAttempts = 2
		r, err := client.New(cfg).Do(context.Background(), client.Request{}, nil)
		Expect(err).To(MatchError(client.ErrGaveUp))
		Expect(r.End.Outcome).To(Equal(caller.EndUnknown))
	})

	// The daemon that took a request dies while it waits for a slot, before the
	// first token. The caller knows its id from the signs of life and takes the
	// answer up at another daemon.
	It("is taken up at another daemon before its first token", Label("failure:daemon-dies-mid-stream"), func() {
		d := &twoDaemons{ready: make(chan struct{}), attached: make(chan struct{})}
		first := httptest.NewServer(front.New(d, front.Options{KeepAlive: 20 * time.Millisecond}))
		second := httptest.NewServer(front.New(d, front.Options{KeepAlive: 20 * time.Millisecond}))
		DeferCleanup(second.Close)
		d.addresses = []string{first.URL, second.URL}
		cfg := config(second.URL)
		cfg.ProgressTimeout = 10 * time.Second
		done := make(chan client.Result, 1)
		go func() {
			defer GinkgoRecover()
			r, err := client.New(cfg).Do(context.Background(), client.Request{Class: "check", Key: "k"}, nil)
			Expect(err).NotTo(HaveOccurred())
			done <- r
		}()
		Eventually(d.ready, 20*time.Second).Should(BeClosed())
		first.CloseClientConnections()
		Eventually(d.attached, 20*time.Second).Should(BeClosed())
		var r client.Result
		Eventually(done, 20*time.Second).Should(Receive(&r))
		Expect(r.End).To(Equal(caller.EndEvent{Outcome: caller.EndCompleted, Tokens: 1}))
		first.Close()
	})
})

// twoDaemons is one request at two fronts: it waits until it is attached to.
type twoDaemons struct {
	caller.Daemon
	addresses []string
	ready     chan struct{} // closed once a sign of life was sent
	attached  chan struct{}
}

func (d *twoDaemons) Addresses(context.Context, caller.AddressQuery) caller.AddressAnswer {
	return caller.AddressAnswer{Addresses: d.addresses, TTL: time.Minute}
}

func (d *twoDaemons) Submit(context.Context, caller.Submission) (caller.Stream, state.Outcome) {
	return &waiting{d: d}, nil
}

func (d *twoDaemons) Attach(context.Context, state.RequestID, int) (caller.Stream, state.Outcome) {
	close(d.attached)
	return &waiting{d: d, waits: 2}, nil
}

// waiting is a stream of one token that comes once the request is attached to.
type waiting struct {
	d     *twoDaemons
	waits int
	sent  bool
}

func (w *waiting) ID() state.RequestID { return "r2" }
func (w *waiting) Close()              {}

func (w *waiting) Next(ctx context.Context) (caller.Item, error) {
	if w.sent {
		return caller.Item{Outcome: state.Completed{Tokens: 1}}, nil
	}
	if w.waits++; w.waits == 2 {
		close(w.d.ready)
	}
	select {
	case <-w.d.attached:
		w.sent = true
		return caller.Item{Token: &caller.Token{}}, nil
	case <-ctx.Done():
		return caller.Item{}, ctx.Err()
	}
}
