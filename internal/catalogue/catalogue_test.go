package catalogue_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/hibiscuswick/hibiscuswick/internal/catalogue"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

var root = filepath.Join("..", "..")

// constants returns the literals of the constants of one type in a file.
func constants(file, typeName string) []string {
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var values []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if t, ok := spec.Type.(*ast.Ident); ok && t.Name == typeName {
			values = append(values, spec.Values[0].(*ast.BasicLit).Value)
		}
		return true
	})
	return values
}

// eventAreas returns the event numbers of each constant block in events.go.
func eventAreas() [][]int {
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "telemetry", "events.go"), nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var areas [][]int
	for _, d := range f.Decls {
		block, ok := d.(*ast.GenDecl)
		if !ok || block.Tok != token.CONST {
			continue
		}
		var numbers []int
		for _, spec := range block.Specs {
			for _, v := range spec.(*ast.ValueSpec).Values {
				n, err := strconv.Atoi(v.(*ast.BasicLit).Value)
				Expect(err).NotTo(HaveOccurred())
				numbers = append(numbers, n)
			}
		}
		areas = append(areas, numbers)
	}
	return areas
}

// names returns, by literal, the names of the constants of one type in a file.
func names(file, typeName string) map[string]string {
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, 0)
	Expect(err).NotTo(HaveOccurred())
	found := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if t, ok := spec.Type.(*ast.Ident); ok && t.Name == typeName {
			found[spec.Values[0].(*ast.BasicLit).Value] = spec.Names[0].Name
		}
		return true
	})
	return found
}

// sources returns the source of the packages that emit events and metrics, without
// tests.
func sources() string {
	var all strings.Builder
	for _, dir := range []string{"client", "cmd", "daemon", "gateway", "trace", "transport"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			all.Write(text)
			return err
		})
		Expect(err).NotTo(HaveOccurred())
	}
	return all.String()
}

func quoted[T ~string](values []T) []string {
	return lo.Map(values, func(v T, _ int) string { return strconv.Quote(string(v)) })
}

var _ = Describe("the generated pages", func() {
	It("are up to date with the code", func() {
		pages, err := catalogue.Pages(root)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range pages {
			committed, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(p.Path)))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(committed)).To(Equal(string(p.Text)), "%s: run go generate ./internal/catalogue", p.Path)
		}
	})

	It("list exactly the constants of the code", func() {
		events := lo.Map(telemetry.Events(), func(e telemetry.EventInfo, _ int) string { return strconv.Itoa(int(e.Event)) })
		Expect(events).To(ConsistOf(constants("telemetry/events.go", "Event")))
		names := lo.Map(telemetry.Catalogue(), func(m telemetry.Metric, _ int) telemetry.Name { return m.Name })
		Expect(quoted(names)).To(ConsistOf(constants("telemetry/counter.go", "Name")))
		Expect(quoted(telemetry.Keys())).To(ConsistOf(constants("telemetry/field.go", "Key")))
		Expect(quoted(state.Reasons())).To(ConsistOf(constants("state/outcome.go", "Reason")))
		Expect(quoted(state.RetryReasons())).To(ConsistOf(constants("state/retry_reason.go", "RetryReason")))
	})

	// A documented event or metric that no daemon emits misleads operators, who would
	// wait for it in vain.
	It("list only events and metrics that a daemon emits", func() {
		text := sources()
		used := func(name string) bool { return regexp.MustCompile(`telemetry\.` + name + `\b`).MatchString(text) }
		log, err := os.ReadFile(filepath.Join(root, "telemetry", "log.go"))
		Expect(err).NotTo(HaveOccurred())
		for _, name := range names("telemetry/events.go", "Event") {
			Expect(used(name) || strings.Contains(string(log), name)).To(BeTrue(), "%s is never emitted", name)
		}
		own, err := os.ReadFile(filepath.Join(root, "telemetry", "metrics.go"))
		Expect(err).NotTo(HaveOccurred())
		for literal, name := range names("telemetry/counter.go", "Name") {
			counted := used(name) || strings.Contains(text, literal) || strings.Contains(string(own), name)
			Expect(counted).To(BeTrue(), "%s is never counted", name)
		}
	})

	It("list documented events with ascending numbers below 1800", func() {
		last := telemetry.Event(1000)
		for _, e := range telemetry.Events() {
			Expect(e.Event).To(BeNumerically(">", last))
			Expect(e.Event).To(BeNumerically("<", 1800))
			Expect(e.Doc).NotTo(BeEmpty())
			last = e.Event
		}
	})

	It("group events by area, a hundred numbers each", func() {
		areas := eventAreas()
		Expect(areas).To(HaveLen(8))
		seen := make(map[int]bool)
		for _, numbers := range areas {
			hundred := numbers[0] / 100
			Expect(seen[hundred]).To(BeFalse(), "%d is in two areas", hundred*100)
			seen[hundred] = true
			for _, n := range numbers {
				Expect(n/100).To(Equal(hundred), "%d is not in the area of %d", n, numbers[0])
			}
		}
	})
})

var _ = Describe("the metrics of a daemon", func() {
	It("are all in the catalogue with their kind", func() {
		m := telemetry.NewMetrics()
		defer m.Close()
		front.New(nil, front.Options{Scope: m.Scope()})
		m.Accepted("s", "c")
		m.SetService(telemetry.DocumentVersion, "s", 1)
		m.ObserveClass(telemetry.FirstTokenSeconds, "s", "c", time.Second)
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		shown := regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`).FindAllStringSubmatch(w.Body.String(), -1)
		Expect(len(shown)).To(BeNumerically(">", 30))
		for _, s := range shown {
			Expect(telemetry.Catalogue()).To(ContainElement(And(
				HaveField("Name", telemetry.Name(s[1])),
				HaveField("Kind", telemetry.Kind(s[2])),
			)), s[0])
		}
	})
})

var _ = Describe("the published schemas", func() {
	compile := func(name string) *jsonschema.Schema {
		s, err := jsonschema.NewCompiler().Compile(filepath.Join(root, "docs", "schema", name))
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	validate := func(schema, file string, change func(map[string]any)) error {
		f, err := os.Open(filepath.Join(root, "examples", file))
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		v, err := jsonschema.UnmarshalJSON(f)
		Expect(err).NotTo(HaveOccurred())
		change(v.(map[string]any))
		return compile(schema).Validate(v)
	}
	same := func(map[string]any) {}

	It("accept the examples", func() {
		Expect(validate("service.schema.json", "drafts.json", same)).To(Succeed())
		Expect(validate("service.schema.json", "alerts.json", same)).To(Succeed())
		Expect(validate("settings.schema.json", "settings.json", same)).To(Succeed())
	})

	DescribeTable("reject what decoding rejects", func(change func(map[string]any)) {
		Expect(validate("service.schema.json", "drafts.json", change)).NotTo(Succeed())
	},
		Entry("an unknown field", func(d map[string]any) { d["colour"] = "red" }),
		Entry("a missing field", func(d map[string]any) { delete(d, "classes") }),
		Entry("null", func(d map[string]any) { d["classes"] = nil }),
		Entry("a duration without a unit", func(d map[string]any) {
			d["classes"].([]any)[0].(map[string]any)["deadline"] = "5"
		}),
		Entry("a name with a space", func(d map[string]any) { d["service"] = "a b" }),
		Entry("a value out of range", func(d map[string]any) {
			d["capacity"].(map[string]any)["replicas"] = 0
		}),
	)
})
