package documents_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocuments(t *testing.T) {
	// The scenarios are cheap and the fault combinations many, so run more checks than rapid's
	// default of 100 unless the command line specifies a number.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "400")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Documents Suite")
}
