package docscheck_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// Link targets with a colon are URLs and are not checked.
var _ = Describe("The pages", func() {
	It("link only to files that exist", func() {
		for _, page := range findFiles(".md") {
			text, err := os.ReadFile(filepath.Join(moduleRoot, page))
			Expect(err).NotTo(HaveOccurred())
			for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
				target := filepath.Join(moduleRoot, filepath.Dir(page), m[1])
				Expect(target).To(BeAnExistingFile(), "%s links to %s", page, m[1])
			}
		}
	})

	It("are linked from the README", func() {
		text, err := os.ReadFile(filepath.Join(moduleRoot, "README.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, page := range findFiles(".md") {
			if filepath.Dir(page) == "docs" {
				Expect(strings.Contains(string(text), "("+page+")")).To(BeTrue(), "the README does not link to %s", page)
			}
		}
	})
})
