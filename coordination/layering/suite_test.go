package layering_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLayering(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Layering")
}
