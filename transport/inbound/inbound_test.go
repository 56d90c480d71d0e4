package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/transport/inbound"
)

// descriptors allows 1,200 connections of callers.
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
		ports := inbound.New(func() inbound.Limits { return *limits.Load() }, descriptors, inbound.NewBodyMemory(0))
		Expect(ports.Open(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}))).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- ports.Serve() }()
		DeferCleanup(func() {
			ports.Close(time.Now())
			Eventually(ended).Should(Receive(BeNil()))
		})
	})

	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	get := func(c net.Conn) {
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	// open returns how long a connection stays open.
	open := func(c net.Conn) time.Duration {
		start := time.Now()
		Expect(c.SetReadDeadline(start.Add(5 * time.Second))).To(Succeed())
		_, _ = io.Copy(io.Discard, c)
		return time.Since(start)
	}

	It("close a connection whose header does not arrive in time", Label("failure:half-a-header"), func() {
		c := dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost")
		Expect(err).NotTo(HaveOccurred())
		Expect(open(c)).To(BeNumerically("~", 150*time.Millisecond, 140*time.Millisecond))
	})

	// A caller holds a keep-alive connection by sending its second request slowly.
	It("apply the header timeout to each request", Label("failure:half-a-header"), func() {
		c := dial()
		get(c)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost")
		Expect(err).NotTo(HaveOccurred())
		Expect(open(c)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// A configuration raises the idle timeout. A connection that is closed after the old
	// one loses the request that its caller is just sending.
	It("apply changed timeouts without a restart", Label("failure:kept-connection-closed"), func() {
		c := dial()
		limits.Store(&inbound.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
		get(c)
		time.Sleep(900 * time.Millisecond)
		get(c)
		limits.Store(&inbound.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 200 * time.Millisecond})
		get(c)
		Expect(open(c)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("reject an endless header", Label("failure:huge-header"), func() {
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

	// The end of a caller's connection is reported at once: a busy process ends the
	// request's context later. A caller that only waits is not taken for one that has left,
	// nor one that has sent its next request.
	It("report a caller that has left", Label("failure:caller-left-unread"), func() {
		ask, left := make(chan struct{}), make(chan bool)
		served, err := freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		ports := inbound.New(func() inbound.Limits { return inbound.Limits{} }, descriptors, inbound.NewBodyMemory(0))
		Expect(ports.Open(served, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-ask
			left <- inbound.CallerLeft(r.Context())
			<-ask
			left <- inbound.CallerLeft(r.Context())
		}))).To(Succeed())
		go func() { _ = ports.Serve() }()
		DeferCleanup(func() { ports.Close(time.Now()) })
		c, err := net.Dial("tcp", served)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, request+request)
		Expect(err).NotTo(HaveOccurred())
		for range 3 { // twice during the first request, once during the second one
			Eventually(ask).Should(BeSent(struct{}{}))
			Eventually(left).Should(Receive(BeFalse()))
		}
		Expect(c.Close()).To(Succeed())
		time.Sleep(100 * time.Millisecond) // the end of the connection is at the port
		ask <- struct{}{}
		Expect(<-left).To(BeTrue())
	})

	// A configuration may set lower limits for a request than the ports do.
	DescribeTable("reject a request over its limits",
		func(b inbound.Bounds, want int) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345"))
			r.Header.Set("X-A", strings.Repeat("a", 100))
			body, _, status := inbound.ReadBody(httptest.NewRecorder(), r, b, inbound.NewBodyMemory(0))
			Expect(status).To(Equal(want))
			if want == 0 {
				Expect(string(body)).To(Equal("12345"))
			}
		},
		Entry("no limits", inbound.Bounds{}, 0),
		Entry("within all limits", inbound.Bounds{HeaderBytes: 200, BodyBytes: 5}, 0),
		Entry("header over its limit", inbound.Bounds{HeaderBytes: 100}, http.StatusRequestHeaderFieldsTooLarge),
		Entry("body over its limit", inbound.Bounds{BodyBytes: 4}, http.StatusRequestEntityTooLarge),
	)

	// Guards against a header within its limit that is refused, since spaces which callers may leave out are counted.
	It("accept a header of many short fields that is as large as allowed", Label("failure:short-fields-overcounted"), func() {
		text := "GET / HTTP/1.1\r\nHost: h\r\n"
		for i := range 1000 {
			text += "A" + strconv.Itoa(i) + ":\r\n"
		}
		text += "\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		Expect(err).NotTo(HaveOccurred())
		_, _, status := inbound.ReadBody(httptest.NewRecorder(), r, inbound.Bounds{HeaderBytes: len(text)}, inbound.NewBodyMemory(0))
		Expect(status).To(BeZero())
	})

	It("reject a truncated body", func() {
		r := httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(io.ErrUnexpectedEOF))
		_, _, status := inbound.ReadBody(httptest.NewRecorder(), r, inbound.Bounds{}, inbound.NewBodyMemory(0))
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	// More callers connect than the process has descriptors for. It must still be able to
	// connect to backend servers, and callers beyond the share are answered as other
	// connections close.
	It("delay connections beyond the callers' share of descriptors", Label("failure:flood-of-callers"), func() {
		const share = 1200
		const header = 1500 * time.Millisecond
		limits.Store(&inbound.Limits{HeaderTimeout: header, IdleTimeout: time.Second})
		firstDial := time.Now()
		for range share {
			_, err := io.WriteString(dial(), "GET")
			Expect(err).NotTo(HaveOccurred())
		}
		get(dial())
		Expect(time.Since(firstDial)).To(BeNumerically(">=", header), "a connection beyond the share was served before a slow one was closed")
	})

	// Many callers open connections and send half a header. Other callers must be served
	// meanwhile, and each slow connection may take only a bounded amount of memory.
	It("serve other callers while many are slow", Label("failure:half-a-header"), func() {
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
			start := time.Now()
			get(dial())
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		}
		runtime.GC()
		runtime.ReadMemStats(&during)
		perConn := (int64(during.HeapInuse+during.StackInuse) - int64(before.HeapInuse+before.StackInuse)) / slow
		AddReportEntry("bytes per slow connection, both ends", fmt.Sprint(perConn))
		Expect(perConn).To(BeNumerically("<", 64<<10), "4,100 of them fit into 284 MB")
	})
})

var _ = Describe("Ports that are closed", func() {
	// Guards against a request that is read just before the ports close, and cut off with them.
	It("let requests in flight finish until the deadline", Label("failure:lost-in-stops"), func() {
		address, err := freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		begun := make(chan struct{})
		ports := inbound.New(func() inbound.Limits { return inbound.DefaultLimits }, 0, inbound.NewBodyMemory(0))
		Expect(ports.Open(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}))).To(Succeed())
		ended, answer := make(chan error, 1), make(chan error, 1)
		go func() { ended <- ports.Serve() }()
		go func() {
			resp, err := http.Post("http://"+address+"/", "text/plain", nil)
			if err == nil {
				err = resp.Body.Close()
			}
			answer <- err
		}()
		Eventually(begun).Should(BeClosed())
		ports.Close(time.Now().Add(10 * time.Second))
		Expect(answer).To(Receive(BeNil()), "the ports are closed once none is left")
		Eventually(ended).Should(Receive(BeNil()))
	})

	// Guards against answers that are complete when the ports close, and that their callers have not read
	// yet.
	It("let callers read answers that were written before", Label("failure:lost-in-stops"), func() {
		const size = 64 << 10
		address, err := freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		written := make(chan struct{})
		ports := inbound.New(func() inbound.Limits { return inbound.DefaultLimits }, 0, inbound.NewBodyMemory(0))
		Expect(ports.Open(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
			close(written)
		}))).To(Succeed())
		go func() { _ = ports.Serve() }()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(written).WithTimeout(10 * time.Second).Should(BeClosed())
		ports.Close(time.Now())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(size))
	})
})
