package documents

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxPatch bounds the bytes of a Patch's middle; a larger change is pulled.
const maxPatch = 1024

// Patch is the difference between two versions of a text: a common prefix and
// suffix, and what stands between. An edit mostly changes a number or two in a
// text of many kilobytes.
type Patch struct {
	From   state.DocumentVersion `msgpack:"from"`
	Prefix int                   `msgpack:"prefix"` // bytes
	Suffix int                   `msgpack:"suffix"` // bytes
	Middle []byte                `msgpack:"middle"`
	Sum    uint64                `msgpack:"sum"` // xxhash of the result
}

// makePatch returns the patch between two texts, or nil where it is large.
func makePatch(from state.DocumentVersion, old, text string) *Patch {
	p := 0
	for p < len(old) && p < len(text) && old[p] == text[p] {
		p++
	}
	s := 0
	for s < len(old)-p && s < len(text)-p && old[len(old)-1-s] == text[len(text)-1-s] {
		s++
	}
	middle := text[p : len(text)-s]
	if len(middle) > maxPatch {
		return nil
	}
	return &Patch{From: from, Prefix: p, Suffix: s, Middle: []byte(middle), Sum: xxhash.Sum64String(text)}
}

// apply gives the new text, or false where old is not what p was made from: a
// damaged message or a defect then costs a pull, not a document in force that
// nobody wrote.
func (p *Patch) apply(old string) ([]byte, bool) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(old) || p.Suffix > len(old)-p.Prefix {
		return nil, false
	}
	text := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	text = append(text, old[:p.Prefix]...)
	text = append(text, p.Middle...)
	text = append(text, old[len(old)-p.Suffix:]...)
	return text, xxhash.Sum64(text) == p.Sum
}
