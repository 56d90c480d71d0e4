package suspect_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Suspect")
}
