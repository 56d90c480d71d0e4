package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Version is the frame's version byte.
const Version = 1

// Sizes of a frame.
const (
	MaxFrame     = 1 << 20 // default bound of length, in bytes
	headerLen    = 4
	envelopeLen  = 5 // elements of the envelope's array
	minFrameLen  = 2 // the version and at least one byte of envelope
	encodeBuffer = 64 << 10
)

// Role says what a frame is for.
type Role uint8

// The values of Role.
const (
	RoleHello        Role = iota + 1 // first frame of each side; body Hello
	RoleHeartbeat                    // to be answered at once
	RoleHeartbeatAck                 // answers a heartbeat, or any number of them
	RoleSend                         // a message without an answer
	RoleCall                         // a message to be answered under the same call number
	RoleAnswer                       // the answer to a call; body the message
	RoleRefusal                      // the call was not handled, and will not be; body Refusal
	RoleFailure                      // the call was handled and failed; body Refusal
	RoleBye                          // last frame before a close; body Refusal
	roleEnd
)

// Kind numbers a type of message. Numbers are never reused.
type Kind uint16

// Envelope is one frame's content. Body is raw msgpack.
type Envelope struct {
	Role    Role
	Kind    Kind
	Call    uint64
	Timeout uint32 // milliseconds
	Body    []byte
}

// Hello introduces a daemon on a new connection; everything else on it is from
// this member.
type Hello struct {
	From state.Member `msgpack:"from"`
}

// Refusal says why a call was not handled, or why a connection is closed.
type Refusal struct {
	Detail string `msgpack:"detail"`
}

// buffers holds encode buffers between frames.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// AppendFrame appends a frame with e's fields and body, a value for msgpack or
// nil, to dst; e.Body is not looked at. A frame longer than limit is a
// *FrameError of FaultOversized, and dst is returned as it was.
func AppendFrame(dst []byte, e Envelope, body any, limit int) ([]byte, error) {
	buf := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= encodeBuffer {
			buffers.Put(buf)
		}
	}()
	buf.Reset()
	buf.Write([]byte{0, 0, 0, 0, Version})
	if err := encodeEnvelope(buf, e, body); err != nil {
		return dst, fmt.Errorf("message can't be encoded: %w", err)
	}
	frame := buf.Bytes()
	n := len(frame) - headerLen
	if n > limit || n > math.MaxUint32 {
		return dst, fault(FaultOversized, "%d bytes, at most %d", n, limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(n))
	return append(dst, frame...), nil
}

// encodeEnvelope writes the array.
func encodeEnvelope(buf *bytes.Buffer, e Envelope, body any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	if err := enc.EncodeArrayLen(envelopeLen); err != nil {
		return err
	}
	for _, n := range [...]uint64{uint64(e.Role), uint64(e.Kind), e.Call, uint64(e.Timeout)} {
		if err := enc.EncodeUint(n); err != nil {
			return err
		}
	}
	return enc.Encode(body)
}

// DecodeEnvelope reads the envelope that fills b whole. Body is part of b.
func DecodeEnvelope(b []byte) (Envelope, error) {
	// Lengths are checked against the bytes that are there before the decoder
	// sees them: it would make room for a million entries on the word of a
	// five-byte frame, and recurse as deep as the frame says.
	if err := WellFormed(b); err != nil {
		return Envelope{}, err
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	r := bytes.NewReader(b)
	dec.Reset(r)
	n, err := dec.DecodeArrayLen()
	if err != nil || n != envelopeLen {
		return Envelope{}, fault(FaultMsgpack, "no envelope")
	}
	var fields [envelopeLen - 1]uint64
	for i := range fields {
		if fields[i], err = decodeUint(dec); err != nil {
			return Envelope{}, fault(FaultMsgpack, "field %d of the envelope is no unsigned number", i)
		}
	}
	role, kind, call, timeout := fields[0], fields[1], fields[2], fields[3]
	if role == 0 || role >= uint64(roleEnd) {
		return Envelope{}, fault(FaultRole, "role %d", role)
	}
	if kind > math.MaxUint16 {
		return Envelope{}, fault(FaultKind, "kind %d", kind)
	}
	if timeout > math.MaxUint32 {
		return Envelope{}, fault(FaultMsgpack, "timeout %d", timeout)
	}
	return Envelope{
		Role: Role(role), Kind: Kind(kind), Call: call, Timeout: uint32(timeout),
		Body: b[len(b)-r.Len():],
	}, nil
}

// decodeUint reads an unsigned number; msgpack's decoder would also take a
// negative one, a float or nil.
func decodeUint(dec *msgpack.Decoder) (uint64, error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	if code > codeFixintMax && (code < codeUint8 || code > codeUint64) {
		return 0, errNoUint
	}
	return dec.DecodeUint64()
}

// DecodeBody reads a body into v, a pointer.
func DecodeBody(body []byte, v any) error {
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fault(FaultMsgpack, "body: %v", err)
	}
	return nil
}
