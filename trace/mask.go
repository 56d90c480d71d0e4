package trace

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// masker replaces the contents of requests and answers by digests. Equal contents of
// one recording have equal digests, so that a trace still shows which output was the
// input of which step. The zero masker changes nothing; replay uses it, because the
// contents of a trace are masked already.
type masker struct {
	enabled bool
	salt    [8]byte
}

// valueBits is the size of a masked token value, kept small for short lines.
const valueBits = 24

func (m masker) sum(b []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(m.salt[:])
	_, _ = d.Write(b)
	return d.Sum64()
}

// bytes distinguishes nil from empty, since a lost output is nil.
func (m masker) bytes(b []byte) string {
	if b == nil || !m.enabled {
		return string(b)
	}
	return fmt.Sprintf("%016x", m.sum(b))
}

func (m masker) text(s string) string {
	if s == "" || !m.enabled {
		return s
	}
	return m.bytes([]byte(s))
}

// value does not mask 0, which stands for no token.
func (m masker) value(v int64) int64 {
	if !m.enabled || v == 0 {
		return v
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(v))
	return int64(m.sum(b[:]) >> (64 - valueBits))
}

func (m masker) values(vs []int64) []int64 {
	if vs == nil {
		return nil
	}
	out := make([]int64, len(vs))
	for i, v := range vs {
		out[i] = m.value(v)
	}
	return out
}

// outputBytes converts an output in a trace back to bytes.
func outputBytes(s string) []byte {
	if s == "" {
		return nil
	}
	return []byte(s)
}
