package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
)

// The work of an answer and of a failure must not grow with the servers of a service.
func BenchmarkOutcome(b *testing.B) {
	for _, servers := range []int{3, 40, 1000, 12000} {
		for _, ejected := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/ejected=%t", servers, ejected), func(b *testing.B) {
				t := outlier.New()
				now := time.Unix(1000, 0)
				for i := range servers {
					t.Answered(now, now, svc, server(i))
				}
				if ejected {
					t.Eject(now, svc, server(0), time.Second)
				}
				last := server(servers - 1)
				b.ResetTimer()
				for b.Loop() {
					t.Answered(now, now, svc, last)
				}
			})
		}
	}
}
