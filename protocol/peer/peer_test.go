package peer_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// sample has a field of each type that messages use.
type sample struct {
	Name   string            `msgpack:"n"`
	Count  uint64            `msgpack:"c"`
	Delta  int64             `msgpack:"d"`
	Set    map[string]uint64 `msgpack:"m,omitempty"`
	List   []state.Member    `msgpack:"l,omitempty"`
	Blob   []byte            `msgpack:"b,omitempty"`
	Nested *sample           `msgpack:"x,omitempty"`
}

type flagMessage struct {
	Flag bool `msgpack:"f"`
}

const (
	kindSample peer.Kind = 7
	kindFlag   peer.Kind = 300
)

func newTestRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.Register[sample](r, kindSample)
	peer.Register[flagMessage](r, kindFlag)
	return r
}

// buildFrame builds a frame with arbitrary content.
func buildFrame(version byte, content ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(content)))
	return append(append(b, version), content...)
}

// nestedEnvelope returns a valid envelope whose body has an unknown field with n
// nested arrays.
func nestedEnvelope(n int) []byte {
	b := []byte{0x95, 4, 7, 0, 0, 0x81, 0xa1, 'z'}
	b = append(b, bytes.Repeat([]byte{0x91}, n)...)
	return append(b, 0xc0)
}

// readAll reads all frames of b and decodes those that carry a message.
func readAll(b []byte, limit int) (msgs []any, err error) {
	reg := newTestRegistry()
	r := peer.NewReader(bytes.NewReader(b), limit)
	for {
		e, err := r.Next()
		if err != nil {
			return msgs, err
		}
		if e.Kind == 0 {
			msgs = append(msgs, e.Role)
			continue
		}
		msg, err := reg.Decode(e)
		if err != nil {
			return msgs, err
		}
		msgs = append(msgs, msg)
	}
}

func genSample(t *rapid.T) sample {
	s := sample{
		Name:  rapid.String().Draw(t, "name"),
		Count: rapid.Uint64().Draw(t, "count"),
		Delta: rapid.Int64().Draw(t, "delta"),
		Blob:  rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "blob"),
	}
	if rapid.Bool().Draw(t, "nested") {
		n := genSample(t)
		s.Nested = &n
	}
	for _, k := range rapid.SliceOfN(rapid.String(), 0, 20).Draw(t, "keys") {
		if s.Set == nil {
			s.Set = make(map[string]uint64)
		}
		s.Set[k] = rapid.Uint64().Draw(t, "value")
		s.List = append(s.List, state.Member{ID: state.DaemonID(k), Incarnation: 3})
	}
	return s
}

