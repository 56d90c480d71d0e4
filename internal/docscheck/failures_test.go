package docscheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	root        = "../.."
	failures    = "docs/FAILURES.md"
	labelPrefix = "failure:"
)

// proof is one test of a failure: a labelled spec, or a scenario file, whose spec
// is empty.
type proof struct {
	failure, file, spec string
}

var _ = Describe("The table of failures", func() {
	It("has a row for each label, and names each file that carries it", func() {
		rows := readTable()
		for _, p := range append(labelledSpecs(), labelledScripts()...) {
			Expect(rows[p.failure]).NotTo(BeEmpty(), "no row for the label %s of %s: %q", p.failure, p.file, p.spec)
			Expect(filesOf(rows[p.failure])[p.file]).To(BeTrue(), "the row of %s leaves %s out", p.failure, p.file)
		}
	})

	It("names each core scenario", func() {
		named := make(map[string]bool)
		for _, proofs := range readTable() {
			for file := range filesOf(proofs) {
				named[file] = true
			}
		}
		for _, file := range find(".scenario") {
			Expect(named[file]).To(BeTrue(), "no row names %s", file)
		}
	})

	It("names only tests that exist, and that carry the label of their row", func() {
		real := make(map[proof]bool)
		for _, p := range labelledSpecs() {
			real[p] = true
		}
		scripts := make(map[proof]bool)
		for _, p := range labelledScripts() {
			scripts[p] = true
		}
		for failure, proofs := range readTable() {
			Expect(proofs).NotTo(BeEmpty(), "the row of %s names no test", failure)
			for _, p := range proofs {
				switch filepath.Ext(p.file) {
				case ".go":
					Expect(real[p]).To(BeTrue(), "row of %s: no spec %q of that label in %s", failure, p.spec, p.file)
				case ".txtar":
					Expect(scripts[p]).To(BeTrue(), "row of %s: %s has no such label", failure, p.file)
				default:
					Expect(filepath.Join(root, p.file)).To(BeAnExistingFile(), "in the row of %s", failure)
				}
			}
		}
	})
})

func filesOf(proofs []proof) map[string]bool {
	files := make(map[string]bool)
	for _, p := range proofs {
		files[p.file] = true
	}
	return files
}

// testEntry is one entry of the column of tests: a file, and the text of a spec.
var testEntry = regexp.MustCompile("^`([^`]+)`(?:: (.+))?$")

// readTable reads the rows of the table by failure. Entries of the column of tests
// are parted by <br>.
func readTable() map[string][]proof {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(root, failures))
	Expect(err).NotTo(HaveOccurred())
	rows := make(map[string][]proof)
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		Expect(cells).To(HaveLen(5), "failure, how it shows, what guards, tests, recovery: %s", line)
		failure := strings.Trim(strings.TrimSpace(cells[0]), "`")
		Expect(rows).NotTo(HaveKey(failure), "two rows")
		rows[failure] = entries(failure, cells[3])
	}
	Expect(rows).NotTo(BeEmpty())
	return rows
}

func entries(failure, cell string) []proof {
	GinkgoHelper()
	var proofs []proof
	for _, text := range strings.Split(cell, "<br>") {
		m := testEntry.FindStringSubmatch(strings.TrimSpace(text))
		Expect(m).NotTo(BeNil(), "row %s: %q is not `file`: spec", failure, text)
		proofs = append(proofs, proof{failure, m[1], m[2]})
	}
	return proofs
}

// labelledSpecs reads the labels of all ginkgo nodes in test files.
func labelledSpecs() []proof {
	GinkgoHelper()
	var found []proof
	for _, file := range find("_test.go") {
		tree, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.SkipObjectResolution)
		Expect(err).NotTo(HaveOccurred())
		ast.Inspect(tree, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				found = append(found, labels(file, call)...)
			}
			return true
		})
	}
	Expect(found).NotTo(BeEmpty())
	return found
}

// labels are those that a call such as It("...", Label("failure:x"), ...) has among
// its own arguments.
func labels(file string, call *ast.CallExpr) []proof {
	var found []proof
	for _, arg := range call.Args {
		label, ok := arg.(*ast.CallExpr)
		if !ok || !isIdent(label.Fun, "Label") {
			continue
		}
		for _, value := range label.Args {
			if name, ok := strings.CutPrefix(text(value), labelPrefix); ok {
				found = append(found, proof{name, file, text(call.Args[0])})
			}
		}
	}
	return found
}

func isIdent(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && id.Name == name
}

// text is the value of a string literal, or "".
func text(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(lit.Value)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// labelledScripts reads the labels of testscript files: first lines such as
// "# failure:store-down".
func labelledScripts() []proof {
	GinkgoHelper()
	var found []proof
	for _, file := range find(".txtar") {
		script, err := os.ReadFile(filepath.Join(root, file))
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(string(script), "\n") {
			comment, ok := strings.CutPrefix(line, "# ")
			if !ok {
				break
			}
			if name, ok := strings.CutPrefix(comment, labelPrefix); ok {
				found = append(found, proof{failure: name, file: file})
			}
		}
	}
	return found
}

// find lists files by the end of their names, relative to the root.
func find(suffix string) []string {
	GinkgoHelper()
	var files []string
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() != ".." && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, suffix) {
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			files = append(files, rel)
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return files
}
