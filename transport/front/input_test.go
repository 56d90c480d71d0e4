package front_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// testTimeout bounds how long a spec waits for a condition.
const testTimeout = 20 * time.Second

// request returns the text of a POST whose body may be shorter than its Content-Length.
func request(body string, contentLength int) string {
	return fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", contentLength, body)
}

// connect opens a raw connection to s and sends text.
func connect(s *httptest.Server, text string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // it may be closed already
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func counter(scope tally.TestScope, name string) func() int64 {
	return func() int64 {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "front_"+name {
				return c.Value()
			}
		}
		return 0
	}
}

var _ = Describe("invalid input from a caller", Label("failure:bad-input"), func() {
	var (
		d     *fakeDaemon
		s     *httptest.Server
		scope tally.TestScope
	)
	BeforeEach(func() {
		d = newFakeDaemon()
		scope = tally.NewTestScope("", nil)
		s = httptest.NewServer(front.New(d, front.Options{Scope: scope}))
		DeferCleanup(s.Close)
	})

	DescribeTable("is answered with a problem that names it and never submitted",
		func(status int, body, part string, headers ...string) {
			resp, text := do(s.URL+"/v1/requests", "POST", body, headers...)
			Expect(resp.StatusCode).To(Equal(status))
			p := problem(resp, text)
			Expect(p.Reason).To(Equal(state.ReasonBadRequest))
			Expect(p.Execution).NotTo(BeEmpty())
			Expect(text).To(ContainSubstring(part))
			Expect(len(text)).To(BeNumerically("<", 2000))
			Expect(d.submissions()).To(BeEmpty())
			Expect(counter(scope, "refused")()).To(BeEquivalentTo(1))
		},
		Entry("not JSON", 400, `{"service":`, "unexpected end"),
		Entry("empty", 400, ``, "body"),
		Entry("unknown field", 422, `{"service":"n","customer":"k","class":"c","prompt":"","colour":1}`, "body.colour"),
		Entry("missing field", 422, `{"service":"n","customer":"k","prompt":""}`, "class"),
		Entry("wrong type", 422, `{"service":7,"customer":"k","class":"c","prompt":""}`, "body.service"),
		Entry("long name", 422, `{"service":"`+strings.Repeat("n", 100_000)+`","customer":"k","class":"c","prompt":""}`, "body.service"),
		Entry("deadline without a unit", 422, `{"service":"n","customer":"k","class":"c","prompt":"","deadline":5}`, "deadline"),
		Entry("negative deadline", 422, `{"service":"n","customer":"k","class":"c","prompt":"","deadline":"-5s"}`, "deadline"),
		Entry("negative tokens", 422, `{"service":"n","customer":"k","class":"c","prompt":"","max_tokens":-1}`, "max_tokens"),
		Entry("body over the limit", 413, `{"prompt":"`+strings.Repeat("x", front.DefaultMaxBody)+`"}`, "large"),
		Entry("bad Last-Event-ID", 422, validBody, "Last-Event-ID", "Last-Event-ID", "x"),
		Entry("negative Last-Event-ID", 422, validBody, "Last-Event-ID", "Last-Event-ID", "-1"),
		Entry("huge Last-Event-ID", 422, validBody, "Last-Event-ID", "Last-Event-ID", "99999999999999999999"),
	)

	// A caller's first attempt ran at another daemon and its connection broke. Its retry
	// with the same idempotency key arrives here truncated. If it were refused as not run,
	// the caller could send it with a new key, and it would run twice.
	It("is not reported as not run if its key may have run elsewhere", func() {
		_, text := do(s.URL+"/v1/requests", "POST", `{`)
		Expect(text).To(ContainSubstring(`"execution":"not_run"`))
		_, text = do(s.URL+"/v1/requests", "POST", `{`, "Idempotency-Key", "k")
		Expect(text).To(ContainSubstring(`"execution":"unknown"`))
		_, text = do(s.URL+"/v1/requests", "POST", validBody, "Idempotency-Key", "k", "Last-Event-ID", "x")
		Expect(text).To(ContainSubstring(`"execution":"unknown"`))
	})

	// Connections without a further request, or with an incomplete header, must be closed.
	It("that is missing, or has an incomplete header, ends its connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		short := 50 * time.Millisecond
		server := front.NewServer(front.New(d, front.Options{}), front.Options{HeaderTimeout: short, IdleTimeout: short})
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(l) }()
		for _, text := range []string{"", "GET /heal", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} {
			conn, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = io.WriteString(conn, text)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
			_, err = io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("with an incomplete body is answered with 408 and ends its connection", func() {
		s := httptest.NewServer(front.New(d, front.Options{BodyTimeout: 50 * time.Millisecond}))
		DeferCleanup(s.Close)
		conn := connect(s, request(`{"service":`, 1000))
		Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		text, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HavePrefix("HTTP/1.1 408"))
		Expect(d.submissions()).To(BeEmpty())
	})
})

