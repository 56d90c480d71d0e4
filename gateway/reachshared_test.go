package gateway_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
)

// learnTime is how long gateways may take to learn that they are cut off: callers may keep an
// address for as long.
const learnTime = 2 * time.Second

// at returns the i-th gateway.
func (s *cuttableSite) at(i int) *gateway.Gateway { return s.gateways[fmt.Sprintf("front-c%d", i)] }

// serveOne sends a request to the i-th gateway, whose caller waits for a time.
func (s *cuttableSite) serveOne(i int, path string, callerTimeout time.Duration) gateway.Result {
	req := request(path)
	req.CallerTimeout = callerTimeout
	return s.at(i).Serve(context.Background(), req, &fakeReply{})
}

// cutOffCount returns how many of the first n gateways know that they are cut off.
func (s *cuttableSite) cutOffCount(n int) int {
	count := 0
	for i := range n {
		if s.at(i).CutOff() {
			count++
		}
	}
	return count
}

var _ = Describe("Gateways that lose the servers together", func() {
	// Guards against the conclusion that no gateway reaches the servers from the answers of a few
	// that are cut off themselves.
	It("ask further gateways if those that they ask reach no server", Label("failure:cut-off-peers-asked"), func() {
		s := newCuttableSite(10)
		s.cut(8, cutReset)
		for i := range 8 {
			go s.serveOne(i, "/again/", learnTime)
		}
		Eventually(s.cutOffCount).WithArguments(8).WithTimeout(learnTime).Should(Equal(8))
	})
})
