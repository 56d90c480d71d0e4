package answersize_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAnswersize(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Answersize")
}
