package daemon

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/client"
	router "github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// refusals is how many refusals as not run a caller takes for passing: daemons that
// have just started refuse until they hold their part of the customer's limit.
const refusals = 30

// call is one request whose answer is read in the background.
type call struct {
	prompt string
	class  state.ClassID

	mu      sync.Mutex
	tokens  []int64
	ending  caller.Ending // empty until the answer has ended
	streams int           // answers that began, refusals not counted
	err     error
}

func (c *call) token(t caller.TokenEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = append(c.tokens, t.Value)
}

func (c *call) ended(res client.Result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = res.End.Outcome
	c.err = err
}

func (c *call) now() (tokens []int64, ending caller.Ending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tokens), c.ending, c.err
}

func (s *Site) call(ts *testscript.TestScript, name string) *call {
	c, ok := s.calls[name]
	if !ok {
		ts.Fatalf("no request %s was sent", name)
	}
	return c
}

// submit NAME CLASS [KEY] sends a request, as a caller with the client would: it
// asks which daemons to use, and takes its answer up again where it breaks.
func submit(s *Site, ts *testscript.TestScript, args []string) {
	name := arg(ts, args, 0)
	key := name
	if len(args) > 2 {
		key = args[2]
	}
	c := &call{prompt: "work of " + key, class: state.ClassID(arg(ts, args, 1))}
	s.calls[name] = c
	seeds := lo.Map(s.Live(), func(d *router.Daemon, _ int) string { return "http://" + d.CallerAddress() })
	cl := client.New(client.Config{
		Seeds: seeds, Service: drafts, Customer: customer, MaxRefusals: refusals, HTTP: &http.Client{Transport: c},
	})
	go func() {
		req := client.Request{Class: c.class, Key: state.IdempotencyKey(key), Prompt: c.prompt}
		c.ended(cl.Do(s.ctx, req, c.token))
	}()
}

// await NAME tokens N waits for tokens; await NAME OUTCOME waits for the end, which
// must be that one.
func await(s *Site, ts *testscript.TestScript, args []string) {
	name, what := arg(ts, args, 0), arg(ts, args, 1)
	c := s.call(ts, name)
	if what == "tokens" {
		want := number(ts, arg(ts, args, 2))
		s.eventually(ts, name+" has tokens", func() bool {
			got, ending, _ := c.now()
			return len(got) >= want || ending != ""
		})
		return
	}
	s.eventually(ts, name+" has ended", func() bool {
		_, ending, _ := c.now()
		return ending != ""
	})
	if _, ending, err := c.now(); ending != caller.Ending(what) || err != nil {
		ts.Fatalf("%s ended %s, %v; want %s", name, ending, err, what)
	}
}

// checkWhole holds that the caller has every token of the right answer, once and in
// order.
func checkWhole(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	got, _, _ := c.now()
	if want := standin.ExpectedTokens(c.prompt, tokens); !slices.Equal(got, want) {
		ts.Fatalf("got %v, want %v", got, want)
	}
}

// RoundTrip implements http.RoundTripper: it counts the streams that begin.
func (c *call) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil && res.StatusCode == http.StatusOK && strings.HasPrefix(req.URL.Path, caller.PathRequests) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.streams++
	}
	return res, err
}

// checkUnbroken holds that one connection carried the whole answer.
func checkUnbroken(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams != 1 {
		ts.Fatalf("the answer took %d connections", c.streams)
	}
}

// checkRan holds how many attempts at a request's work truly began.
func checkRan(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	if got, want := s.Ledger.Runs(c.prompt), number(ts, arg(ts, args, 1)); got != want {
		ts.Fatalf("began %d times, want %d", got, want)
	}
}
