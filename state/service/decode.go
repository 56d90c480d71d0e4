package service

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
)

// MaxBytes is the maximum size of a document's text.
const MaxBytes = 1 << 20

// Fault is one error in a document; its String method returns text such as
// "classes[1].deadline: is 0s, must be at least 1ms".
type Fault = strictjson.Fault

// Decode parses a document and returns all of its faults: unknown, missing and
// duplicate fields, wrong types and units, values out of range, and parts that
// contradict each other. Omitted fields get their defaults.
//
// The document may be used only if there are no faults.
func Decode(text []byte) (Document, []Fault) {
	var d Document
	faults := strictjson.Decode(text, MaxBytes, &d)
	if len(faults) > 0 && faults[0].Path == strictjson.Root {
		return d, faults // nothing was read
	}
	faults = append(faults, d.contradictions()...)
	if len(faults) == 0 && len(text) > MaxBytes/2 {
		// Writing out the defaults at most doubles the size of a text. The
		// result is what gets stored, and every daemon must be able to
		// decode it again.
		if n := len(d.Encode()); n > MaxBytes {
			faults = append(faults, strictjson.Faultf(strictjson.Root,
				"has %d bytes with its defaults written out, at most %d are allowed", n, MaxBytes))
		}
	}
	return d, faults
}

// Validate returns all faults of a document that was built by a program.
func (d *Document) Validate() []Fault {
	_, faults := Decode(d.Encode())
	return faults
}

// Encode returns the canonical text of d: one line, all fields in the order of
// Document, with defaults written out. Equal documents have equal texts.
func (d *Document) Encode() []byte {
	return d.encode("")
}

// Pretty returns the canonical text of d, indented by two spaces.
func (d *Document) Pretty() []byte {
	return d.encode("  ")
}

func (d *Document) encode(indent string) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", indent)
	if err := e.Encode(d); err != nil {
		// Only NaN and infinite numbers can't be encoded, and Decode returns
		// none.
		panic(fmt.Sprintf("service: document can't be encoded as JSON: %v", err))
	}
	return b.Bytes()
}

// Texts returns the text of each fault, "path: problem".
func Texts(faults []Fault) []string {
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, f.String())
	}
	return texts
}
