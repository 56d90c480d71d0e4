package ctl_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// answerUnread starts a daemon that answers each request with a text before it has read the request's body. It
// returns the daemon's base URL.
func answerUnread(text string, end func(c *net.TCPConn)) string {
	GinkgoHelper()
	s, err := standin.StartRawServer(func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 256)); err == nil {
			_, _ = io.WriteString(c, text)
			end(c)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return "http://" + s.Address()
}

// applyText applies a text to a daemon until the outcome is known, for a short while.
func applyText(url string, text []byte) ctl.ApplyResult {
	c, err := ctl.NewClient([]string{url}, time.Second)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Apply(ctx, "alerts", caller.Edit{EditID: "e", Text: text})
}

var _ = Describe("A broken answer to an edit", func() {
	// Guards against a part of an answer that tells an operator the result of an edit.
	It("leaves its result unknown if the answer was reset while the edit was being sent", Label("failure:reset-during-upload"), func() {
		for range 10 {
			r := applyText(answerUnread("HTTP/1.1 409 Conflict\r\n\r\n{\"current\":", func(c *net.TCPConn) {
				time.Sleep(time.Millisecond)
				_ = c.SetLinger(0)
			}), make([]byte, 8<<20))
			Expect(r.Status).To(Equal(caller.EditUnknown))
		}
	})

	// Guards against bytes that are no answer, which would tell an operator the result of an edit.
	DescribeTable("leaves its result unknown if the head is broken", Label("failure:broken-head"),
		func(head, body string) {
			r := applyText(answerUnread(head+"\r\n\r\n"+body, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }), nil)
			Expect(r.Status).To(Equal(caller.EditUnknown))
		},
		Entry("with status 000", "HTTP/1.1 000 Broken\r\nContent-Length: 13", `{"version":3}`),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 13", `{"version":3}`),
	)
})
