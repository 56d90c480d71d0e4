package service_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state/service"
)

func example(name string) []byte {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	Expect(err).NotTo(HaveOccurred())
	return text
}

// exampleWith returns an example in which each old text, which must occur exactly
// once, is replaced by the new text that follows it in oldNew.
func exampleWith(name string, oldNew ...string) []byte {
	text := string(example(name))
	for i := 0; i < len(oldNew); i += 2 {
		Expect(strings.Count(text, oldNew[i])).To(Equal(1), oldNew[i])
		text = strings.Replace(text, oldNew[i], oldNew[i+1], 1)
	}
	return []byte(text)
}

func faults(text []byte) []string {
	_, f := service.Decode(text)
	return service.Texts(f)
}

var _ = Describe("Decode", func() {
	It("decodes the examples and applies defaults", func() {
		drafts, f := service.Decode(example("drafts.json"))
		Expect(f).To(BeEmpty())
		Expect(drafts.Classes[2].ReservedSlots).To(Equal(0))
		Expect(drafts.Customers[2].Weight).To(Equal(1.0))

		alerts, f := service.Decode(example("alerts.json"))
		Expect(f).To(BeEmpty())
		Expect(alerts.Capacity.QueuePerClass).To(Equal(256))
	})

	It("applies the defaults of an omitted object", func() {
		d, f := service.Decode(exampleWith("drafts.json", `"retry": { "max_attempts": 3, "budget_ratio": 0.2 },`, ""))
		Expect(f).To(BeEmpty())
		Expect(d.Retry).To(Equal(service.Retry{MaxAttempts: 3, BudgetRatio: 0.2}))
	})

	It("reports all faults at once, each with its path", func() {
		Expect(faults(exampleWith("drafts.json",
			`"priority": 1, "deadline": "5s"`, `"Priority": 1, "deadline": 5`,
			`"layers": 48`, `"layers": 48.5`,
			`"burst": 40, "weight": 2`, `"burst": 0, "weight": null`,
			`"name": "summary"`, `"name": "check"`,
			`"checks_fencing": true, "speed": 1`, `"speed": 1.5, "speed": 1`,
			`"budget_ratio": 0.2`, `"budget_ratio": 1e999`,
			`"queue_per_class": 512`, `"slots": {"a": [1, {}]}`,
			`"id": "postmen"`, `"id": "post men"`,
		))).To(ConsistOf(
			`classes[1].Priority: is not a known field`,
			`classes[1].priority: is missing`,
			`classes[1].deadline: is a number, must be a text with a unit, such as "250ms"`,
			`model.layers: is 48.5, must be a whole number`,
			`customers[0].burst: is 0, must be at least 1`,
			`customers[0].weight: is null, must be a number`,
			`classes[2].name: is "check", which already stands at classes[0].name`,
			`backend_kinds[0].speed: is 1.5, must be at most 1`,
			`backend_kinds[0].speed: stands twice`,
			`backend_kinds[0].checks_fencing: is missing`,
			`retry.budget_ratio: is 1e999, must be a number that 64 bits can hold`,
			`capacity.slots: is not a known field`,
			`customers[4].id: is "post men", must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit`,
		))
	})

	DescribeTable("rejects parts that contradict each other",
		func(name, old, replacement string, want ...string) {
			Expect(faults(exampleWith(name, old, replacement))).To(Equal(want))
		},
		Entry("a model service without a model", "alerts.json", `"kind": "plain"`, `"kind": "model"`,
			`model: is missing; kind "model" needs it`,
			`classes[0].max_tokens: must be at least 1 for kind "model"`,
			`classes[1].max_tokens: must be at least 1 for kind "model"`),
		Entry("a server in two chains", "alerts.json", `"backend": "alert-milano-1"`, `"backend": "alert-bergamo-1"`,
			`placement.chains[2].stages[0].backend: is "alert-bergamo-1", which already stands at placement.chains[0].stages[0].backend`),
		Entry("a plain chain with layers", "alerts.json", `"alert-milano-1", "first": 0, "end": 0`, `"alert-milano-1", "first": 0, "end": 3`,
			`placement.chains[2].stages[0]: holds layers; for kind "plain" first and end are 0`),
		Entry("more replicas than chains", "alerts.json", `"replicas": 3`, `"replicas": 4`,
			`capacity.replicas: is 4, but placement.chains has only 3`),
		Entry("all slots reserved", "alerts.json", `"reserved_slots": 16`, `"reserved_slots": 64`,
			`classes: reserve 64 slots together, must be fewer than capacity.slots_per_replica, which is 64`),
		Entry("a backend kind without capacity under automatic placement", "drafts.json", `"memory_layers": 12`, `"memory_layers": 0`,
			`backend_kinds[1].memory_layers: must be at least 1 with placement.mode "auto"`),
		Entry("a missing layer and a layer held twice", "drafts.json", `{ "mode": "auto" }`,
			`{ "mode": "fixed", "chains": [{ "id": "a", "stages": [
				{"backend": "x", "first": 0, "end": 20}, {"backend": "y", "first": 21, "end": 30}, {"backend": "z", "first": 29, "end": 47}]}]}`,
			`capacity.replicas: is 40, but placement.chains has only 1`,
			`placement.chains[0].stages[1].first: is 21, must be 20, so that each layer stands in the chain once`,
			`placement.chains[0].stages[2].first: is 29, must be 30, so that each layer stands in the chain once`,
			`placement.chains[0].stages[2].end: is 47, must be 48, the number of the model's layers`),
	)

	DescribeTable("rejects text that is not a single JSON object",
		func(text, want string) {
			Expect(faults([]byte(text))).To(ConsistOf(HavePrefix(want)))
		},
		Entry("empty text", "", "$: is not JSON"),
		Entry("data after the value", "{}\n {}", "$: is not JSON: invalid character '{' after top-level value (line 2, column 2)"),
		Entry("an array", "[{}]", "$: is an array, must be an object"),
		Entry("bytes that are not UTF-8", "{\"service\":\"\xff\"}", "$: is not UTF-8"),
		Entry("text above the size limit", strings.Repeat(" ", service.MaxBytes+1), "$: has 1048577 bytes"),
	)

	It("rejects a document that exceeds the size limit only with its defaults written out", func() {
		var customers, chains strings.Builder
		for i := range 9_990 {
			fmt.Fprintf(&customers, `{"id":"c%d","requests_per_second":1,"burst":1},`, i)
		}
		text := exampleWith("alerts.json", `"customers": [`, `"customers": [`+customers.String())
		Expect(faults(text)).To(BeEmpty())
		for i := range 8_500 {
			fmt.Fprintf(&chains, `{"id":"x%d","stages":[{"backend":"b%d","first":0,"end":0}]},`, i, i)
		}
		text = []byte(strings.Replace(string(text), `"chains": [`, `"chains": [`+chains.String(), 1))
		Expect(len(text)).To(BeNumerically("<", service.MaxBytes))
		Expect(faults(text)).To(ConsistOf(MatchRegexp(`^\$: has \d+ bytes with its defaults written out`)))
	})

	It("limits the number of reported faults", func() {
		text := `{"classes":[` + strings.Repeat(`{},`, 300_000) + `{}]}`
		Expect(len(faults([]byte(text)))).To(BeNumerically("<", 600))
	})
})
