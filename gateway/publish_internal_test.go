package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("The list of servers", func() {
	// All daemons of a site use their whole processors for seconds after a start, and callers
	// wait. Order: 3,000 servers list themselves and their layers, in a hundred changes a
	// second. Cause: each change had every daemon group and compare all servers.
	It("is published once for many changes, and no change waits long", Label("failure:changes-in-hundreds"), func() {
		c := startedControl(GinkgoTB())
		const servers = 3000
		var ids []state.BackendID
		for i := range servers {
			ids = append(ids, state.BackendID(fmt.Sprint(i)))
		}
		c.entries.answered(listing(2, ids...), arrival{whole: true})
		c.tick()

		published := 0
		began, last := c.now, c.g.current.Load()
		for i := range 100 {
			c.now = c.now.Add(10 * time.Millisecond)
			changed := listing(uint64(3+i), ids[i])
			changed.Items[0].Value.Draining = true
			c.entries.answered(changed, arrival{})
			c.tick()
			if v := c.g.current.Load(); v != last {
				published, last = published+1, v
			}
		}
		Expect(published).To(And(BeNumerically(">", 10), BeNumerically("<=", 17)), "one each 60 ms, for 1 s")

		c.now = c.listing.nextTick()
		Expect(c.now.Sub(began)).To(BeNumerically("<=", time.Second+servers*publishEach), "the last change waits no longer")
		c.tick()
		draining := 0
		for _, s := range c.g.current.Load().servers["app"] {
			if s.Draining {
				draining++
			}
		}
		Expect(draining).To(Equal(100))
	})

	// A new route's callers are told that there is none. Order: a configuration names a new
	// service right after a change of the list. Cause: the servers that it makes usable were
	// published with the next change.
	It("is published at once with a new configuration", Label("failure:service-listed-late"), func() {
		c := startedControl(GinkgoTB())
		var ids []state.BackendID
		for i := range 1000 {
			ids = append(ids, state.BackendID(fmt.Sprint(i)))
		}
		listed := listing(2, ids...)
		for i := range listed.Items {
			listed.Items[i].Value.Service = "later"
		}
		c.entries.answered(listed, arrival{whole: true})
		c.tick()
		Expect(c.g.current.Load().servers["later"]).To(BeEmpty(), "no configuration knows the service")
		c.configs.answered(configWith(2, "app", "later"), arrival{})
		c.tick()
		Expect(c.g.current.Load().servers["later"]).To(HaveLen(1000))
	})
})
