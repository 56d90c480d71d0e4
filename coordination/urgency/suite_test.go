package urgency_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUrgency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Urgency")
}
