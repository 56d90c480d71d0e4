package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

var _ = Describe("A call that reaches no server", func() {
	d := &Daemon{connectTimeout: time.Second}

	It("proves a death if the connection is refused, however long the call took", func() {
		address, err := freeport.Address()
		Expect(err).NotTo(HaveOccurred())
		_, err = enginehttp.New(address, enginehttp.Options{}).Load(context.Background())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(d.provesDeath(err, time.Millisecond)).To(BeTrue())
		Expect(d.provesDeath(err, time.Minute)).To(BeTrue())
	})

	// Guards against contents that are implicated in the death of a live server because
	// this daemon was paused while it waited.
	It("proves nothing if it timed out during a pause", Label("failure:own-pause-taken-for-a-death"), func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		_, err = enginehttp.New(l.Addr().String(), enginehttp.Options{}).Load(ctx)
		Expect(err).To(HaveOccurred())
		Expect(d.provesDeath(err, time.Second)).To(BeTrue(), "an instance that has lost power answers no connection")
		Expect(d.provesDeath(err, 3*time.Second)).To(BeFalse())
	})
})
