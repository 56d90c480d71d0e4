package gateway

import (
	"bytes"
	"strings"
	"testing"
)

// However an answer's bytes are cut on their way, what is passed on is the same, ends
// with a whole event, and loses nothing.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("data: id: 7\n\n"), uint8(2))
	f.Fuzz(func(t *testing.T, in []byte, step uint8) {
		var fr frames
		var out bytes.Buffer
		n := int(step)%16 + 1
		for at := 0; at < len(in); at += n {
			whole := fr.take(in[at:min(at+n, len(in))])
			if len(whole) > 0 && !bytes.HasSuffix(whole, eventEnd) {
				t.Fatalf("%q is not whole", whole)
			}
			out.Write(whole)
			if id, ok := lastID(whole); ok && strings.ContainsAny(id, "\n") {
				t.Fatalf("id %q", id)
			}
		}
		rest := fr.held[fr.done:]
		if !bytes.Equal(append(out.Bytes(), rest...), in) {
			t.Fatalf("%q and %q held of %q", out.Bytes(), rest, in)
		}
		if bytes.Contains(rest, eventEnd) || fr.open() != (len(rest) > 0) {
			t.Fatalf("a whole event is held: %q", rest)
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
