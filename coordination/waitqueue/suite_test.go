package waitqueue_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWaitQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Wait queue")
}