var _ = Describe("frames", func() {
	It("are decoded as they were sent, however the bytes are split", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b []byte
			var want []any
			reg := newTestRegistry()
			for range rapid.IntRange(1, 5).Draw(t, "frames") {
				var msg any = genSample(t)
				if rapid.Bool().Draw(t, "other") {
					msg = flagMessage{Flag: true}
				}
				k, ok := reg.KindOf(msg)
				if !ok {
					t.Fatal("message type is not registered")
				}
				var err error
				b, err = peer.AppendFrame(b, peer.Envelope{Role: peer.RoleSend, Kind: k}, msg, peer.MaxFrame)
				if err != nil {
					t.Fatal(err)
				}
				want = append(want, msg)
			}
			size := rapid.IntRange(1, 64).Draw(t, "chunk")
			r := peer.NewReader(chunkReader{bytes.NewReader(b), size}, peer.MaxFrame)
			for _, w := range want {
				e, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				got, err := reg.Decode(e)
				if err != nil || !reflect.DeepEqual(got, w) {
					t.Fatalf("got %#v, %v, want %#v", got, err, w)
				}
			}
			if _, err := r.Next(); !errors.Is(err, io.EOF) {
				t.Fatal(err)
			}
		})
	})

	DescribeTable("are rejected with a typed error if they are invalid", Label("failure:bad-frame"),
		func(b []byte, want peer.Fault) {
			_, err := readAll(b, peer.MaxFrame)
			f, ok := peer.FaultOf(err)
			Expect(ok).To(BeTrue(), "%v", err)
			Expect(f).To(Equal(want))
		},
		Entry("longer than the limit", binary.BigEndian.AppendUint32(nil, peer.MaxFrame+1), peer.FaultOversized),
		Entry("truncated in the length", []byte{0, 0}, peer.FaultTruncated),
		Entry("truncated in the content", buildFrame(1, 0x95, 1)[:6], peer.FaultTruncated),
		Entry("empty", []byte{0, 0, 0, 0}, peer.FaultTruncated),
		Entry("with another version", buildFrame(2, 0x95, 4, 7, 0, 0, 0xc0), peer.FaultVersion),
		Entry("no array", buildFrame(1, 0xc0), peer.FaultMsgpack),
		Entry("with too few fields", buildFrame(1, 0x93, 4, 7, 0), peer.FaultMsgpack),
		Entry("with bytes after the envelope", buildFrame(1, 0x95, 4, 7, 0, 0, 0xc0, 0xc0), peer.FaultMsgpack),
		Entry("with a negative call number", buildFrame(1, 0x95, 4, 7, 0xff, 0, 0xc0), peer.FaultMsgpack),
		Entry("with an unused code", buildFrame(1, 0x95, 4, 7, 0, 0, 0xc1), peer.FaultMsgpack),
		Entry("with a map longer than the frame", buildFrame(1, 0x95, 4, 7, 0, 0, 0xdf, 0, 15, 0, 0), peer.FaultMsgpack),
		Entry("with text longer than the frame", buildFrame(1, 0x95, 4, 7, 0, 0, 0xdb, 0, 15, 0, 0), peer.FaultMsgpack),
		Entry("nested too deeply", buildFrame(1, nestedEnvelope(500_000)...), peer.FaultMsgpack),
		Entry("without a role", buildFrame(1, 0x95, 0, 7, 0, 0, 0xc0), peer.FaultRole),
		Entry("with an unknown role", buildFrame(1, 0x95, 99, 7, 0, 0, 0xc0), peer.FaultRole),
		Entry("with an unknown kind", buildFrame(1, 0x95, 4, 8, 0, 0, 0xc0), peer.FaultKind),
		Entry("with a kind out of range", buildFrame(1, 0x95, 4, 0xce, 0, 1, 0, 0, 0, 0, 0xc0), peer.FaultKind),
		Entry("with a body of another type", buildFrame(1, 0x95, 4, 7, 0, 0, 0x81, 0xa1, 'n', 0x90), peer.FaultMsgpack),
	)

	// A faulty or malicious sender announces a long frame on each of many
	// connections and sends nothing more. If the reader allocated the announced
	// length, the daemon would run out of memory and all its answers would fail.
	It("allocate memory for received bytes, not for the announced length", Label("failure:bad-frame"), func() {
		head := binary.BigEndian.AppendUint32(nil, peer.MaxFrame)
		const conns = 200
		readers := make([]*peer.Reader, conns)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range readers {
			readers[i] = peer.NewReader(bytes.NewReader(head), peer.MaxFrame)
			_, err := readers[i].Next()
			Expect(err).To(HaveOccurred())
		}
		runtime.ReadMemStats(&after)
		Expect((after.TotalAlloc - before.TotalAlloc) / conns).To(BeNumerically("<", 64<<10))
		runtime.KeepAlive(readers)
	})

	// A frame of some 20 bytes announces a map with a million entries. A decoder
	// that allocates them in advance uses tens of megabytes for each such frame.
	It("allocate no memory for entries that are only announced", Label("failure:bad-frame"), func() {
		const frames = 20
		hostile := buildFrame(1, 0x95, 4, 7, 0, 0, 0x81, 0xa1, 'm', 0xdf, 0, 0x0f, 0, 0)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range frames {
			_, err := readAll(hostile, peer.MaxFrame)
			Expect(err).To(HaveOccurred())
		}
		runtime.ReadMemStats(&after)
		Expect((after.TotalAlloc - before.TotalAlloc) / frames).To(BeNumerically("<", 256<<10))
	})

	It("are not built if they exceed the limit", func() {
		big := sample{Name: strings.Repeat("x", 2000)}
		dst := []byte("kept")
		out, err := peer.AppendFrame(dst, peer.Envelope{Role: peer.RoleSend, Kind: kindSample}, big, 1000)
		f, _ := peer.FaultOf(err)
		Expect(f).To(Equal(peer.FaultOversized))
		Expect(out).To(Equal(dst))
	})

	It("need a registry without duplicate kinds or types", func() {
		Expect(func() { peer.Register[sample](newTestRegistry(), 99) }).To(Panic())
		Expect(func() { peer.Register[peer.Hello](newTestRegistry(), kindSample) }).To(Panic())
		_, ok := newTestRegistry().KindOf(peer.Hello{})
		Expect(ok).To(BeFalse())
	})
})

