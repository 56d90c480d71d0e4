package streams_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// newRecord returns the record of a request with a prompt of 500 bytes on four
// stages. With tokens below 0 the request is still running.
func newRecord(i, tokens int) streams.Record {
	r := streams.Record{
		Request: state.RequestID(fmt.Sprintf("entry-1-%012d", i)), Owner: state.Member{ID: "entry-1", Incarnation: 1},
		Service: "drafts", Customer: "customer-1", Class: "draft", Key: state.IdempotencyKey(fmt.Sprintf("key-%d", i)),
		Prompt: strings.Repeat("p", 500), MaxTokens: 600, Attempt: 1 << 40, Epoch: 1 << 40,
	}
	r.Replica = state.Replica{ID: "drafts-017", Service: "drafts", Model: "notes", Version: "2026-11", Slots: 16, FailureDomain: "ernakulam", Speed: 1}
	for s := range 4 {
		r.Replica.Stages = append(r.Replica.Stages, state.Stage{
			Backend: state.BackendID(fmt.Sprintf("drafter-017-%d", s)), Address: "10.1.17.1:9000",
			Layers: state.LayerRange{First: 12 * s, End: 12 * (s + 1)}, BootID: "drafter-017-1@1796238445714110191",
		})
	}
	if tokens < 0 {
		return r
	}
	r.Answer = &streams.Answer{Outcome: &streams.Outcome{Kind: streams.Completed, Tokens: tokens}}
	for i := range tokens {
		r.Answer.Tokens = append(r.Answer.Tokens, caller.Token{Index: i, Value: 30000 + int64(i), Text: " word"})
	}
	return r
}

// BenchmarkRegister reports the size of the message that is sent to one registrar
// for a request, by the number of tokens of its answer. -1 is the first message,
// which registers the running request.
//
//	go test ./protocol/streams -run xxx -bench Register
func BenchmarkRegister(b *testing.B) {
	for _, tokens := range []int{-1, 16, 64, 227, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			m := streams.Register{Record: newRecord(1, tokens)}
			var out []byte
			for b.Loop() {
				out, _ = msgpack.Marshal(m)
			}
			b.ReportMetric(float64(len(out)), "B/msg")
		})
	}
}

// BenchmarkHeld reports the memory of a record at a registrar, decoded from a
// message.
//
//	go test ./protocol/streams -run xxx -bench Held -benchtime 1x
func BenchmarkHeld(b *testing.B) {
	const n = 1000
	for _, tokens := range []int{-1, 16, 64, 227, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				held := make([]streams.Record, n)
				before := heapSize()
				for i := range held {
					text, _ := msgpack.Marshal(newRecord(i, tokens))
					if err := msgpack.Unmarshal(text, &held[i]); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapSize()-before)/n, "B/record")
				runtime.KeepAlive(held)
			}
		})
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
