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
	moduleRoot   = "../.."
	failuresPage = "docs/FAILURES.md"
	labelPrefix  = "failure:"
)

// testRef refers to one test of a failure: a labelled spec, or a scenario file, for
// which spec is empty.
type testRef struct {
	failure, file, spec string
}

var _ = Describe("The table of failures", func() {
	It("has a row for each label that names every file with the label", func() {
		rows := readTable()
		for _, p := range append(labelledSpecs(), labelledScripts()...) {
			Expect(rows[p.failure]).NotTo(BeEmpty(), "no row for label %s of %s: %q", p.failure, p.file, p.spec)
			Expect(testFiles(rows[p.failure])[p.file]).To(BeTrue(), "the row of %s does not name %s", p.failure, p.file)
		}
	})

	It("names each core scenario", func() {
		named := make(map[string]bool)
		for _, refs := range readTable() {
			for file := range testFiles(refs) {
				named[file] = true
			}
		}
		for _, file := range findFiles(".scenario") {
			Expect(named[file]).To(BeTrue(), "no row names %s", file)
		}
	})

	It("names only existing tests with the label of their row", func() {
		specs := make(map[testRef]bool)
		for _, p := range labelledSpecs() {
			specs[p] = true
		}
		scripts := make(map[testRef]bool)
		for _, p := range labelledScripts() {
			scripts[p] = true
		}
		for failure, refs := range readTable() {
			Expect(refs).NotTo(BeEmpty(), "the row of %s names no test", failure)
			for _, p := range refs {
				switch filepath.Ext(p.file) {
				case ".go":
					Expect(specs[p]).To(BeTrue(), "row of %s: no spec %q with that label in %s", failure, p.spec, p.file)
				case ".txtar":
					Expect(scripts[p]).To(BeTrue(), "row of %s: %s does not have that label", failure, p.file)
				default:
					Expect(filepath.Join(moduleRoot, p.file)).To(BeAnExistingFile(), "in the row of %s", failure)
				}
			}
		}
	})
})

func testFiles(refs []testRef) map[string]bool {
	files := make(map[string]bool)
	for _, p := range refs {
		files[p.file] = true
	}
	return files
}

// testEntryPattern matches one entry of the column of tests: a file and, for a Go
// file, the text of a spec.
var testEntryPattern = regexp.MustCompile("^`([^`]+)`(?:: (.+))?$")

// readTable returns the tests of each row of the table by failure. The entries of the
// column of tests are separated by <br>.
func readTable() map[string][]testRef {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, failuresPage))
	Expect(err).NotTo(HaveOccurred())
	rows := make(map[string][]testRef)
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		Expect(cells).To(HaveLen(5), "want 5 columns (failure, symptom, guard, tests, recovery): %s", line)
		failure := strings.Trim(strings.TrimSpace(cells[0]), "`")
		Expect(rows).NotTo(HaveKey(failure), "duplicate row")
		rows[failure] = parseTests(failure, cells[3])
	}
	Expect(rows).NotTo(BeEmpty())
	return rows
}

func parseTests(failure, cell string) []testRef {
	GinkgoHelper()
	var refs []testRef
	for _, text := range strings.Split(cell, "<br>") {
		m := testEntryPattern.FindStringSubmatch(strings.TrimSpace(text))
		Expect(m).NotTo(BeNil(), "row %s: %q is not of the form `file`: spec", failure, text)
		refs = append(refs, testRef{failure, m[1], m[2]})
	}
	return refs
}

// labelledSpecs returns the labelled ginkgo nodes of all test files.
func labelledSpecs() []testRef {
	GinkgoHelper()
	var found []testRef
	for _, file := range findFiles("_test.go") {
		tree, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		Expect(err).NotTo(HaveOccurred())
		ast.Inspect(tree, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				found = append(found, callLabels(file, call)...)
			}
			return true
		})
	}
	Expect(found).NotTo(BeEmpty())
	return found
}

// callLabels returns the failure labels among the direct arguments of a call such as
// It("...", Label("failure:x"), ...).
func callLabels(file string, call *ast.CallExpr) []testRef {
	var found []testRef
	for _, arg := range call.Args {
		label, ok := arg.(*ast.CallExpr)
		if !ok || !isIdent(label.Fun, "Label") {
			continue
		}
		for _, value := range label.Args {
			if name, ok := strings.CutPrefix(stringLiteral(value), labelPrefix); ok {
				found = append(found, testRef{name, file, stringLiteral(call.Args[0])})
			}
		}
	}
	return found
}

func isIdent(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && id.Name == name
}

// stringLiteral returns the value of a string literal, and "" for any other expression.
func stringLiteral(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(lit.Value)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// labelledScripts returns the labelled testscript files. Labels are comment lines at
// the head of a file, such as "# failure:store-down".
func labelledScripts() []testRef {
	GinkgoHelper()
	var found []testRef
	for _, file := range findFiles(".txtar") {
		script, err := os.ReadFile(filepath.Join(moduleRoot, file))
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(string(script), "\n") {
			comment, ok := strings.CutPrefix(line, "# ")
			if !ok {
				break
			}
			if name, ok := strings.CutPrefix(comment, labelPrefix); ok {
				found = append(found, testRef{failure: name, file: file})
			}
		}
	}
	return found
}

// findFiles returns the files whose names end in suffix, relative to the module root.
func findFiles(suffix string) []string {
	GinkgoHelper()
	var files []string
	err := filepath.WalkDir(moduleRoot, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() != ".." && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, suffix) {
			rel, err := filepath.Rel(moduleRoot, path)
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
