package docscheck_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// link targets with a colon are URLs, which no check here follows.
var _ = Describe("The pages", func() {
	It("link only to files that exist", func() {
		for _, page := range find(".md") {
			text, err := os.ReadFile(filepath.Join(root, page))
			Expect(err).NotTo(HaveOccurred())
			for _, m := range link.FindAllStringSubmatch(string(text), -1) {
				target := filepath.Join(root, filepath.Dir(page), m[1])
				Expect(target).To(BeAnExistingFile(), "%s links to %s", page, m[1])
			}
		}
	})

	It("are reached from the README", func() {
		text, err := os.ReadFile(filepath.Join(root, "README.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, page := range find(".md") {
			if filepath.Dir(page) == "docs" {
				Expect(strings.Contains(string(text), "("+page+")")).To(BeTrue(), "the README does not link to %s", page)
			}
		}
	})
})
