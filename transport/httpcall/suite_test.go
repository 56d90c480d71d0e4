package httpcall_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPCall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpcall")
}