// chunkReader returns at most chunk bytes per read.
type chunkReader struct {
	r     io.Reader
	chunk int
}

func (p chunkReader) Read(b []byte) (int, error) {
	return p.r.Read(b[:min(len(b), p.chunk)])
}

// addSeeds adds valid frames, their truncations and some invalid frames.
func addSeeds(f *testing.F) {
	good, err := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleCall, Kind: kindSample, Call: 1 << 40, Timeout: 70_000},
		sample{
			Name: "n", Count: 1 << 60, Delta: -5, Set: map[string]uint64{"a": 1}, Blob: []byte{1},
			List: []state.Member{{ID: "entry-1", Incarnation: 2}}, Nested: &sample{},
		}, peer.MaxFrame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append(good[:len(good):len(good)], good...))
	for i := range good {
		f.Add(good[:i])
	}
	f.Add(buildFrame(1, 0x95, 4, 7, 0, 0, 0xdf, 0, 15, 0, 0))
	f.Add(buildFrame(1, 0x95, 4, 7, 0, 0, 0x81, 0xa1, 'x', 0x81, 0xa1, 'x', 0xc0))
	f.Add(buildFrame(1, nestedEnvelope(100)...))
	f.Add(buildFrame(2, 0xc0))
}

// FuzzReader reads and decodes frames from arbitrary bytes.
func FuzzReader(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		msgs, err := readAll(b, 4<<10)
		if err == nil {
			t.Fatal("the reader ended without an error")
		}
		if _, ok := peer.FaultOf(err); !ok && !errors.Is(err, io.EOF) {
			t.Fatalf("error without a Fault: %v", err)
		}
		if len(msgs) > len(b) {
			t.Fatalf("%d messages from %d bytes", len(msgs), len(b))
		}
	})
}

// FuzzEnvelope decodes envelopes from arbitrary bytes and encodes those that are
// accepted again.
func FuzzEnvelope(f *testing.F) {
	addSeeds(f)
	f.Add([]byte{0x95, 4, 7, 0, 0, 0xc0})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := peer.DecodeEnvelope(b)
		if err != nil {
			if _, ok := peer.FaultOf(err); !ok {
				t.Fatalf("error without a Fault: %v", err)
			}
			return
		}
		if len(e.Body) == 0 {
			t.Fatal("DecodeEnvelope accepted an envelope without a body")
		}
		msg, err := newTestRegistry().Decode(e)
		if err != nil {
			return
		}
		out, err := peer.AppendFrame(nil, e, msg, peer.MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		again, err := peer.NewReader(bytes.NewReader(out), peer.MaxFrame).Next()
		if err != nil {
			t.Fatal(err)
		}
		if again.Role != e.Role || again.Kind != e.Kind || again.Call != e.Call || again.Timeout != e.Timeout {
			t.Fatalf("%+v became %+v", e, again)
		}
	})
}

func BenchmarkAppendFrame(b *testing.B) {
	msg := sample{Name: "entry-3", Count: 12345, Delta: -1}
	var dst []byte
	b.ReportAllocs()
	for b.Loop() {
		dst, _ = peer.AppendFrame(dst[:0], peer.Envelope{Role: peer.RoleSend, Kind: kindSample}, msg, peer.MaxFrame)
	}
	b.ReportMetric(float64(len(dst)), "B/frame")
}

func BenchmarkDecode(b *testing.B) {
	msg := sample{Name: "entry-3", Count: 12345, Delta: -1}
	out, _ := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleSend, Kind: kindSample}, msg, peer.MaxFrame)
	reg := newTestRegistry()
	b.ReportAllocs()
	for b.Loop() {
		e, err := peer.DecodeEnvelope(out[5:])
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reg.Decode(e); err != nil {
			b.Fatal(err)
		}
	}
}
