package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/transport/exchange"
)

// FuzzAnswer sends arbitrary bytes as a server's answer. A body that ends without an
// error must have the announced length, an answer to another request or with a broken
// head must never be returned, and the call must end.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nmore"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"))
	f.Add([]byte("HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	answers := make(chan []byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = c.Write(<-answers)
			_ = c.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, b []byte) {
		pool := exchange.NewPool()
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		answers <- b
		resp, err := pool.Do(ctx, exchange.Request{
			Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Header: http.Header{"Host": {"h"}},
			ID: "r", IDHeader: "X-Id",
		})
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if id := resp.Header.Get("X-Id"); id != "" && id != "r" {
			t.Fatalf("received the answer to request %q", id)
		}
		if resp.Status < 200 || resp.Status > 599 {
			t.Fatalf("received status %d", resp.Status)
		}
		for name := range resp.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
				t.Fatalf("received the field %q", name)
			}
		}
		body, err := io.ReadAll(resp.Body)
		if ctx.Err() != nil {
			t.Fatal("the call did not end within 5 s")
		}
		if err != nil {
			return
		}
		if announced, convErr := strconv.Atoi(resp.Header.Get("Content-Length")); convErr == nil && announced != len(body) &&
			resp.Header.Get("Transfer-Encoding") == "" && resp.Status >= 200 && resp.Status != 204 && resp.Status != 304 {
			t.Fatalf("body ended without an error after %d bytes of %d", len(body), announced)
		}
	})
}
