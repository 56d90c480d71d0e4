package standin_test

import (
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
)

var _ = Describe("A link that drops everything", func() {
	It("leaves attempts to connect unanswered until it is restored", func() {
		e, err := standin.StartEngine(standin.EngineConfig{ID: "e"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		dial := func() error {
			c, err := net.DialTimeout("tcp", e.Address(), 200*time.Millisecond)
			if err == nil {
				err = c.Close()
			}
			return err
		}
		Expect(dial()).To(Succeed())
		Expect(e.DropLink()).To(Succeed())
		var timeout net.Error
		Expect(errors.As(dial(), &timeout)).To(BeTrue())
		Expect(timeout.Timeout()).To(BeTrue())
		Expect(e.RestoreLink()).To(Succeed())
		Eventually(dial).WithTimeout(5 * time.Second).Should(Succeed())
	})
})
