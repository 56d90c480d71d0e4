package docscheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const operations = "docs/OPERATIONS.md"

var _ = Describe("The page for operators", func() {
	It("says what to do at each event of level warning and above", func() {
		text, err := os.ReadFile(filepath.Join(root, operations))
		Expect(err).NotTo(HaveOccurred())
		for _, info := range telemetry.Events() {
			row := fmt.Sprintf("\n| %d | %s | ", info.Event, info.Name)
			alarm := info.Level <= logrus.WarnLevel
			Expect(strings.Contains(string(text), row)).To(Equal(alarm), "row of %d %s, level %s", info.Event, info.Name, info.Level)
		}
	})
})
