package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// learn makes a daemon learn of another one.
func learn(c *control, i int) {
	id := state.DaemonID(fmt.Sprintf("e%03d", i))
	update := membership.Update{ID: id, Incarnation: 1, Meta: &membership.Meta{PeerAddress: fmt.Sprintf("127.0.1.%d:1", i), Domain: "a"}}
	c.members.step(membership.Received{From: state.Member{ID: id, Incarnation: 1}, Msg: membership.ExchangeRequest{Self: update}})
}

var _ = Describe("The members", func() {
	// Guards against a start of hundreds of daemons at which each examines all members a
	// hundred times within a second.
	It("are examined once for many changes, and no change is delayed for long", Label("failure:members-in-hundreds"), func() {
		c := newTestControl(GinkgoTB())
		for i := range 200 {
			learn(c, i)
		}
		c.tick()
		c.now = c.now.Add(time.Second)
		c.tick()
		Expect(c.view.live).To(Equal(201))
		views, last := 0, c.view.members
		for i := range 100 {
			c.now = c.now.Add(10 * time.Millisecond)
			learn(c, 200+i)
			c.tick()
			if c.view.members != last {
				views, last = views+1, c.view.members
			}
		}
		Expect(views).To(And(BeNumerically(">", 10), BeNumerically("<=", 25)), "one per 40 to 60 ms, for 1 s")
		learned := c.now
		for c.view.live < 301 {
			c.now = c.members.nextTick()
			c.tick()
		}
		Expect(c.now.Sub(learned)).To(BeNumerically("<=", 301*viewIntervalPerMember))
	})
})

var _ = Describe("The slack of the retry budget", func() {
	// Guards against a daemon that starts beside a network partition, sees one other daemon and
	// takes half of the slack for itself.
	It("is divided by all daemons that the table lists, also those out of sight", Label("failure:slack-shared-by-those-in-sight"), func() {
		c := newTestControl(GinkgoTB())
		read := &tableRead{asked: c.now, got: c.now}
		for i := range 9 {
			row := fmt.Sprintf(`{"peers":"127.0.1.%d:1"}`, i)
			read.rows.Rows = append(read.rows.Rows, site.Row{Key: fmt.Sprintf("e%03d", i), Value: []byte(row), Revision: uint64(i + 1)})
		}
		c.members.seeded(true, read, nil)
		learn(c, 1)
		c.now = c.now.Add(time.Second)
		c.tick()
		Expect(c.view.live).To(Equal(2))
		Expect(c.view.slackShare.Daemons).To(Equal(10), "nine listed ones and this one")
	})

	// Guards against two sides of a partition that each take the slack of the other after a while.
	It("is divided by daemons that are cut off, for as long as they may be alive", Label("failure:slack-shared-by-those-in-sight"), func() {
		c := newTestControl(GinkgoTB())
		for i := range 8 {
			learn(c, i)
		}
		c.now = c.now.Add(time.Second)
		c.tick()
		Expect(c.view.slackShare.Daemons).To(Equal(9))
		for range 600 { // a minute without any answer
			c.now = c.now.Add(100 * time.Millisecond)
			c.tick()
		}
		Expect(c.view.live).To(Equal(1))
		Expect(c.view.slackShare.Daemons).To(Equal(9))
	})
})
