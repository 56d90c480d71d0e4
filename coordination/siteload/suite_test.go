package siteload_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSiteLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Site load")
}
