package probing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProbing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Probing")
}
