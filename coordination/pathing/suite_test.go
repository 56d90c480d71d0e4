package pathing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPathing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pathing")
}
