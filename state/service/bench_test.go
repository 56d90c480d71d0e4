package service_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// plannedDocument returns a document of the size that the service is designed for:
// 480 customers and 800 chains of 4 stages.
func plannedDocument() []byte {
	d, _ := service.Decode(example("drafts.json"))
	d.Placement.Mode = service.PlacementFixed
	for i := range 800 {
		chain := service.Chain{ID: state.ReplicaID(fmt.Sprintf("chain-%d", i))}
		for j := range 4 {
			backend := state.BackendID(fmt.Sprintf("engine-%d-%d", i, j))
			chain.Stages = append(chain.Stages, service.ChainStage{Backend: backend, First: 12 * j, End: 12 * (j + 1)})
		}
		d.Placement.Chains = append(d.Placement.Chains, chain)
	}
	for i := range 480 {
		d.Customers = append(d.Customers, service.Customer{
			ID: state.CustomerID(fmt.Sprintf("customer-%d", i)), RequestsPerSecond: 10, Burst: 10, Weight: 1,
		})
	}
	return d.Encode()
}

func measure(b *testing.B, name string, text []byte, read func([]byte) error) {
	b.Run(name, func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		b.ReportAllocs()
		for b.Loop() {
			if err := read(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDecode compares Decode with the alternatives that
// docs/design/operator-input.md discusses.
func BenchmarkDecode(b *testing.B) {
	RegisterTestingT(b)
	decode := func(text []byte) error {
		if _, faults := service.Decode(text); len(faults) > 0 {
			return fmt.Errorf("%v", faults)
		}
		return nil
	}
	measure(b, "example", example("drafts.json"), decode)
	text := plannedDocument()
	measure(b, "planned", text, decode)
	measure(b, "planned-encoding-json", text, func(text []byte) error {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		return d.Decode(new(service.Document))
	})
	measure(b, "planned-tokens-only", text, func(text []byte) error {
		d := json.NewDecoder(bytes.NewReader(text))
		for {
			if _, err := d.Token(); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
		}
	})
	schema, err := jsonschema.NewCompiler().Compile(filepath.Join("..", "..", "docs", "schema", "service.schema.json"))
	Expect(err).NotTo(HaveOccurred())
	measure(b, "planned-json-schema", text, func(text []byte) error {
		v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		if err != nil {
			return err
		}
		return schema.Validate(v)
	})
}
