package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/transport/inbound"
)

var _ = Describe("Callers that are behind", func() {
	const headerTimeout = 150 * time.Millisecond
	var address string
	var reading atomic.Int32 // handlers that have begun to read a body
	// open opens a port whose requests may hold some memory.
	open := func(descriptors int, memory int64) {
		var err error
		address, err = freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		m := inbound.NewBodyMemory(memory)
		limits := inbound.Limits{HeaderTimeout: headerTimeout, IdleTimeout: 20 * time.Second}
		ports := inbound.New(func() inbound.Limits { return limits }, descriptors, m)
		Expect(ports.Open(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			reading.Add(1)
			_, release, status := inbound.ReadBody(w, r, inbound.Bounds{}, m)
			defer release()
			if status != 0 {
				w.Header().Set("Connection", "close")
				w.WriteHeader(status)
			}
		}))).To(Succeed())
		go func() { _ = ports.Serve() }()
		DeferCleanup(func() { ports.Close(time.Now()) })
	}
	dial := func(sent string) net.Conn {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return c
	}
	post := func(size, sent int) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("a", sent)
	}
	status := func(sent string) int {
		resp, err := http.ReadResponse(bufio.NewReader(dial(sent)), nil)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}

	// Guards against bodies that stop short of their end and hold the memory of all for as long as they like.
	It("give way to a body for which there is no memory", Label("failure:crowd-exhausts-process"), func() {
		const size = 20 << 10
		open(0, 3*size)
		reading.Store(0)
		for range 3 {
			dial(post(size, size-1))
		}
		Eventually(reading.Load).Should(BeEquivalentTo(3))
		for range 2 {
			Eventually(func() int { return status(post(size, size)) }).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
		}
	})

	// Guards against headers that take a multiple of their size once they are parsed.
	It("are closed if there is no memory for their header", Label("failure:crowd-exhausts-process"), func() {
		var fields strings.Builder
		for i := range 3000 {
			fmt.Fprintf(&fields, "A%d:\r\n", i)
		}
		request := "GET / HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n"
		open(0, 2<<20)
		Expect(status(request)).To(Equal(http.StatusOK))
		Expect(status(request)).To(Equal(http.StatusOK), "the memory was given back")
		dial(strings.TrimSuffix(request, "\r\n"))
		dial(strings.TrimSuffix(request, "\r\n"))
		Expect(status("GET / HTTP/1.1\r\nHost: h\r\n\r\n")).To(Equal(http.StatusOK), "usual headers need none of it")
	})

	// Guards against callers that send one request after the other and keep all others out.
	It("end their connections with an answer if others wait for one", Label("failure:crowd-exhausts-process"), func() {
		open(5, 0) // three connections
		for range 3 {
			c := dial("")
			go func() {
				in := bufio.NewReader(c)
				for {
					if _, err := io.WriteString(c, post(1, 1)); err != nil {
						return
					}
					resp, err := http.ReadResponse(in, nil)
					if err != nil || resp.Close {
						_ = c.Close()
						return
					}
				}
			}()
		}
		Expect(status(post(1, 1))).To(Equal(http.StatusOK))
	})
})
