package httpanswer_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

const testTimeout = 20 * time.Second

var _ = Describe("A connection whose other side sends a part and", func() {
	var (
		near    *httpanswer.Conn
		far     *net.TCPConn
		written chan error // the result of a Write that is longer than the buffers of the operating system
	)

	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		raw, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		near = httpanswer.NewConn(raw)
		DeferCleanup(func() { _ = near.Close() })
		Expect(near.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		accepted, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		far = accepted.(*net.TCPConn)
		DeferCleanup(func() { _ = far.Close() })
		_, err = io.WriteString(far, "part")
		Expect(err).NotTo(HaveOccurred())
		result := make(chan error, 1)
		written = result
		go func() {
			_, err := near.Write(make([]byte, 64<<20))
			result <- err
		}()
	})

	reset := func() {
		Expect(far.SetLinger(0)).To(Succeed())
		Expect(far.Close()).To(Succeed())
	}

	// Guards against a part that looks like everything.
	It("resets it is read to an error, also after a Write has received the reset", Label("failure:reset-during-upload"), func() {
		reset()
		var err error
		Eventually(written).WithTimeout(testTimeout).Should(Receive(&err))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		got, err := io.ReadAll(near)
		Expect(string(got)).To(Equal("part"))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
	})

	// Guards against a complete answer that is taken for a part.
	It("ends its direction is read to its end, also after a reset", func() {
		Expect(far.CloseWrite()).To(Succeed())
		reset()
		var err error
		Eventually(written).WithTimeout(testTimeout).Should(Receive(&err))
		Expect(err).To(HaveOccurred())
		Expect(io.ReadAll(near)).To(BeEquivalentTo("part"))
	})

	// Guards against a complete answer that waits until its request is written.
	It("ends its direction is read to its end while a Write waits", func() {
		Expect(far.CloseWrite()).To(Succeed())
		Expect(io.ReadAll(near)).To(BeEquivalentTo("part"))
		Eventually(written).WithTimeout(testTimeout).Should(Receive(HaveOccurred()))
	})
})
