package gateway

import (
	"bytes"
	"strings"
	"testing"
)

// However an answer's bytes are split in transit, the forwarded bytes are the same, end
// with a complete event, and nothing is lost.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("data: id: 7\n\n"), uint8(2))
	f.Fuzz(func(t *testing.T, in []byte, step uint8) {
		var fr eventBuffer
		var out bytes.Buffer
		n := int(step)%16 + 1
		for at := 0; at < len(in); at += n {
			complete := fr.add(in[at:min(at+n, len(in))])
			if len(complete) > 0 && !bytes.HasSuffix(complete, eventEnd) {
				t.Fatalf("%q is not complete", complete)
			}
			out.Write(complete)
			if id, ok := lastID(complete); ok && strings.ContainsAny(id, "\n") {
				t.Fatalf("id %q", id)
			}
		}
		rest := fr.buf[fr.returned:]
		if !bytes.Equal(append(out.Bytes(), rest...), in) {
			t.Fatalf("forwarded %q and buffered %q of %q", out.Bytes(), rest, in)
		}
		if bytes.Contains(rest, eventEnd) || fr.hasPartial() != (len(rest) > 0) {
			t.Fatalf("a complete event is buffered: %q", rest)
		}
	})
}

func TestLastID(t *testing.T) {
	for in, want := range map[string]string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n": "2",
		"id: 1\ndata: id: 9\n\n":               "1",
		"id:5\n\ndata: no id\n\n":              "5",
	} {
		if got, ok := lastID([]byte(in)); !ok || got != want {
			t.Errorf("%q: %q %t", in, got, ok)
		}
	}
	if id, ok := lastID([]byte("data: valid: 4\n\n")); ok {
		t.Errorf("found %q", id)
	}
}
