package documents

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxPatchBytes bounds the size of Patch.Middle; a larger change is pulled as a complete
// document.
const maxPatchBytes = 1024

// Patch is the difference between two versions of a text: the lengths of the common prefix and
// suffix, and the text between them. Most edits change one or two numbers in a text of many
// kilobytes.
type Patch struct {
	From   state.DocumentVersion `msgpack:"from"`
	Prefix int                   `msgpack:"prefix"` // bytes
	Suffix int                   `msgpack:"suffix"` // bytes
	Middle []byte                `msgpack:"middle"`
	Sum    uint64                `msgpack:"sum"` // xxhash of the result
}

// makePatch returns the patch between two texts, or nil if it is large.
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
	if len(middle) > maxPatchBytes {
		return nil
	}
	return &Patch{From: from, Prefix: p, Suffix: s, Middle: []byte(middle), Sum: xxhash.Sum64String(text)}
}

// apply returns the new text, or false if old is not the text that p was made from. A corrupted
// message or a defect then causes a pull instead of activating a document that no operator
// wrote.
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
