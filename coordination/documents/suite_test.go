package documents_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocuments(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Documents Suite")
}
