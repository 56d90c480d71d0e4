package inbound_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/transport/inbound"
)

var _ = Describe("Bodies of requests", func() {
	const limit, large = 1 << 20, 300 << 10

	read := func(m *inbound.BodyMemory, size int, chunked bool) (release func(), status int) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("a", size)))
		if chunked {
			r.ContentLength = -1
		}
		body, release, status := inbound.ReadBody(httptest.NewRecorder(), r, inbound.Bounds{BodyBytes: limit}, m)
		if status == 0 {
			Expect(body).To(HaveLen(size))
		}
		return release, status
	}

	// Guards against bodies within their limit that together exceed the memory of the process.
	DescribeTable("are refused beyond the memory that all may take", Label("failure:bodies-exceed-memory"), func(chunked bool, fit int) {
		m := inbound.NewBodyMemory(limit)
		var releases []func()
		for range fit {
			release, status := read(m, large, chunked)
			Expect(status).To(BeZero())
			releases = append(releases, release)
		}
		_, status := read(m, large, chunked)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		_, status = read(m, 800, chunked)
		Expect(status).To(BeZero(), "large bodies leave room for usual ones")
		releases[0]()
		_, status = read(m, large, chunked)
		Expect(status).To(BeZero(), "its memory was given back")
	},
		Entry("whose length is stated", false, 3),
		Entry("whose length is not stated", true, 1),
	)

	It("give back what was taken if they break off", func() {
		m := inbound.NewBodyMemory(limit)
		for range 5 {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("half"))
			r.ContentLength = large
			_, _, status := inbound.ReadBody(httptest.NewRecorder(), r, inbound.Bounds{}, m)
			Expect(status).To(Equal(http.StatusBadRequest))
		}
		_, status := read(m, large, false)
		Expect(status).To(BeZero())
	})

	// Guards against a refusal that is lost, since the connection is closed while its caller still sends.
	It("are read on after a refusal, so that the caller receives it", Label("failure:bodies-exceed-memory"), func() {
		const size = 8 << 20 // more than the kernel's buffers hold
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(http.NewResponseController(w).EnableFullDuplex()).To(Succeed())
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			inbound.DiscardBody(w, r)
		}))
		DeferCleanup(s.Close)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, strings.Repeat("a", size))
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 503"))
	})
})
