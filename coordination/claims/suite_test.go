package claims_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClaims(t *testing.T) {
	// The histories are cheap and the faults many: more than rapid's usual
	// hundred, unless the command line says otherwise.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "2000")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claims Suite")
}
