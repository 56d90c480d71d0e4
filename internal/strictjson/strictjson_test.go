package strictjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
)

const limit = 1 << 16

type inner struct {
	Flag  bool     `json:"flag"`
	Texts []string `json:"texts,omitempty"`
}

type sample struct {
	Text   string  `json:"text"`
	Small  int8    `json:"small"`
	Whole  uint64  `json:"whole"`
	Number float64 `json:"number"`
	Inner  *inner  `json:"inner,omitempty"`
	Items  []inner `json:"items,omitempty"`
}

var inners = rapid.Custom(func(t *rapid.T) inner {
	return inner{rapid.Bool().Draw(t, "flag"), rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, "texts")}
})

var samples = rapid.Custom(func(t *rapid.T) sample {
	return sample{
		Text:   rapid.String().Draw(t, "text"),
		Small:  rapid.Int8().Draw(t, "small"),
		Whole:  rapid.Uint64().Draw(t, "whole"),
		Number: rapid.Float64().Draw(t, "number"),
		Inner:  rapid.Ptr(inners, true).Draw(t, "inner"),
		Items:  rapid.SliceOfN(inners, 1, 3).Draw(t, "items"),
	}
})

var _ = Describe("Decode", func() {
	It("reads what encoding/json wrote, escapes and all", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			want := samples.Draw(t, "sample")
			text, err := json.Marshal(want)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			var got sample
			faults := strictjson.Decode(text, limit, &got)
			NewWithT(t).Expect(faults).To(BeEmpty())
			NewWithT(t).Expect(got).To(Equal(want))
		})
	})

	It("passes over an unknown field whatever is in it, and reads on behind it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			want := samples.Draw(t, "sample")
			unknown, err := json.Marshal(map[string]any{rapid.String().Draw(t, "name"): samples.Draw(t, "unknown")})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			text, err := json.Marshal(want)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			text = append([]byte(`{"extra":[`+string(unknown)+`],`), text[1:]...)
			var got sample
			faults := strictjson.Decode(text, limit, &got)
			NewWithT(t).Expect(faults).To(ConsistOf(strictjson.Faultf("extra", "is not a known field")))
			NewWithT(t).Expect(got).To(Equal(want))
		})
	})

	It("reports each fault on one line", func() {
		var got sample
		faults := strictjson.Decode([]byte(`{"a\nb":1,"TEXT":"","text":"","small":128,"whole":-1,"number":1,"inner":{"flag":0}}`), limit, &got)
		Expect(faults).To(ConsistOf(
			strictjson.Faultf(`["a\nb"]`, "is not a known field"),
			strictjson.Faultf("TEXT", "is not a known field"),
			strictjson.Faultf("small", "is 128, must be a whole number from -128 to 127"),
			strictjson.Faultf("whole", "is -1, must be a whole number, 0 or more"),
			strictjson.Faultf("inner.flag", "is a number, must be true or false"),
		))
	})
})

// FuzzDecode compares Decode with encoding/json, which accepts more: every input that
// Decode accepts must decode to the same values with encoding/json.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"text":"\u00e9\\\"","small":-1,"whole":1,"number":-1.5e-3,"items":[{"flag":true,"texts":["a"]}]}`))
	f.Add([]byte(`{"text":"` + strings.Repeat(`\\`, 9) + `","small":0,"whole":0,"number":0,"inner":{"flag":false}}`))
	f.Add([]byte(`{"x":{"y":["]}",{}]},"text":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got, want sample
		if len(strictjson.Decode(text, limit, &got)) > 0 {
			return
		}
		if err := json.Unmarshal(text, &want); err != nil {
			t.Fatalf("encoding/json rejects the input: %v", err)
		}
		a, _ := json.Marshal(got)
		b, _ := json.Marshal(want)
		if string(a) != string(b) {
			t.Fatalf("got %s, want %s", a, b)
		}
	})
}
