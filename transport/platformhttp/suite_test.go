package platformhttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatformHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformhttp")
}
