package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// serveBroken starts a daemon that names itself as the only address, and answers each request with a text before
// it has read the request's body. It returns the daemon's base URL.
func serveBroken(text string, end func(c *net.TCPConn)) string {
	GinkgoHelper()
	var addresses string
	s, err := standin.StartRawServer(func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReaderSize(c, 256))
		switch {
		case err != nil:
		case req.URL.Path == caller.PathAddresses:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(addresses), addresses)
		default:
			_, _ = io.WriteString(c, text)
			end(c)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	addresses = fmt.Sprintf(`{"addresses":["http://%s"],"valid_for":"1m"}`, s.Address())
	return "http://" + s.Address()
}

// doLong sends a request with a long prompt to a daemon.
func doLong(url string) (client.Result, error) {
	cfg := config(url)
	cfg.MaxAttempts = 5
	return client.New(cfg).Do(context.Background(), client.Request{Class: "check", Prompt: strings.Repeat("x", 8<<20)}, nil)
}

var _ = Describe("a broken answer to a request of the client", func() {
	reset := func(c *net.TCPConn) {
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	}

	// Guards against a part of an answer that looks complete, since its connection was reset while the request was
	// being written.
	DescribeTable("is not taken for the end of the request if it was reset", Label("failure:reset-during-upload"),
		func(head, part string) {
			url := serveBroken(head+"\r\n\r\n"+part, reset)
			for range 5 {
				r, err := doLong(url)
				Expect(err).To(MatchError(client.ErrGaveUp))
				Expect(r.End.Outcome).To(Equal(caller.EndUnknown))
			}
		},
		Entry("within a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream", "event: token\ndata: {\"index\":0,\"value\":1}\n\n"),
		Entry("within the end event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream", "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":0}\n"),
		Entry("within a problem document", "HTTP/1.1 409 Conflict", `{"status":409,"reason":"bad_request","execution":"not_run"`),
	)

	// Guards against bytes that are no answer, which would say how the request ended.
	DescribeTable("is not taken for the end of the request if its head is broken", Label("failure:broken-head"),
		func(head, body string) {
			r, err := doLong(serveBroken(head+"\r\n\r\n"+body, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }))
			Expect(err).To(MatchError(client.ErrGaveUp))
			Expect(r.End.Outcome).To(Equal(caller.EndUnknown))
		},
		Entry("with status 000", "HTTP/1.1 000 Broken\r\nContent-Length: 61", `{"status":0,"reason":"bad_request","execution":"not_run"}    `),
		Entry("with a blank in a name", "HTTP/1.1 409 Conflict\r\nA B: 1\r\nContent-Length: 61", `{"status":409,"reason":"bad_request","execution":"not_run"}  `),
		Entry("with a blank in a name, as a stream", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\nConnection: close", "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":0}\n\n"),
		Entry("with a blank in a name, before a stream", "HTTP/1.1 102 Processing\r\nA B: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 55", "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":0}\n\n"),
		Entry("with status 999", "HTTP/1.1 999 Broken\r\nContent-Length: 61", `{"status":999,"reason":"bad_request","execution":"not_run"}  `),
	)
})