var _ = Describe("a view of an answer", func() {
	var (
		d     *fakeDaemon
		s     *httptest.Server
		scope tally.TestScope
	)
	serve := func(o front.Options) {
		d = newFakeDaemon()
		scope = tally.NewTestScope("", nil)
		o.Scope = scope
		s = httptest.NewServer(front.New(d, o))
		DeferCleanup(s.Close)
	}

	// A caller's machine is suspended in the middle of a long answer; its connection stays
	// open but accepts no bytes. This must not affect other callers or use up the daemon's
	// memory, and the caller must be able to resume the answer later.
	It("ends without its request when its caller stops reading", Label("failure:slow-caller"), func() {
		serve(front.Options{WriteTimeout: 100 * time.Millisecond, KeepAlive: 20 * time.Millisecond})
		a := d.script("r1")
		long := strings.Repeat("x", 64<<10)
		for range 400 { // more than the sockets buffer
			a.add(long)
		}
		stuckConn := connect(s, request(validBody, len(validBody)))
		Eventually(counter(scope, "views_slow"), testTimeout).Should(BeEquivalentTo(1))
		Eventually(a.openViews, testTimeout).Should(BeZero())
		a.end(state.Completed{Tokens: 400})
		_, body := do(s.URL+"/v1/requests/r1/events", "GET", "", "Last-Event-ID", "398")
		Expect(body).To(ContainSubstring("id: 399"))
		Expect(body).To(ContainSubstring("completed"))
		_ = stuckConn // open until cleanup
	})

	It("ends without its request when its caller disconnects", func() {
		serve(front.Options{})
		a := d.script("r1")
		a.add("a")
		conn := connect(s, request(validBody, len(validBody)))
		Eventually(a.openViews, testTimeout).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(a.openViews, testTimeout).Should(BeZero())
		Eventually(counter(scope, "views_gone"), testTimeout).Should(BeEquivalentTo(1))
		a.mu.Lock()
		defer a.mu.Unlock()
		Expect(a.outcome).To(BeNil())
	})

	It("carries keep-alive comments while there are no events", func() {
		serve(front.Options{KeepAlive: 10 * time.Millisecond})
		a := d.script("r1")
		go func() {
			defer GinkgoRecover()
			Eventually(counter(scope, "keep_alives"), testTimeout).Should(BeNumerically(">", 2))
			a.end(state.Completed{})
		}()
		resp, body := do(s.URL+"/v1/requests/r1/events", "GET", "")
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(ContainSubstring(": keep-alive\n\n"))
		Expect(body).To(HaveSuffix("event: end\ndata: {\"outcome\":\"completed\",\"tokens\":0}\n\n"))
	})

	// If the body's read deadline, or the write deadline of the first event, stayed on the
	// connection, a request that waits longer than that for a slot or a token would lose
	// its caller.
	It("outlives the body's read deadline and the first write deadline", func() {
		serve(front.Options{BodyTimeout: 20 * time.Millisecond, WriteTimeout: 20 * time.Millisecond, KeepAlive: 10 * time.Millisecond})
		a := d.script("r1")
		go func() {
			time.Sleep(200 * time.Millisecond)
			a.add("late")
			time.Sleep(100 * time.Millisecond)
			a.end(state.Completed{Tokens: 1})
		}()
		_, body := do(s.URL+"/v1/requests", "POST", validBody)
		Expect(body).To(ContainSubstring("late"))
		Expect(body).To(ContainSubstring("completed"))
	})

	It("is refused when too many are open", func() {
		serve(front.Options{MaxStreams: 1})
		a := d.script("r1")
		a.add("a")
		conn := connect(s, request(validBody, len(validBody)))
		Eventually(a.openViews, testTimeout).Should(Equal(1))
		resp, text := do(s.URL+"/v1/requests", "POST", validBody)
		Expect(resp.StatusCode).To(Equal(429))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(problem(resp, text).Execution).To(Equal(state.ExecutionNotRun))
		Expect(conn.Close()).To(Succeed())
		Eventually(a.openViews, testTimeout).Should(BeZero())
		a.end(state.Completed{Tokens: 1})
		Eventually(func() int {
			resp, _ := do(s.URL+"/v1/requests", "POST", validBody)
			return resp.StatusCode
		}, testTimeout).Should(Equal(200))
	})
})

