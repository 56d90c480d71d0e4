package claims_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClaims(t *testing.T) {
	// A random event sequence runs quickly and there are many kinds of faults, so
	// run 2000 instead of rapid's default of 100, unless a flag sets the number.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "2000")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claims Suite")
}
