package strictjson_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStrictjson(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strict JSON")
}
