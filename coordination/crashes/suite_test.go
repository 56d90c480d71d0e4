package crashes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrashes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crashes")
}
