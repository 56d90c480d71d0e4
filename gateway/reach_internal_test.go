package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The assignment of layers", func() {
	// Guards against a gateway that holds the lease without being able to send orders.
	It("is left to others by a gateway that is cut off", Label("failure:gateway-cut-off-from-servers"), func() {
		c := newTestControl(GinkgoTB())
		c.view.serversKnown = true
		Expect(c.assignment.active()).To(BeTrue())
		c.g.reach.cutOff.Store(true)
		Expect(c.assignment.active()).To(BeFalse())
	})
})
