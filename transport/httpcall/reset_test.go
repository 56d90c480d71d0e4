package httpcall_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/transport/httpcall"
)

// serveUnread answers each call once its head has been read, ends the connection and returns the URL.
func serveUnread(text string, end func(c *net.TCPConn)) string {
	GinkgoHelper()
	s, err := standin.StartRawServer(func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 256)); err == nil {
			_, _ = io.WriteString(c, text)
			end(c)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return "http://" + s.Address() + "/"
}

var _ = Describe("An answer that ends while its call is being written", func() {
	longCall := make([]byte, 8<<20)
	const unframed = "HTTP/1.1 200 OK\r\n\r\n"
	caller := func() *httpcall.Caller {
		c := httpcall.New(httpcall.Options{})
		DeferCleanup(c.Close)
		return c
	}

	for _, pause := range []time.Duration{0, 200 * time.Microsecond, 5 * time.Millisecond, 50 * time.Millisecond} {
		Context(fmt.Sprintf("(reset %v after a part)", pause), func() {
			// Guards against a reset that is reported to the writer of the call only, so that a part of an answer
			// without a length looks complete.
			It("is an error if it has no length and its connection is reset", Label("failure:reset-during-upload"), func(ctx SpecContext) {
				url := serveUnread(unframed+"{}", func(c *net.TCPConn) {
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				const plays = 100
				answered := 0
				for range plays {
					_, err := caller().Do(ctx, http.MethodPost, url, longCall)
					if err == nil {
						answered++
						continue
					}
					Expect(err).NotTo(MatchError(httpcall.ErrNotSent))
				}
				Expect(answered).To(BeZero(), "of %d", plays)
			}, SpecTimeout(testTimeout))
		})
	}

	// Guards against sound answers that are taken for broken ones.
	It("is complete if the server has ended it, also if it reads no more", func(ctx SpecContext) {
		url := serveUnread(unframed+"{}", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		})
		for range 10 {
			answer, err := caller().Do(ctx, http.MethodPost, url, longCall)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Body).To(BeEquivalentTo("{}"))
		}
	}, SpecTimeout(testTimeout))
})
