package httpanswer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTP answer")
}
