package service

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
)

// MaxBytes bounds the text of one document.
const MaxBytes = 1 << 20

// Fault is one thing that is wrong with a document; its String gives
// "classes[1].deadline: is 0s, must be at least 1ms".
type Fault = strictjson.Fault

// Decode reads a document and returns every fault of it: unknown, missing and
// doubled fields, wrong types and units, impossible values, and parts that
// contradict each other. Fields that are left out take their defaults.
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
		// Defaults written out at most double a text; what is stored has to
		// be read again by every daemon.
		if n := len(d.Encode()); n > MaxBytes {
			faults = append(faults, strictjson.Faultf(strictjson.Root,
				"has %d bytes with its defaults written out, at most %d are allowed", n, MaxBytes))
		}
	}
	return d, faults
}

// Validate returns every fault of a document that was built in a program.
func (d *Document) Validate() []Fault {
	_, faults := Decode(d.Encode())
	return faults
}

// Encode writes the canonical text of d: one line, every field in the order of
// Document, defaults written out. Equal documents have equal texts.
func (d *Document) Encode() []byte {
	return d.encode("")
}

// Pretty writes the canonical text of d for people, indented by two spaces.
func (d *Document) Pretty() []byte {
	return d.encode("  ")
}

func (d *Document) encode(indent string) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", indent)
	if err := e.Encode(d); err != nil {
		// Only a NaN or an infinite number can't be written, and Decode
		// makes none.
		panic(fmt.Sprintf("service: document that can't be written as JSON: %v", err))
	}
	return b.Bytes()
}

// Texts gives the text of each fault, "path: problem".
func Texts(faults []Fault) []string {
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, f.String())
	}
	return texts
}
