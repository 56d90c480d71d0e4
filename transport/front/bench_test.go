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

// tokenStream yields n tokens without delay, then the end.
type tokenStream struct{ next, n int }

func (s *tokenStream) ID() state.RequestID { return "r1" }
func (s *tokenStream) Close()              {}

func (s *tokenStream) Next(context.Context) (caller.Item, error) {
	if s.next == s.n {
		return caller.Item{Outcome: state.Completed{Tokens: s.n}}, nil
	}
	t := &caller.Token{Index: s.next, Value: 31337, Text: " delivered"}
	s.next++
	return caller.Item{Token: t}, nil
}

// benchDaemon answers every request with a stream of tokens.
type benchDaemon struct {
	*fakeDaemon
	tokens int
}

func (d benchDaemon) Submit(context.Context, caller.Submission) (caller.Stream, state.Outcome) {
	return &tokenStream{n: d.tokens}, nil
}

// discardWriter is a response writer that discards its output.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

func post(url string) *http.Request {
	r := httptest.NewRequest("POST", url+"/v1/requests", strings.NewReader(validBody))
	r.RequestURI = ""
	return r
}

// BenchmarkTokenEncode measures the front's own work per token, without a socket.
func BenchmarkTokenEncode(b *testing.B) {
	h := front.New(benchDaemon{newFakeDaemon(), b.N}, front.Options{})
	b.ReportAllocs()
	h.ServeHTTP(discardWriter{http.Header{}}, post("http://x"))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkTokenLoopback measures tokens over a loopback connection, each flushed
// separately, with the reading caller in the same process.
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
