package enginehttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEngineHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginehttp")
}
