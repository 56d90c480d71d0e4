package trace_test

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/trace"
)

const (
	header  = `{"by":"a","header":{"format":"hibiscuswick-trace","version":1,"began":""}}`
	arrival = `{"by":"a","run":1,"request":{"id":"q","service":"s","customer":"c","class":"k","max_tokens":1,"owner":1,"deadline":1000}}`
	start   = `{"by":"a","run":1,"event":{"kind":"start"},"do":["ask_slot 1@1 exclude="]}`
	refusal = `{"by":"a","run":1,"event":{"kind":"slot_refused","reason":"queue_full"},"do":["stop_asking 1@1","end refused reason=queue_full retry_after=0"]}`
)

func replayer(lines ...string) (trace.Result, error) {
	return trace.Replay(strings.NewReader(strings.Join(lines, "\n")))
}

var _ = Describe("A trace", func() {
	It("satisfies its stated outcomes", func() {
		res, err := replayer(header, arrival, start, refusal,
			`{"by":"a","document":{"service":"s","version":3}}`,
			`{"expect":{"class":"k","outcome":"refused","reason":"queue_full","count":1}}`,
			`{"expect":{"by":"a","run":1,"outcome":"refused","tokens":0}}`,
			`{"expect":{"service":"s","version":3}}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Difference).To(BeNil())
		Expect(res.Expectations).To(Equal(3))
	})

	DescribeTable("reports the first line that differs", func(line int, expected, got string, lines ...string) {
		res, err := replayer(append([]string{header}, lines...)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Difference).NotTo(BeNil())
		Expect(res.Difference.Line).To(Equal(line))
		Expect(res.Difference.Expected).To(Equal(expected))
		Expect(res.Difference.Got).To(Equal(got))
	},
		Entry("a different action", 3, "stop_asking 1@1", "ask_slot 1@1 exclude=", arrival, strings.Replace(start, "ask_slot 1@1 exclude=", "stop_asking 1@1", 1)),
		Entry("a missing action", 3, "(no further action)", "ask_slot 1@1 exclude=", arrival, strings.Replace(start, `"ask_slot 1@1 exclude="`, ``, 1)),
		Entry("a wrong stated count", 5, "2", "1", arrival, start, refusal, `{"expect":{"outcome":"refused","count":2}}`),
		Entry("a version that decreases", 3, "a version above 3", "version 2",
			`{"by":"a","document":{"service":"s","version":3}}`, `{"by":"a","document":{"service":"s","version":2}}`),
		Entry("an answer to a step that was never sent", 4, "end", "panic: runtime error: index out of range [5] with length 1",
			`{"by":"a","run":1,"request":{"id":"q","service":"s","customer":"c","class":"k","max_tokens":1,"owner":1,"deadline":1000,"takeover":{"attempt":"1@2","epoch":"1@2","replica":{"id":"r","stages":[{"backend":"b"}]}}}}`,
			`{"by":"a","run":1,"event":{"kind":"start"},"do":["ask_held 1@2/65538@1/0/0 at=b"]}`,
			`{"by":"a","run":1,"event":{"kind":"held_answer","step":"1@2/65538@1/0/5"},"do":["end"]}`),
	)

	DescribeTable("reports an invalid line", func(line int, text string, lines ...string) {
		_, err := replayer(lines...)
		var invalid *trace.InputError
		Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
		Expect(invalid.Line).To(Equal(line))
		Expect(invalid.Message).To(ContainSubstring(text))
	},
		Entry("an empty file", 1, "no header"),
		Entry("invalid JSON", 2, "invalid character", header, "x"),
		Entry("a truncated line", 2, "unexpected EOF", header, arrival[:40]),
		Entry("a later version", 1, "version 2, this reader supports 1", strings.Replace(header, `"version":1`, `"version":2`, 1)),
		Entry("no header", 1, `no header of "a"`, arrival),
		Entry("an unknown field", 2, `unknown field "runs"`, header, `{"by":"a","runs":1}`),
		Entry("two kinds of content in a line", 2, "exactly one of", header, `{"by":"a","fault":{"kind":"x"},"document":{"service":"s","version":1}}`),
		Entry("an event before its request", 2, "has no request line", header, start),
		Entry("an event after the end", 5, "has ended", header, arrival, start, refusal, refusal),
		Entry("a second start", 4, "start must be the first event and occur once", header, arrival, start, start),
		Entry("an unknown kind", 3, `unknown kind "stat"`, header, arrival, `{"by":"a","run":1,"event":{"kind":"stat"}}`),
		Entry("a malformed step", 3, "attempt/epoch/token/stage", header, arrival, `{"by":"a","run":1,"event":{"kind":"step_done","step":"1"}}`),
		Entry("an unknown outcome", 2, `unknown outcome "done"`, header, `{"expect":{"outcome":"done","count":1}}`),
		Entry("a line that is too long", 2, "longer than", header, strings.Repeat(" ", trace.MaxLineBytes+1)),
	)

	It("has a kind for each event type of a request", func() {
		names := []string{}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "coordination", "request", "event.go"), nil, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "event" {
				names = append(names, f.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
		text, err := os.ReadFile("event.go")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range names {
			Expect(string(text)).To(ContainSubstring("case request." + name + ":"))
		}
		Expect(names).NotTo(BeEmpty())
	})

	It("replays the traces in testdata without a difference", func() {
		Expect(testdataTraces()).To(HaveLen(3))
		for _, name := range testdataTraces() {
			res, err := replayFile(name)
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(res.Difference).To(BeNil(), "%s: %v", name, res.Difference)
			Expect(res.Expectations).To(BeNumerically(">=", 3), name)
		}
	})
})

// testdataTraces lists the traces in testdata.
func testdataTraces() []string {
	names, _ := filepath.Glob(filepath.Join("testdata", "*.jsonl")) // the error is for bad patterns only
	return names
}

func replayFile(name string) (trace.Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return trace.Result{}, err
	}
	defer f.Close()
	return trace.Replay(f)
}

func FuzzReplay(f *testing.F) {
	f.Add(strings.Join([]string{header, arrival, start, refusal}, "\n"))
	f.Add(header + "\n" + `{"expect":{"service":"s","version":3}}`)
	f.Add(header + "\n" + arrival + "\n" + start + "\n" +
		`{"by":"a","run":1,"event":{"kind":"slot_granted","attempt":"1@1","replica":{"id":"r","stages":[{"backend":"b"}]}},"do":["run_step"]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var invalid *trace.InputError
		if _, err := trace.Replay(strings.NewReader(text)); err != nil && !errors.As(err, &invalid) {
			t.Fatal(err)
		}
	})
}
