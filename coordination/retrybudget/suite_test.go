package retrybudget_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetrybudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Retrybudget")
}
