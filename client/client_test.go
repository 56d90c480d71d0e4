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

// answerTokens is the number of tokens in every complete answer.
const answerTokens = 8

// fault is the failure of one connection to a fake server.
type fault int

const (
	truncated      fault = iota // closes after some tokens
	stalled                     // stays open but sends nothing after some tokens
	noResponse                  // stays open without any response
	skipsToken                  // omits a token
	repeatsTokens               // sends tokens again that the caller already has
	earlyEnd                    // reports completion before all tokens were sent
	unknownRequest              // does not know the request's ID
	draining                    // refuses as not run
	serverError                 // answers 500 without a problem document
	numFaults
)

// fakeServer simulates two daemons: each connection has the next fault of the list,
// and works once the list is empty.
type fakeServer struct {
	*httptest.Server
	mu     sync.Mutex
	faults []fault
	keys   map[string]bool
	done   chan struct{}
}

func newFakeServer(faults []fault) *fakeServer {
	s := &fakeServer{faults: faults, keys: make(map[string]bool), done: make(chan struct{})}
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

func (s *fakeServer) close() {
	close(s.done)
	s.Close()
}

// nextFault removes and returns the next fault. ok is false when none is left.
func (s *fakeServer) nextFault(r *http.Request) (f fault, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		s.keys[r.Header.Get(caller.KeyHeader)] = true
	}
	if len(s.faults) == 0 {
		return 0, false
	}
	f, s.faults = s.faults[0], s.faults[1:]
	if (f == unknownRequest) == (r.Method == http.MethodPost) && (f == unknownRequest || f == draining) {
		return truncated, true // the fault does not apply to this method
	}
	return f, true
}

func refuse(w http.ResponseWriter, status int, reason state.Reason, e state.Execution) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(caller.Problem{Status: status, Reason: reason, Execution: e})
}

func (s *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	after := -1
	if text := r.Header.Get(caller.LastEventHeader); text != "" {
		after, _ = strconv.Atoi(text)
	}
	f, faulty := s.nextFault(r)
	switch {
	case faulty && f == noResponse:
		s.hang(r)
		return
	case faulty && f == unknownRequest:
		refuse(w, http.StatusNotFound, state.ReasonUnknownRequest, state.ExecutionUnknown)
		return
	case faulty && f == draining:
		refuse(w, http.StatusServiceUnavailable, state.ReasonDraining, state.ExecutionNotRun)
		return
	case faulty && f == serverError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(caller.RequestHeader, "r1")
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, after, f, faulty)
}

// hang keeps a connection open until its client disconnects.
func (s *fakeServer) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
}

func (s *fakeServer) stream(w http.ResponseWriter, r *http.Request, after int, f fault, faulty bool) {
	first, last := after+1, answerTokens
	if faulty {
		last = min(first+3, answerTokens)
	}
	if faulty && f == repeatsTokens {
		first = max(0, after-2)
	}
	fmt.Fprintf(w, "event: accepted\ndata: {\"request\":\"r1\"}\n\n: keep-alive\n\n")
	for i := first; i < last; i++ {
		if faulty && f == skipsToken && i == first+1 {
			continue
		}
		fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"index\":%d,\"value\":%d,\"text\":\"t\"}\n\n", i, i, 100+i)
	}
	_ = http.NewResponseController(w).Flush()
	switch {
	case !faulty:
		fmt.Fprintf(w, "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":%d}\n\n", answerTokens)
	case f == earlyEnd:
		fmt.Fprintf(w, "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":%d}\n\n", last+1)
	case f == stalled:
		s.hang(r)
	}
}

func config(url string) client.Config {
	return client.Config{
		Seeds: []string{url}, Service: "notes", Customer: "kochi", ProgressTimeout: 100 * time.Millisecond, MaxRefusals: 100, RetryDelay: 2 * time.Millisecond,
	}
}

var _ = Describe("a request of the client", func() {
	// Guards against lost or repeated tokens, and against a second run of the request,
	// when connections are truncated, stall, or repeat or omit tokens in any order. The
	// caller must get each token once, in order, under a single idempotency key.
	It("delivers the complete answer exactly once across any faults", Label("failure:daemon-dies-mid-stream", "failure:silent-connection"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
				return fault(rapid.IntRange(0, int(numFaults)-1).Draw(t, "fault"))
			}), 0, 6).Draw(t, "script")
			slow := 0
			for i, f := range script {
				if f == stalled || f == noResponse {
					slow++
				}
				if slow > 1 { // each takes a full ProgressTimeout
					script = script[:i]
					break
				}
			}
			s := newFakeServer(script)
			defer s.close()
			var got []int64
			c := client.New(config(s.URL))
			r, err := c.Do(context.Background(), client.Request{Class: "check", Prompt: "p"},
				func(tok caller.TokenEvent) { got = append(got, tok.Value) })
			if err != nil {
				t.Fatal(err)
			}
			if r.End != (caller.EndEvent{Outcome: caller.EndCompleted, Tokens: answerTokens}) || r.Request != "r1" {
				t.Fatalf("%+v", r)
			}
			for i, v := range got {
				if v != int64(100+i) {
					t.Fatalf("tokens %v", got)
				}
			}
			if len(got) != answerTokens || len(s.keys) != 1 || s.keys[""] {
				t.Fatalf("tokens %v, keys %v", got, s.keys)
			}
		})
	})

	It("returns a final outcome and gives up when no daemon responds", func() {
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

	// The daemon that accepted a request fails while the request waits for a slot,
	// before the first token. The client has the request's ID from the keep-alives and
	// must resume the answer at another daemon instead of submitting it again.
	It("is resumed at another daemon before its first token", Label("failure:daemon-dies-mid-stream"), func() {
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

// twoDaemons serves one request through two front ends. The request gets its token
// once a caller attaches to it.
type twoDaemons struct {
	caller.Daemon
	addresses []string
	ready     chan struct{} // closed once a keep-alive was sent
	attached  chan struct{}
}

func (d *twoDaemons) Addresses(context.Context, caller.AddressQuery) caller.AddressAnswer {
	return caller.AddressAnswer{Addresses: d.addresses, TTL: time.Minute}
}

func (d *twoDaemons) Submit(context.Context, caller.Submission) (caller.Stream, state.Outcome) {
	return &waitingStream{d: d}, nil
}

func (d *twoDaemons) Attach(context.Context, state.RequestID, int) (caller.Stream, state.Outcome) {
	close(d.attached)
	return &waitingStream{d: d, nextCalls: 2}, nil
}

// waitingStream is a stream of one token, sent once a caller has attached.
type waitingStream struct {
	d         *twoDaemons
	nextCalls int
	sent      bool
}

func (w *waitingStream) ID() state.RequestID { return "r2" }
func (w *waitingStream) Close()              {}

func (w *waitingStream) Next(ctx context.Context) (caller.Item, error) {
	if w.sent {
		return caller.Item{Outcome: state.Completed{Tokens: 1}}, nil
	}
	if w.nextCalls++; w.nextCalls == 2 {
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
