package weights_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weights")
}
