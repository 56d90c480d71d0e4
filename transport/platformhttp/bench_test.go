package platformhttp_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

// BenchmarkList reads instance lists of several sizes, as each daemon does every few
// seconds. The server only copies a body, so nearly all of the CPU time is the
// client's.
//
//	go test ./transport/platformhttp -run xxx -bench List
func BenchmarkList(b *testing.B) {
	for _, n := range []int{52, 1000, 4000, 12_420} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) { benchList(b, n) })
	}
}

func benchList(b *testing.B, n int) {
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{
			ID: state.InstanceID(fmt.Sprintf("drafter-%05d", i)), Role: platform.RoleEngine,
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Kind: "large", Domain: "ernakulam", Region: "kerala-south",
		})
	}
	body, err := json.Marshal(platform.InstanceList{Instances: list})
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
	defer server.Close()
	instances := platformhttp.NewInstances(server.URL, platformhttp.Options{ProgressTimeout: testTimeout})
	defer instances.Close()
	b.ResetTimer()
	cpu := processorTime()
	for b.Loop() {
		got, err := instances.List(context.Background())
		if err != nil || len(got) != n {
			b.Fatalf("%d instances, %v", len(got), err)
		}
	}
	b.ReportMetric(float64(processorTime()-cpu)/float64(b.N)/1e6, "cpu-ms/op")
	b.ReportMetric(float64(len(body)), "B/list")
}

// processorTime returns the CPU time used by this process, in nanoseconds.
func processorTime() int64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return r.Utime.Nano() + r.Stime.Nano()
}
