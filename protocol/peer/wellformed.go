package peer

import "encoding/binary"

// Codes of msgpack that WellFormed needs.
const (
	codeFixintMax = 0x7f
	codeFixmap    = 0x80
	codeFixarray  = 0x90
	codeFixstr    = 0xa0
	codeNil       = 0xc0
	codeUnused    = 0xc1
	codeBin8      = 0xc4
	codeExt8      = 0xc7
	codeFloat32   = 0xca
	codeUint8     = 0xcc
	codeUint64    = 0xcf
	codeInt8      = 0xd0
	codeFixext1   = 0xd4
	codeStr8      = 0xd9
	codeArray16   = 0xdc
	codeMap16     = 0xde
	codeNegFixint = 0xe0
)

// maxDepth bounds nesting; no message is nested a quarter as deep.
const maxDepth = 24

// WellFormed checks that b is exactly one msgpack value, that each length in it
// is covered by bytes that are there, and that it is not nested too deep. It
// needs no memory.
func WellFormed(b []byte) error {
	// left[d] counts the values still to come at depth d.
	var left [maxDepth + 1]int
	left[0] = 1
	depth := 0
	for {
		for left[depth] == 0 {
			if depth == 0 {
				if len(b) > 0 {
					return fault(FaultMsgpack, "%d bytes too many", len(b))
				}
				return nil
			}
			depth--
		}
		left[depth]--
		skip, children, ok := value(b)
		if !ok || skip > len(b) || children > len(b)-skip {
			return fault(FaultMsgpack, "a value is cut off")
		}
		b = b[skip:]
		if children == 0 {
			continue
		}
		if depth == maxDepth {
			return fault(FaultMsgpack, "nested deeper than %d", maxDepth)
		}
		depth++
		left[depth] = children
	}
}

// value looks at the value at the start of b: the bytes of its own (code,
// length and content) and the number of values inside it. ok is false when b
// ends before its length does, or with a code that msgpack does not use.
func value(b []byte) (skip, children int, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	c := b[0]
	switch {
	case c <= codeFixintMax, c >= codeNegFixint, c == codeNil:
		return 1, 0, true
	case c < codeFixarray:
		return 1, 2 * int(c-codeFixmap), true
	case c < codeFixstr:
		return 1, int(c - codeFixarray), true
	case c < codeNil:
		return 1 + int(c-codeFixstr), 0, true
	case c == codeUnused:
		return 0, 0, false
	case c < codeBin8: // booleans
		return 1, 0, true
	case c < codeExt8:
		return lengthAt(b, 1<<(c-codeBin8), 0)
	case c < codeFloat32:
		return lengthAt(b, 1<<(c-codeExt8), 1)
	case c < codeUint8:
		return 1 + 4<<(c-codeFloat32), 0, true
	case c < codeInt8:
		return 1 + 1<<(c-codeUint8), 0, true
	case c < codeFixext1:
		return 1 + 1<<(c-codeInt8), 0, true
	case c < codeStr8:
		return 2 + 1<<(c-codeFixext1), 0, true
	case c < codeArray16:
		return lengthAt(b, 1<<(c-codeStr8), 0)
	case c < codeMap16:
		return childrenAt(b, 2<<(c-codeArray16), 1)
	default:
		return childrenAt(b, 2<<(c-codeMap16), 2)
	}
}

// lengthAt reads a length of width bytes after the code; extra bytes stand
// between the length and the content.
func lengthAt(b []byte, width, extra int) (skip, children int, ok bool) {
	n, ok := bigEndian(b, width)
	return 1 + width + extra + n, 0, ok
}

// childrenAt reads a count of width bytes after the code.
func childrenAt(b []byte, width, each int) (skip, children int, ok bool) {
	n, ok := bigEndian(b, width)
	return 1 + width, n * each, ok
}

// bigEndian reads a number of 1, 2 or 4 bytes after the code.
func bigEndian(b []byte, width int) (int, bool) {
	if len(b) < 1+width {
		return 0, false
	}
	switch width {
	case 1:
		return int(b[1]), true
	case 2:
		return int(binary.BigEndian.Uint16(b[1:])), true
	default:
		return int(binary.BigEndian.Uint32(b[1:])), true
	}
}
