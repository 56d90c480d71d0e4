package docscheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const operationsPage = "docs/OPERATIONS.md"

// alarmRowPattern matches the beginning of a row of the alarm tables.
var alarmRowPattern = regexp.MustCompile(`(?m)^\| (\d{4}) \| `)

var _ = Describe("The page for operators", func() {
	It("lists no event that is missing from the catalogue", func() {
		text, err := os.ReadFile(filepath.Join(moduleRoot, operationsPage))
		Expect(err).NotTo(HaveOccurred())
		known := make(map[string]bool)
		for _, info := range telemetry.Events() {
			known[fmt.Sprint(uint16(info.Event))] = true
		}
		for _, m := range alarmRowPattern.FindAllStringSubmatch(string(text), -1) {
			Expect(known[m[1]]).To(BeTrue(), "row of %s", m[1])
		}
	})

	It("lists each event of level warning or above, and no other", func() {
		text, err := os.ReadFile(filepath.Join(moduleRoot, operationsPage))
		Expect(err).NotTo(HaveOccurred())
		for _, info := range telemetry.Events() {
			row := fmt.Sprintf("\n| %d | %s | ", uint16(info.Event), info.Name)
			alarm := info.Level <= logrus.WarnLevel
			Expect(strings.Contains(string(text), row)).To(Equal(alarm), "row of %d %s, level %s", info.Event, info.Name, info.Level)
		}
	})
})
