package httpcall_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/transport/httpcall"
)

const testTimeout = 30 * time.Second

// recorder is a server that records every call of which it received the first bytes,
// and closes connections at random.
type recorder struct {
	listener  net.Listener
	mu        sync.Mutex
	seen      map[string]bool
	dropConns atomic.Bool
}

func startRecorder() *recorder {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{listener: ln, seen: make(map[string]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	DeferCleanup(func() { _ = ln.Close() })
	return r
}

func (r *recorder) url(path string) string {
	return "http://" + r.listener.Addr().String() + path
}

// serve reads raw bytes, so that a call counts as seen as soon as its request line has
// arrived, which contains its path.
func (r *recorder) serve(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		var path string
		if _, err := fmt.Sscanf(string(buf[:n]), "POST %s", &path); err == nil {
			r.mu.Lock()
			r.seen[path] = true
			r.mu.Unlock()
		}
		if r.dropConns.Load() && rand.IntN(4) == 0 {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
			return
		}
	}
}

func (r *recorder) saw(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[path]
}

var _ = Describe("Caller", func() {
	// A caller receives "not run, try again" and sends its alert again, but the first
	// one runs too. This happens if a call is canceled between getting its connection
	// and its first byte, and the byte is still written after the call was reported as
	// not sent.
	It("reports a call as not sent only if it never reaches the server", func(ctx SpecContext) {
		server := startRecorder()
		server.dropConns.Store(true)
		caller := httpcall.New(httpcall.Options{ProgressTimeout: testTimeout, MaxIdle: 8})
		DeferCleanup(caller.Close)

		var reportedNotSent sync.Map
		var notSent, answered, unknown atomic.Int64
		var workers sync.WaitGroup
		for w := range 8 {
			workers.Go(func() {
				for i := range 500 {
					path := fmt.Sprintf("/%d-%d", w, i)
					_, err := caller.Do(cancelAtRandom(ctx), http.MethodPost, server.url(path), bytes.Repeat([]byte("x"), 200))
					switch {
					case err == nil:
						answered.Add(1)
					case errors.Is(err, httpcall.ErrNotSent):
						notSent.Add(1)
						reportedNotSent.Store(path, true)
					default:
						unknown.Add(1)
					}
				}
			})
		}
		workers.Wait()
		time.Sleep(50 * time.Millisecond) // for bytes still in flight
		reportedNotSent.Range(func(path, _ any) bool {
			Expect(server.saw(path.(string))).To(BeFalse(), "%s was reported as not sent", path)
			return true
		})
		Expect(notSent.Load()).To(BeNumerically(">", 0))
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(unknown.Load()).To(BeNumerically(">", 0))
	}, SpecTimeout(testTimeout))

	It("reports a call as not sent when the server refuses connections", func(ctx SpecContext) {
		server := startRecorder()
		Expect(server.listener.Close()).To(Succeed())
		caller := httpcall.New(httpcall.Options{})
		_, err := caller.Do(ctx, http.MethodPost, server.url("/"), nil)
		Expect(err).To(MatchError(httpcall.ErrNotSent))
	}, SpecTimeout(testTimeout))

	It("bounds the answer that it reads", func(ctx SpecContext) {
		server := startRecorder()
		caller := httpcall.New(httpcall.Options{MaxResponse: 1})
		DeferCleanup(caller.Close)
		_, err := caller.Do(ctx, http.MethodPost, server.url("/"), nil)
		Expect(err).To(MatchError(httpcall.ErrTooLong))
		Expect(err).NotTo(MatchError(httpcall.ErrNotSent))
	}, SpecTimeout(testTimeout))
})

// cancelAtRandom returns a context that may be canceled around the moment when its
// call gets a connection, which is when the first byte may or may not be sent.
func cancelAtRandom(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	switch rand.IntN(3) {
	case 0:
		time.AfterFunc(time.Duration(rand.IntN(200))*time.Microsecond, cancel)
	case 1:
		return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
	default:
		context.AfterFunc(ctx, cancel)
	}
	return ctx
}
