package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/transport/inbound"
)

// descriptors leaves room for 1,200 callers.
const descriptors = 2000

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var _ = Describe("A daemon's ports", func() {
	var (
		address string
		limits  atomic.Pointer[inbound.Limits]
	)

	BeforeEach(func() {
		limits.Store(&inbound.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
		var err error
		address, err = freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		ports := inbound.New(func() inbound.Limits { return *limits.Load() }, descriptors)
		Expect(ports.Open(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}))).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- ports.Serve() }()
		DeferCleanup(func() {
			ports.Close()
			Eventually(ended).Should(Receive(BeNil()))
		})
	})

	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	ask := func(c net.Conn) {
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	// open is how long a connection stays open.
	open := func(c net.Conn) time.Duration {
		began := time.Now()
		Expect(c.SetReadDeadline(began.Add(5 * time.Second))).To(Succeed())
		_, _ = io.Copy(io.Discard, c)
		return time.Since(began)
	}

	It("close a connection whose header does not come", Label("failure:half-a-header"), func() {
		c := dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost")
		Expect(err).NotTo(HaveOccurred())
		Expect(open(c)).To(BeNumerically("~", 150*time.Millisecond, 140*time.Millisecond))
	})

	// A caller sends its second request on a kept connection slowly, and holds it.
	It("bound the header of each request", Label("failure:half-a-header"), func() {
		c := dial()
		ask(c)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost")
		Expect(err).NotTo(HaveOccurred())
		Expect(open(c)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// A configuration lets callers keep connections for longer. One that is closed at
	// the old time loses the request that its caller is just sending.
	It("follow changed bounds without a restart", Label("failure:kept-connection-closed"), func() {
		c := dial()
		limits.Store(&inbound.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
		ask(c)
		time.Sleep(900 * time.Millisecond)
		ask(c)
		limits.Store(&inbound.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 200 * time.Millisecond})
		ask(c)
		Expect(open(c)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("refuse a header without end", Label("failure:huge-header"), func() {
		c := dial()
		go func() {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
			for range 2 * inbound.MaxHeaderBytes / 1000 {
				if _, err := io.WriteString(c, "X-A: "+strings.Repeat("a", 1000)+"\r\n"); err != nil {
					return
				}
			}
		}()
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// A configuration allows less than the ports: the bounds of one request.
	DescribeTable("refuse a request beyond its bounds",
		func(b inbound.Bounds, want int) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345"))
			r.Header.Set("X-A", strings.Repeat("a", 100))
			body, status := inbound.ReadBody(httptest.NewRecorder(), r, b)
			Expect(status).To(Equal(want))
			if want == 0 {
				Expect(string(body)).To(Equal("12345"))
			}
		},
		Entry("none are set", inbound.Bounds{}, 0),
		Entry("all hold", inbound.Bounds{HeaderBytes: 200, BodyBytes: 5}, 0),
		Entry("a header", inbound.Bounds{HeaderBytes: 100}, http.StatusRequestHeaderFieldsTooLarge),
		Entry("a body", inbound.Bounds{BodyBytes: 4}, http.StatusRequestEntityTooLarge),
	)

	It("refuse a body that breaks off", func() {
		r := httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(io.ErrUnexpectedEOF))
		_, status := inbound.ReadBody(httptest.NewRecorder(), r, inbound.Bounds{})
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	// More callers connect than the process can hold. It still reaches its servers,
	// and the callers beyond its share are answered as others end.
	It("let callers wait beyond their share of descriptors", Label("failure:flood-of-callers"), func() {
		const share = 1200
		const header = 1500 * time.Millisecond
		limits.Store(&inbound.Limits{HeaderTimeout: header, IdleTimeout: time.Second})
		first := time.Now()
		for range share {
			_, err := io.WriteString(dial(), "GET")
			Expect(err).NotTo(HaveOccurred())
		}
		ask(dial())
		Expect(time.Since(first)).To(BeNumerically(">=", header), "it waited for the first of the slow ones to be closed")
	})

	// Many callers open connections and send half a header. Others are served
	// meanwhile, and what the slow ones hold is given back.
	It("serve others beside many slow callers", Label("failure:half-a-header"), func() {
		const slow = 1000
		limits.Store(&inbound.Limits{HeaderTimeout: 1500 * time.Millisecond, IdleTimeout: time.Second})
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range slow {
			_, err := io.WriteString(dial(), "GET / HTTP/1.1\r\nX-A: "+strings.Repeat("a", 2000))
			Expect(err).NotTo(HaveOccurred())
		}
		for range 20 {
			began := time.Now()
			ask(dial())
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		}
		runtime.GC()
		runtime.ReadMemStats(&during)
		each := (int64(during.HeapInuse+during.StackInuse) - int64(before.HeapInuse+before.StackInuse)) / slow
		AddReportEntry("bytes a slow connection, both ends", fmt.Sprint(each))
		Expect(each).To(BeNumerically("<", 64<<10), "4,100 of them fit into 284 MB")
	})
})
