package httpcall_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
	"github.com/hibiscuswick/hibiscuswick/transport/httpcall"
)

// textServer answers the first call with a text and all others with "{}", and keeps its connections open.
type textServer struct {
	*standin.RawServer
	first string
	calls atomic.Int32
}

func serveText(first string) *textServer {
	GinkgoHelper()
	s := &textServer{first: first}
	raw, err := standin.StartRawServer(s.serve)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(raw.Close)
	s.RawServer = raw
	return s
}

func (s *textServer) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		if s.calls.Add(1) == 1 {
			text = s.first
		}
		_, _ = io.WriteString(c, text)
	}
}

var _ = Describe("A broken head", func() {
	// The call fails and is sent once, and the next one goes on another connection.
	expectBroken := func(ctx SpecContext, method, text string, want types.GomegaMatcher) {
		s := serveText(text)
		caller := httpcall.New(httpcall.Options{})
		DeferCleanup(caller.Close)
		url := "http://" + s.Address() + "/"
		_, err := caller.Do(ctx, method, url, nil)
		Expect(err).To(want)
		Expect(err).NotTo(MatchError(httpcall.ErrNotSent))
		Expect(s.calls.Load()).To(Equal(int32(1)))
		answer, err := caller.Do(ctx, method, url, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body).To(BeEquivalentTo("{}"))
		Expect(s.Accepted()).To(Equal(2))
	}

	malformed := MatchError(httpanswer.ErrMalformed)

	// Guards against statuses that no answer has, which would be taken for the server's.
	DescribeTable("has a status outside of 100 to 599", Label("failure:broken-head"),
		func(ctx SpecContext, status string) {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
				expectBroken(ctx, method, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}", malformed)
				expectBroken(ctx, method, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n", malformed)
			}
		},
		Entry(nil, "000 "),
		Entry(nil, "099 OK"),
		Entry(nil, "+20 OK"),
		Entry(nil, "600 OK"),
		Entry(nil, "999 OK"),
	)

	// Guards against fields that no answer has, and against a body that is not the server's since its framing is
	// named by them.
	DescribeTable("has a field whose name is no token", Label("failure:broken-head"),
		func(ctx SpecContext, field string, want types.GomegaMatcher) {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
				expectBroken(ctx, method, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\n{}", want)
				expectBroken(ctx, method, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+field+"\r\n\r\n", want)
				expectBroken(ctx, method, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", want)
				expectBroken(ctx, method, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"+field+"\r\n\r\n", want)
			}
		},
		Entry("with a blank", "A B: 1", malformed),
		Entry("with a blank at its end", "A : 1", malformed),
		Entry("of a length, with a blank", "Content-Length : 1", malformed),
		Entry("with a control byte", "A\x01B: 1", HaveOccurred()),
	)
})
