package trace

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// mask replaces what callers sent and got by digests. Equal contents of one
// recording have equal digests, so that a trace still shows which output went
// into which step. The zero mask changes nothing: replay uses it on what is
// masked already.
type mask struct {
	on   bool
	salt [8]byte
}

// valueBits bounds a masked token value, for short lines.
const valueBits = 24

func (m mask) sum(b []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(m.salt[:])
	_, _ = d.Write(b)
	return d.Sum64()
}

// bytes keeps nil and empty apart, since a lost output is nil.
func (m mask) bytes(b []byte) string {
	if b == nil || !m.on {
		return string(b)
	}
	return fmt.Sprintf("%016x", m.sum(b))
}

func (m mask) text(s string) string {
	if s == "" || !m.on {
		return s
	}
	return m.bytes([]byte(s))
}

// value keeps 0, which is written where there is no token.
func (m mask) value(v int64) int64 {
	if !m.on || v == 0 {
		return v
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(v))
	return int64(m.sum(b[:]) >> (64 - valueBits))
}

func (m mask) values(vs []int64) []int64 {
	if vs == nil {
		return nil
	}
	out := make([]int64, len(vs))
	for i, v := range vs {
		out[i] = m.value(v)
	}
	return out
}

// unmasked gives an output back as it went into a trace.
func unmasked(s string) []byte {
	if s == "" {
		return nil
	}
	return []byte(s)
}