var _ = Describe("the rest of the interface", func() {
	var (
		d *fakeDaemon
		s *httptest.Server
	)
	BeforeEach(func() {
		d = newFakeDaemon()
		s = httptest.NewServer(front.New(d, front.Options{}))
		DeferCleanup(s.Close)
	})

	It("returns and cancels requests by ID", func() {
		a := d.script("r1")
		a.add("a")
		_, body := do(s.URL+"/v1/requests/r1", "GET", "")
		Expect(body).To(MatchJSON(`{"request":"r1","phase":"running","tokens":1}`))
		_, body = do(s.URL+"/v1/requests/r1", "DELETE", "")
		Expect(body).To(MatchJSON(`{"request":"r1","phase":"ended","tokens":1,
			"end":{"outcome":"failed","tokens":1,"reason":"canceled","execution":"started"}}`))
		for _, c := range [][2]string{{"GET", "/v1/requests/none"}, {"DELETE", "/v1/requests/none"}, {"GET", "/v1/requests/none/events"}} {
			resp, body := do(s.URL+c[1], c[0], "")
			Expect(resp.StatusCode).To(Equal(404))
			Expect(problem(resp, body).Reason).To(Equal(state.ReasonUnknownRequest))
			Expect(problem(resp, body).Execution).To(Equal(state.ExecutionUnknown))
		}
	})

	It("maps every reason to a status and reports the execution", func() {
		for _, r := range state.Reasons() {
			d.refusal = refused(r, 0)
			resp, body := do(s.URL+"/v1/requests", "POST", validBody)
			Expect(resp.StatusCode).To(BeNumerically(">=", 400))
			if r != state.ReasonInternal {
				Expect(resp.StatusCode).NotTo(Equal(500), string(r))
			}
			Expect(problem(resp, body).Reason).To(Equal(r))
		}
		d.refusal = state.Unknown{Reason: state.ReasonDuplicate}
		resp, body := do(s.URL+"/v1/requests", "POST", validBody)
		Expect(resp.StatusCode).To(Equal(409))
		Expect(problem(resp, body).Execution).To(Equal(state.ExecutionUnknown))
	})

	It("accepts edits of documents and reports their results", func() {
		put := s.URL + "/v1/documents/notes?base=2&edit_id=e"
		d.edit = caller.EditResult{Status: caller.EditAccepted, Version: 3}
		resp, body := do(put, "PUT", `{"service":"notes"}`, "Content-Type", "application/json")
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(MatchJSON(`{"version":3}`))
		Expect(d.edits[0]).To(Equal(caller.Edit{Base: 2, EditID: "e", Text: []byte(`{"service":"notes"}`)}))

		current := service.Versioned{Version: 9}
		d.edit = caller.EditResult{Status: caller.EditConflict, Current: &current}
		resp, body = do(put, "PUT", `{"service":"notes"}`)
		Expect(resp.StatusCode).To(Equal(409))
		Expect(problem(resp, body).Current.Version).To(BeEquivalentTo(9))

		d.edit = caller.EditResult{Status: caller.EditInvalid, Faults: []string{"kind: missing"}}
		resp, body = do(put, "PUT", `{"service":"notes"}`)
		Expect(resp.StatusCode).To(Equal(422))
		Expect(problem(resp, body).Faults).To(Equal([]string{"kind: missing"}))

		d.edit = caller.EditResult{Status: caller.EditUnknown}
		resp, body = do(put, "PUT", `{"service":"notes"}`)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(problem(resp, body).Execution).To(Equal(state.ExecutionUnknown))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())

		n := len(d.edits)
		for _, url := range []string{"/v1/documents/other?base=2&edit_id=e", "/v1/documents/notes?edit_id=e", "/v1/documents/notes?base=2"} {
			resp, body = do(s.URL+url, "PUT", `{"service":"notes"}`)
			Expect(resp.StatusCode).To(Equal(422), body)
		}
		Expect(d.edits).To(HaveLen(n))
	})

	It("serves documents, addresses, health, drain and its OpenAPI description", func() {
		_, body := do(s.URL+"/v1/documents", "GET", "")
		Expect(body).To(MatchJSON(`[]`))
		_, body = do(s.URL+"/v1/documents/notes", "GET", "")
		Expect(body).To(ContainSubstring(`"version":3`))
		resp, _ := do(s.URL+"/v1/documents/none", "GET", "")
		Expect(resp.StatusCode).To(Equal(404))
		_, body = do(s.URL+"/v1/addresses?service=notes&customer=k", "GET", "")
		Expect(body).To(MatchJSON(`{"addresses":["http://127.0.0.1:1/notes"],"valid_for":"5s"}`))
		_, body = do(s.URL+"/healthz", "GET", "")
		Expect(body).To(MatchJSON(`{"status":"ok"}`))
		resp, _ = do(s.URL+"/v1/daemon/drain", "POST", "")
		Expect(resp.StatusCode).To(Equal(202))
		_, body = do(s.URL+"/healthz", "GET", "")
		Expect(body).To(MatchJSON(`{"status":"draining"}`))
		_, body = do(s.URL+"/openapi.json", "GET", "")
		var api struct {
			Paths map[string]any `json:"paths"`
		}
		Expect(json.Unmarshal([]byte(body), &api)).To(Succeed())
		Expect(api.Paths).To(HaveKey("/v1/requests/{id}/events"))
	})
})
