package inbound_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Inbound")
}
