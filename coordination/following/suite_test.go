package following_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFollowing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Following")
}
