package front_test

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// endless gives n tokens at once, then the end.
type endless struct{ next, n int }

func (e *endless) ID() state.RequestID { return "r1" }
func (e *endless) Close()              {}

func (e *endless) Next(context.Context) (caller.Item, error) {
	if e.next == e.n {
		return caller.Item{Outcome: state.Completed{Tokens: e.n}}, nil
	}
	t := &caller.Token{Index: e.next, Value: 31337, Text: " delivered"}
	e.next++
	return caller.Item{Token: t}, nil
}

// benchDaemon answers every request with an endless stream.
type benchDaemon struct {
	*fakeDaemon
	tokens int
}

func (d benchDaemon) Submit(context.Context, caller.Submission) (caller.Stream, state.Outcome) {
	return &endless{n: d.tokens}, nil
}

// discard is a connection that costs nothing.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

func post(url string) *http.Request {
	r := httptest.NewRequest("POST", url+"/v1/requests", strings.NewReader(goodBody))
	r.RequestURI = ""
	return r
}

// BenchmarkTokenEncode is the front's own work for a token, without a socket.
func BenchmarkTokenEncode(b *testing.B) {
	h := front.New(benchDaemon{newFakeDaemon(), b.N}, front.Options{})
	b.ReportAllocs()
	h.ServeHTTP(discard{http.Header{}}, post("http://x"))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkTokenLoopback is a token over a real connection, each flushed alone,
// with the reading caller in the same process.
func BenchmarkTokenLoopback(b *testing.B) {
	s := httptest.NewServer(front.New(benchDaemon{newFakeDaemon(), b.N}, front.Options{}))
	defer s.Close()
	resp, err := http.DefaultClient.Do(post(s.URL))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	bytes := 0
	for lines.Scan() {
		bytes += len(lines.Bytes()) + 1
	}
	if lines.Err() != nil {
		b.Fatal(lines.Err())
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/token")
}
