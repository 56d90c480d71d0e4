package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/transport/exchange"
)

var _ = Describe("A broken head", func() {
	var pool *exchange.Pool

	BeforeEach(func() {
		pool = exchange.NewPool()
		DeferCleanup(pool.Close)
	})

	do := func(s *server) (*exchange.Response, string, error) {
		resp, err := pool.Do(context.Background(), exchange.Request{
			Address: s.Addr().String(), Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("x"),
			ID: "r1", IDHeader: "X-Request-Id",
		})
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		return resp, string(b), err
	}

	// The call is broken, the request is sent once, and the next one goes on another connection.
	expectBroken := func(text string) {
		s := serve(respond(text), respond(matchingResponse))
		_, _, err := do(s)
		Expect(errors.Is(err, backend.ErrIncomplete)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, backend.ErrNotSent)).To(BeFalse(), "%v", err)
		Expect(s.served.Load()).To(Equal(int32(1)))
		_, body, err := do(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		Expect(s.accepted.Load()).To(Equal(int32(2)))
	}

	const fields = "X-Request-Id: r1\r\nContent-Length: 2\r\n"

	// Guards against statuses that no answer has, which would be taken for the server's.
	DescribeTable("has a status outside of 100 to 599", Label("failure:broken-head"),
		func(status string) {
			expectBroken("HTTP/1.1 " + status + "\r\n" + fields + "\r\nok")
			expectBroken("HTTP/1.1 " + status + "\r\n" + fields + "X-Not-Run: 1\r\n\r\nok")
			expectBroken("HTTP/1.1 " + status + "\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
			expectBroken("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + "\r\n" + fields + "\r\nok")
			expectBroken("HTTP/1.1 " + status + "\r\nX-Request-Id: r0\r\nContent-Length: 0\r\n\r\n" + matchingResponse)
		},
		Entry(nil, "000 "),
		Entry(nil, "000 OK"),
		Entry(nil, "001"),
		Entry(nil, "099 OK"),
		Entry(nil, "+20 OK"),
		Entry(nil, "-20 OK"),
		Entry(nil, "600 OK"),
		Entry(nil, "999 OK"),
		Entry(nil, "20 OK"),
		Entry(nil, "2000 OK"),
		Entry(nil, "2x0 OK"),
	)

	// Guards against sound answers that are taken for broken ones.
	DescribeTable("is not one with an unusual status",
		func(status int) {
			s := serve(respond(fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 %d\r\n%s\r\nok", status, fields)))
			resp, body, err := do(s)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Status).To(Equal(status))
			Expect(body).To(Equal("ok"))
		},
		Entry(nil, 200), Entry(nil, 299), Entry(nil, 418), Entry(nil, 451), Entry(nil, 599),
	)
})
