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

// maxRefusals is the number of refusals as not run that a caller retries: daemons that
// have just started refuse requests until they hold a share of the customer's limit.
const maxRefusals = 30

// call is one request whose answer is read in the background.
type call struct {
	prompt string
	class  state.ClassID

	mu      sync.Mutex
	tokens  []int64
	ending  caller.Ending // empty until the answer has ended
	streams int           // answers that started, not counting refusals
	err     error
}

func (c *call) onToken(t caller.TokenEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = append(c.tokens, t.Value)
}

func (c *call) onEnd(res client.Result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = res.End.Outcome
	c.err = err
}

func (c *call) snapshot() (tokens []int64, ending caller.Ending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tokens), c.ending, c.err
}

func (s *Site) call(ts *testscript.TestScript, name string) *call {
	c, ok := s.calls[name]
	if !ok {
		ts.Fatalf("request %s was not submitted", name)
	}
	return c
}

// submit NAME CLASS [KEY] sends a request with the client library, which looks up the
// daemons to use and re-attaches to the answer when the connection breaks.
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
		Seeds: seeds, Service: drafts, Customer: customer, MaxRefusals: maxRefusals, HTTP: &http.Client{Transport: c},
	})
	go func() {
		req := client.Request{Class: c.class, Key: state.IdempotencyKey(key), Prompt: c.prompt}
		c.onEnd(cl.Do(s.ctx, req, c.onToken))
	}()
}

// await NAME tokens N waits until N tokens were received; await NAME OUTCOME waits for
// the end of the request, which must have that outcome.
func await(s *Site, ts *testscript.TestScript, args []string) {
	name, what := arg(ts, args, 0), arg(ts, args, 1)
	c := s.call(ts, name)
	if what == "tokens" {
		want := parseCount(ts, arg(ts, args, 2))
		s.eventually(ts, name+" has tokens", func() bool {
			got, ending, _ := c.snapshot()
			return len(got) >= want || ending != ""
		})
		return
	}
	s.eventually(ts, name+" has ended", func() bool {
		_, ending, _ := c.snapshot()
		return ending != ""
	})
	if _, ending, err := c.snapshot(); ending != caller.Ending(what) || err != nil {
		ts.Fatalf("%s ended with outcome %s, error %v; want %s", name, ending, err, what)
	}
}

// checkComplete checks that the caller has every expected token, once and in order.
func checkComplete(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	got, _, _ := c.snapshot()
	if want := standin.ExpectedTokens(c.prompt, answerTokens); !slices.Equal(got, want) {
		ts.Fatalf("got tokens %v, want %v", got, want)
	}
}

// RoundTrip implements http.RoundTripper. It counts the streams that start.
func (c *call) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil && res.StatusCode == http.StatusOK && strings.HasPrefix(req.URL.Path, caller.PathRequests) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.streams++
	}
	return res, err
}

// checkSingleConnection checks that one connection carried the complete answer.
func checkSingleConnection(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams != 1 {
		ts.Fatalf("the answer used %d connections, want 1", c.streams)
	}
}

// checkRunCount checks the number of attempts that the engines started for a request.
func checkRunCount(s *Site, ts *testscript.TestScript, args []string) {
	c := s.call(ts, arg(ts, args, 0))
	if got, want := s.Ledger.Runs(c.prompt), parseCount(ts, arg(ts, args, 1)); got != want {
		ts.Fatalf("%d attempts started, want %d", got, want)
	}
}
