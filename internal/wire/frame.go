// Package wire implements the protocol between daemons: length-prefixed
// protobuf messages on yamux streams over TCP or TLS.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message, so that a corrupt or malicious length cannot exhaust memory.
const MaxFrameBytes = 64 << 20

// ErrFrameTooLarge is returned for a length above MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the size limit")

// ErrMalformed is returned for a frame that is not a valid message of the expected type or version.
var ErrMalformed = errors.New("malformed frame")

const bodyChunkBytes = 64 << 10

// WriteFrame writes one message.
func WriteFrame(w io.Writer, m proto.Message) error {
	data := make([]byte, 4, 4+proto.Size(m))
	data, err := proto.MarshalOptions{}.MarshalAppend(data, m)
	if err != nil {
		return fmt.Errorf("marshal frame: %w", err)
	}
	size := len(data) - 4
	if size > MaxFrameBytes {
		return fmt.Errorf("write frame of %d bytes: %w", size, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(data, uint32(size))
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// ReadFrame reads one message of at most maxBytes.
func ReadFrame(r io.Reader, m proto.Message, maxBytes int) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("read frame length: %w", err)
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(maxBytes) {
		return fmt.Errorf("read frame of %d bytes: %w", size, ErrFrameTooLarge)
	}
	release, err := reserveBytes(r, size)
	if err != nil {
		return fmt.Errorf("read frame of %d bytes: %w", size, err)
	}
	defer release()
	data, err := readBody(r, size)
	if err != nil {
		return fmt.Errorf("read frame body of %d bytes: %w", size, err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// readBody reads size bytes. The buffer grows with the bytes that arrive: a
// length without the bytes costs the receiver only one chunk.
func readBody(r io.Reader, size int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(size, bodyChunkBytes)))
	n, err := io.Copy(&body, io.LimitReader(r, size))
	if err == nil && n < size {
		err = io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}

// isProtocolError reports whether the peer violated the protocol; an ended
// link is no such error.
func isProtocolError(err error) bool {
	return errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrMalformed) || errors.Is(err, ErrOverBudget)
}
