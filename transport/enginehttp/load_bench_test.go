package enginehttp_test

import (
	"context"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// BenchmarkLoad reads an engine's load report and its new cache events, as the home
// of its pool does every second. The CPU time includes both sides.
//
//	go test ./transport/enginehttp -run xxx -bench Load
func BenchmarkLoad(b *testing.B) {
	e, err := standin.StartEngine(standin.EngineConfig{ID: "drafter-1-1", Layers: state.LayerRange{End: 8}, ModelLayers: 16})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	proxy, err := standin.StartProxy(e.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer proxy.Close()
	const counted = 100
	through := enginehttp.New(proxy.Address(), enginehttp.Options{})
	defer through.Close()
	for range counted {
		readReport(b, through)
	}
	wire := float64(proxy.Bytes(standin.ToServer)+proxy.Bytes(standin.ToClient)) / counted

	client := enginehttp.New(e.Address(), enginehttp.Options{})
	defer client.Close()
	b.ResetTimer()
	cpu := processorTime()
	for b.Loop() {
		readReport(b, client)
	}
	b.ReportMetric(float64(processorTime()-cpu)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(wire, "wire-B/op")
}

func readReport(b *testing.B, c *enginehttp.Client) {
	if _, err := c.Load(context.Background()); err != nil {
		b.Fatal(err)
	}
	if _, err := c.CacheEvents(context.Background(), 0); err != nil {
		b.Fatal(err)
	}
}
