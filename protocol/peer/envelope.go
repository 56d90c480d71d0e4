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

// Version is the version byte of a frame.
const Version = 1

// Sizes of frames and of their parts.
const (
	MaxFrame        = 1 << 20  // default limit of the length field, in bytes
	lengthSize      = 4        // bytes of the length field
	envelopeFields  = 5        // elements of the envelope array
	minFrameSize    = 2        // the version and at least one byte of the envelope
	maxPooledBuffer = 64 << 10 // capacity in bytes of the largest encode buffer that is pooled
)

// Role is the purpose of a frame.
type Role uint8

// The values of Role.
const (
	RoleHello        Role = iota + 1 // the first frame of each side; body is a Hello
	RoleHeartbeat                    // must be answered immediately
	RoleHeartbeatAck                 // acknowledges one or more heartbeats
	RoleSend                         // a one-way message
	RoleCall                         // a message that is answered with the same call number
	RoleAnswer                       // the answer to a call; body is the message
	RoleRefusal                      // the call was not handled and will not be; body is a Refusal
	RoleFailure                      // the call was handled and failed; body is a Refusal
	RoleBye                          // the last frame before the connection is closed; body is a Refusal
	roleLimit
)

// Kind is the number of a message type. Numbers are never reused.
type Kind uint16

// Envelope is the content of one frame. Body is raw msgpack.
type Envelope struct {
	Role    Role
	Kind    Kind
	Call    uint64
	Timeout uint32 // milliseconds
	Body    []byte
}

// Hello identifies the sender of all further frames on a new connection.
type Hello struct {
	From state.Member `msgpack:"from"`
}

// Refusal is the reason why a call was not handled or failed, or why a connection
// is closed.
type Refusal struct {
	Detail string `msgpack:"detail"`
}

// buffers pools encode buffers. Those above maxPooledBuffer are not returned to
// the pool.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// AppendFrame appends a frame to dst with the fields of e and with body, a value
// to encode as msgpack or nil; e.Body is ignored. If the frame is longer than
// limit it returns a *FrameError with FaultOversized and dst unchanged.
func AppendFrame(dst []byte, e Envelope, body any, limit int) ([]byte, error) {
	buf := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBuffer {
			buffers.Put(buf)
		}
	}()
	buf.Reset()
	buf.Write([]byte{0, 0, 0, 0, Version})
	if err := encodeEnvelope(buf, e, body); err != nil {
		return dst, fmt.Errorf("message can't be encoded: %w", err)
	}
	frame := buf.Bytes()
	n := len(frame) - lengthSize
	if n > limit || n > math.MaxUint32 {
		return dst, newFrameError(FaultOversized, "%d bytes, at most %d", n, limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(n))
	return append(dst, frame...), nil
}

// encodeEnvelope appends the envelope array to buf.
func encodeEnvelope(buf *bytes.Buffer, e Envelope, body any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	if err := enc.EncodeArrayLen(envelopeFields); err != nil {
		return err
	}
	for _, n := range [...]uint64{uint64(e.Role), uint64(e.Kind), e.Call, uint64(e.Timeout)} {
		if err := enc.EncodeUint(n); err != nil {
			return err
		}
	}
	return enc.Encode(body)
}

// DecodeEnvelope decodes the envelope that b consists of. Body is a subslice of b.
func DecodeEnvelope(b []byte) (Envelope, error) {
	// Lengths and nesting are checked against the available bytes first. The
	// decoder trusts them: it would allocate a million entries for a frame of a
	// few bytes that announces them, and recurse to any depth.
	if err := WellFormed(b); err != nil {
		return Envelope{}, err
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	r := bytes.NewReader(b)
	dec.Reset(r)
	n, err := dec.DecodeArrayLen()
	if err != nil || n != envelopeFields {
		return Envelope{}, newFrameError(FaultMsgpack, "no envelope")
	}
	var fields [envelopeFields - 1]uint64
	for i := range fields {
		if fields[i], err = decodeUint(dec); err != nil {
			return Envelope{}, newFrameError(FaultMsgpack, "field %d of the envelope is no unsigned number", i)
		}
	}
	role, kind, call, timeout := fields[0], fields[1], fields[2], fields[3]
	if role == 0 || role >= uint64(roleLimit) {
		return Envelope{}, newFrameError(FaultRole, "role %d", role)
	}
	if kind > math.MaxUint16 {
		return Envelope{}, newFrameError(FaultKind, "kind %d", kind)
	}
	if timeout > math.MaxUint32 {
		return Envelope{}, newFrameError(FaultMsgpack, "timeout %d", timeout)
	}
	return Envelope{
		Role: Role(role), Kind: Kind(kind), Call: call, Timeout: uint32(timeout),
		Body: b[len(b)-r.Len():],
	}, nil
}

// decodeUint decodes an unsigned integer. The msgpack decoder alone would also
// accept a negative integer, a float or nil.
func decodeUint(dec *msgpack.Decoder) (uint64, error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	if code > codeFixintMax && (code < codeUint8 || code > codeUint64) {
		return 0, errNotUint
	}
	return dec.DecodeUint64()
}

// DecodeBody decodes a body into v, a pointer. Its error is a FrameError with
// FaultMsgpack.
func DecodeBody(body []byte, v any) error {
	if err := msgpack.Unmarshal(body, v); err != nil {
		return newFrameError(FaultMsgpack, "body: %v", err)
	}
	return nil
}
