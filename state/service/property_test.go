package service_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// jsonNode is a value in a JSON tree that can be replaced.
type jsonNode struct {
	path string
	set  func(any)
}

// jsonNodes returns the values below v with their paths as reported in faults.
func jsonNodes(path string, v any) []jsonNode {
	var all []jsonNode
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			at := k
			if path != "" {
				at = path + "." + k
			}
			all = append(all, jsonNode{at, func(n any) { v[k] = n }})
			all = append(all, jsonNodes(at, v[k])...)
		}
	case []any:
		for i := range v {
			at := fmt.Sprintf("%s[%d]", path, i)
			all = append(all, jsonNode{at, func(n any) { v[i] = n }})
			all = append(all, jsonNodes(at, v[i])...)
		}
	}
	return all
}

// document generates a document without faults.
func document(t *rapid.T) service.Document {
	text := rapid.SampledFrom([]string{"drafts.json", "alerts.json"}).Draw(t, "example")
	d, faults := service.Decode(example(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for i := range d.Classes {
		d.Classes[i].Deadline = service.Duration(rapid.Int64Range(1e6, 24*3600e9).Draw(t, "deadline"))
		d.Classes[i].NeverRepeat = rapid.Bool().Draw(t, "never_repeat")
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "customers") {
		d.Customers = append(d.Customers, service.Customer{
			ID:                state.CustomerID(fmt.Sprintf("c-%d", i)),
			RequestsPerSecond: rapid.Float64Range(1e-9, 1e6).Draw(t, "rate"),
			Burst:             rapid.IntRange(1, 1e6).Draw(t, "burst"),
			Weight:            rapid.Float64Range(1e-9, 1e3).Draw(t, "weight"),
		})
	}
	return d
}

var _ = Describe("properties of Decode", func() {
	It("decodes the output of Encode to an equal document", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := document(t)
			again, faults := service.Decode(d.Encode())
			if len(faults) > 0 {
				t.Fatalf("%v", faults)
			}
			NewWithT(t).Expect(again).To(Equal(d))
		})
	})

	It("reports each of several values of a wrong type with its path", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var tree any
			d := document(t)
			NewWithT(t).Expect(json.Unmarshal(d.Encode(), &tree)).To(Succeed())
			var wrong []string
			for range rapid.IntRange(1, 5).Draw(t, "mistakes") {
				p := rapid.SampledFrom(jsonNodes("", tree)).Draw(t, "node")
				p.set(nil)
				wrong = append(wrong, p.path)
			}
			text, err := json.Marshal(tree)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			_, faults := service.Decode(text)
			for _, path := range remaining(wrong, tree) {
				NewWithT(t).Expect(service.Texts(faults)).To(ContainElement(HavePrefix(path + ": is null")))
			}
		})
	})
})

// remaining returns the paths that were not removed by a later change to a parent.
func remaining(paths []string, tree any) []string {
	var kept []string
	for _, p := range jsonNodes("", tree) {
		if slices.Contains(paths, p.path) {
			kept = append(kept, p.path)
		}
	}
	return kept
}

func FuzzDecode(f *testing.F) {
	RegisterTestingT(f)
	f.Add(example("drafts.json"))
	f.Add(example("alerts.json"))
	f.Add(exampleWith("alerts.json", `"kind": "plain"`, `"kind": "plain", "kind": "model"`))
	f.Add([]byte(`{"service":"a","model":{"layers":1e3,"adapters":[null,"",{}]},"classes":[[]]}`))
	f.Add([]byte(`[[[[{"\ud800":1}]]]]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, faults := service.Decode(text)
		if len(faults) > 0 {
			return
		}
		again, faults := service.Decode(d.Encode())
		if len(faults) > 0 {
			t.Fatalf("the canonical text of an accepted document has faults: %v", faults)
		}
		if string(again.Encode()) != string(d.Encode()) {
			t.Fatal("the canonical text is not stable")
		}
	})
}
