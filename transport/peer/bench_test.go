package peer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

func benchPair(b *testing.B) (from *peer.Node, to string) {
	b.Helper()
	cfg := peer.Config{
		Self: state.Member{ID: "a", Incarnation: 1}, Registry: registry(),
		Handler: peer.Handler{
			HandleMessage: func(state.Member, any) {},
			HandleCall: func(_ context.Context, _ state.Member, msg any) (any, error) {
				return testAnswer(msg.(testCall)), nil
			},
		},
	}
	server, client := peer.New(cfg), peer.New(cfg)
	addr, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { client.Close(); server.Close() })
	return client, addr.String()
}

// BenchmarkCall makes one call after the other over loopback.
func BenchmarkCall(b *testing.B) {
	n, to := benchPair(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := n.Call(context.Background(), to, testCall{N: 1}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallParallel makes concurrent calls on one connection.
func BenchmarkCallParallel(b *testing.B) {
	n, to := benchPair(b)
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := n.Call(context.Background(), to, testCall{N: 1}); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSend sends messages without an answer at the highest rate.
func BenchmarkSend(b *testing.B) {
	n, to := benchPair(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := n.Send(to, testMessage{N: 1}); err != nil {
			b.Fatal(err)
		}
		if i%1000 == 999 { // lets the queue drain
			if _, err := n.Call(context.Background(), to, testCall{N: 1}); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkSilence measures the time from a connection's last byte, with a call
// outstanding, to the answer to a call on its replacement, with the default Config.
func BenchmarkSilence(b *testing.B) {
	n, to := benchPair(b)
	p, err := standin.StartProxy(to)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	var worst time.Duration
	for b.Loop() {
		if _, err := n.Call(context.Background(), p.Address(), testCall{N: 1}); err != nil {
			b.Fatal(err)
		}
		p.BlackholeConnections()
		start := time.Now()
		if _, err := n.Call(context.Background(), p.Address(), testCall{N: 2}); !errors.Is(err, peer.ErrUnresponsive) {
			b.Fatal(err)
		}
		if _, err := n.Call(context.Background(), p.Address(), testCall{N: 3}); err != nil {
			b.Fatal(err)
		}
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
