package storebudget_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStoreBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Store Budget Suite")
}
