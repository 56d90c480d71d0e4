package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A daemon that stood still", func() {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against requests of a whole standstill that count as sent at its end.
	It("takes the requests that it reads next for those of the standstill", Label("failure:requests-read-late"), func() {
		var r runClock
		r.expect(at(0), at(100))
		Expect(r.observe(at(300))).To(BeZero(), "the control goroutine is a little late")
		Expect(r.sentSince(at(300))).To(Equal(at(300)))
		Expect(r.observe(at(6000))).To(Equal(6 * time.Second))
		Expect(r.observe(at(6001))).To(BeZero(), "it is reported once")
		Expect(r.sentSince(at(6001))).To(Equal(at(0)))
		Expect(r.sentSince(at(8999))).To(Equal(at(0)))
		Expect(r.sentSince(at(9001))).To(Equal(at(9001)))
	})

	It("is told from one whose control goroutine has not run yet", func() {
		var r runClock
		Expect(r.observe(at(6000))).To(BeZero())
	})
})
