package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// Sizes of a Reader's buffers.
const (
	readBufferSize    = 16 << 10
	initialBufferSize = 4 << 10
	maxRetainedBuffer = 64 << 10 // a larger buffer is released after its frame
)

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	r     *bufio.Reader
	limit int
	buf   []byte
}

// NewReader returns a Reader of r that rejects frames longer than limit.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), limit: limit}
}

// Wait blocks until the first byte of a frame is available. It returns the error
// of the underlying reader; io.EOF means that it ended between two frames.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(1)
	return err
}

// Ready reports whether the next frame is completely buffered, so that Next does
// not read from the underlying reader.
func (r *Reader) Ready() bool {
	if r.r.Buffered() < lengthSize {
		return false
	}
	head, err := r.r.Peek(lengthSize)
	return err == nil && r.r.Buffered()-lengthSize >= int(binary.BigEndian.Uint32(head))
}

// Next reads one frame. The Body of the envelope is valid until the next call.
// The error is a *FrameError, io.EOF between two frames, or the error of the
// underlying reader.
func (r *Reader) Next() (Envelope, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return Envelope{}, truncatedError(err)
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > r.limit {
		return Envelope{}, newFrameError(FaultOversized, "%d bytes, at most %d", n, r.limit)
	}
	if n < minFrameSize {
		return Envelope{}, newFrameError(FaultTruncated, "%d bytes are no frame", n)
	}
	frame, err := r.read(n)
	if err != nil {
		return Envelope{}, err
	}
	if frame[0] != Version {
		return Envelope{}, newFrameError(FaultVersion, "version %d, want %d", frame[0], Version)
	}
	return DecodeEnvelope(frame[1:])
}

// read reads n bytes. The buffer grows as bytes arrive, so that a sender that
// announces a long frame without sending it occupies no memory.
func (r *Reader) read(n int) ([]byte, error) {
	if cap(r.buf) > maxRetainedBuffer {
		r.buf = nil
	}
	have := 0
	for have < n {
		if have == cap(r.buf) {
			grown := make([]byte, min(n, max(initialBufferSize, 2*cap(r.buf))))
			copy(grown, r.buf[:have])
			r.buf = grown
		}
		want := min(n, cap(r.buf))
		got, err := io.ReadFull(r.r, r.buf[have:want:want])
		have += got
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, truncatedError(err)
		}
	}
	return r.buf[:n], nil
}

// truncatedError converts an end of input within a frame to a *FrameError.
func truncatedError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return newFrameError(FaultTruncated, "the connection ended inside a frame")
	}
	return err
}
