package peer

import "encoding/binary"

// msgpack type codes that WellFormed uses.
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

// maxDepth limits the nesting depth; no message uses a quarter of it.
const maxDepth = 24

// WellFormed checks that b is exactly one msgpack value, that no length in it
// exceeds the available bytes, and that it is not nested too deeply. It does not
// allocate.
func WellFormed(b []byte) error {
	// left[d] is the number of values that remain at depth d.
	var left [maxDepth + 1]int
	left[0] = 1
	depth := 0
	for {
		for left[depth] == 0 {
			if depth == 0 {
				if len(b) > 0 {
					return newFrameError(FaultMsgpack, "%d bytes too many", len(b))
				}
				return nil
			}
			depth--
		}
		left[depth]--
		skip, children, ok := parseHead(b)
		if !ok || skip > len(b) || children > len(b)-skip {
			return newFrameError(FaultMsgpack, "a value is cut off")
		}
		b = b[skip:]
		if children == 0 {
			continue
		}
		if depth == maxDepth {
			return newFrameError(FaultMsgpack, "nested deeper than %d", maxDepth)
		}
		depth++
		left[depth] = children
	}
}

// parseHead parses the head of the value at the start of b. It returns the size
// of the value without nested values (code, length and content) and the number of
// values nested in it. ok is false if b ends before the length does, or if the
// code is not used by msgpack.
func parseHead(b []byte) (skip, children int, ok bool) {
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

// lengthAt reads a length of width bytes after the code; extra is the number of
// bytes between the length and the content.
func lengthAt(b []byte, width, extra int) (skip, children int, ok bool) {
	n, ok := bigEndian(b, width)
	return 1 + width + extra + n, 0, ok
}

// childrenAt reads an element count of width bytes after the code. each is the
// number of values per element.
func childrenAt(b []byte, width, each int) (skip, children int, ok bool) {
	n, ok := bigEndian(b, width)
	return 1 + width, n * each, ok
}

// bigEndian reads an unsigned integer of 1, 2 or 4 bytes after the code.
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
