package home_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "home")
}
