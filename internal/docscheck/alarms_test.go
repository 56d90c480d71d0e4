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

const operations = "docs/OPERATIONS.md"

// alarmRow is the beginning of a row of the tables of alarms.
var alarmRow = regexp.MustCompile(`(?m)^\| (\d{4}) \| `)

var _ = Describe("The page for operators", func() {
	It("has no row for an event that is not in the catalogue", func() {
		text, err := os.ReadFile(filepath.Join(root, operations))
		Expect(err).NotTo(HaveOccurred())
		known := make(map[string]bool)
		for _, info := range telemetry.Events() {
			known[fmt.Sprint(uint16(info.Event))] = true
		}
		for _, m := range alarmRow.FindAllStringSubmatch(string(text), -1) {
			Expect(known[m[1]]).To(BeTrue(), "row of %s", m[1])
		}
	})

	It("says what to do at each event of level warning and above", func() {
		text, err := os.ReadFile(filepath.Join(root, operations))
		Expect(err).NotTo(HaveOccurred())
		for _, info := range telemetry.Events() {
			row := fmt.Sprintf("\n| %d | %s | ", uint16(info.Event), info.Name)
			alarm := info.Level <= logrus.WarnLevel
			Expect(strings.Contains(string(text), row)).To(Equal(alarm), "row of %d %s, level %s", info.Event, info.Name, info.Level)
		}
	})
})
