package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

const validBody = `{"service":"notes","customer":"kochi","class":"check","prompt":"p"}`

// do sends one request and returns the response with its complete body.
func do(url, method, body string, headers ...string) (*http.Response, string) {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(text)
}

// problem decodes a problem document.
func problem(resp *http.Response, body string) front.Problem {
	GinkgoHelper()
	Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
	var p front.Problem
	Expect(json.Unmarshal([]byte(body), &p)).To(Succeed(), body)
	Expect(p.Status).To(Equal(resp.StatusCode))
	return p
}

// refused returns the outcome of a request that certainly did not run.
func refused(reason state.Reason, after state.RetryAfter) state.Outcome {
	return state.Conclude(state.NewDispatches(), reason, 0, after)
}

var _ = Describe("the caller interface", func() {
	var (
		d *fakeDaemon
		s *httptest.Server
	)
	BeforeEach(func() {
		d = newFakeDaemon()
		s = httptest.NewServer(front.New(d, front.Options{}))
		DeferCleanup(s.Close)
	})

	It("streams an answer whose event IDs are the token indexes", func() {
		a := d.script("r1")
		a.add("one\n", "two")
		a.end(state.Completed{Tokens: 2})
		resp, body := do(s.URL+"/v1/requests", "POST", validBody, "Idempotency-Key", "k")
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Header.Get(front.RequestHeader)).To(Equal("r1"))
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(body).To(Equal("event: accepted\ndata: {\"request\":\"r1\"}\n\n" +
			"id: 0\nevent: token\ndata: {\"index\":0,\"value\":100,\"text\":\"one\\n\"}\n\n" +
			"id: 1\nevent: token\ndata: {\"index\":1,\"value\":101,\"text\":\"two\"}\n\n" +
			"event: end\ndata: {\"outcome\":\"completed\",\"tokens\":2}\n\n"))
		Expect(d.submissions()).To(HaveLen(1))
		Expect(d.submissions()[0].IdempotencyKey).To(Equal(state.IdempotencyKey("k")))
		Expect(d.submissions()[0].After).To(Equal(-1))
	})

	It("resumes after Last-Event-ID, on POST and on attach", func() {
		a := d.script("r1")
		a.add("a", "b", "c")
		a.end(state.Completed{Tokens: 3})
		_, body := do(s.URL+"/v1/requests", "POST", validBody, "Last-Event-ID", "1")
		Expect(body).To(ContainSubstring("id: 2"))
		Expect(body).NotTo(ContainSubstring("id: 1"))
		_, body = do(s.URL+"/v1/requests/r1/events", "GET", "", "Last-Event-ID", "0")
		Expect(body).To(ContainSubstring("id: 1"))
		Expect(body).NotTo(ContainSubstring("id: 0"))
	})

	It("maps a refusal to its status, reason, execution and Retry-After", func() {
		d.refusal = refused(state.ReasonCustomerLimit, 7)
		resp, body := do(s.URL+"/v1/requests", "POST", validBody)
		Expect(resp.StatusCode).To(Equal(429))
		Expect(resp.Header.Get("Retry-After")).To(Equal("7"))
		p := problem(resp, body)
		Expect(p.Reason).To(Equal(state.ReasonCustomerLimit))
		Expect(p.Execution).To(Equal(state.ExecutionNotRun))
	})

	It("reports an outcome before the first token as a status, and one after it as an end event", func() {
		a := d.script("r1")
		a.end(state.Failed{Reason: state.ReasonBackendFailed})
		resp, body := do(s.URL+"/v1/requests", "POST", validBody)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header.Get(front.RequestHeader)).To(Equal("r1"))
		Expect(problem(resp, body).Execution).To(Equal(state.ExecutionStarted))

		a = d.script("r2")
		a.add("a")
		a.end(state.Failed{Reason: state.ReasonBackendFailed, Tokens: 1})
		resp, body = do(s.URL+"/v1/requests", "POST", validBody)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(HaveSuffix("event: end\ndata: {\"outcome\":\"failed\",\"tokens\":1," +
			"\"reason\":\"backend_failed\",\"execution\":\"started\"}\n\n"))
		Expect(a.openViews()).To(BeZero())
	})
})
