package cover_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Cover")
}
