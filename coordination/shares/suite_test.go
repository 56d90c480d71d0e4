package shares_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Shares")
}
