package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const lengthBytes = 4

// readLength reads the length prefix of a frame and checks it against limit.
func readLength(r io.Reader, limit int) (int, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > uint32(limit) {
		return 0, errkind.New(errkind.FrameTooLarge, "frame", "%d bytes, limit %d", n, limit)
	}
	if n == 0 {
		return 0, errkind.New(errkind.ProtocolMismatch, "frame", "the frame is empty")
	}
	return int(n), nil
}

// readBody reads n bytes. It allocates memory as the bytes arrive, so that a peer that
// announces a large frame and sends nothing uses little memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	if n <= readChunkBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var buf bytes.Buffer
	buf.Grow(readChunkBytes)
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// readMessage reads one length-prefixed message into out.
func readMessage(r io.Reader, limit int, out msgp.Unmarshaler) error {
	n, err := readLength(r, limit)
	if err != nil {
		return err
	}
	body, err := readBody(r, n)
	if err != nil {
		return err
	}
	return decode(body, out)
}

// decode decodes a body into out, without trailing bytes.
func decode(body []byte, out msgp.Unmarshaler) error {
	rest, err := out.UnmarshalMsg(body)
	if err != nil {
		return errkind.Wrap(err, errkind.ProtocolMismatch, "frame", "malformed message")
	}
	if len(rest) != 0 {
		return errkind.New(errkind.ProtocolMismatch, "frame", "%d bytes after the message", len(rest))
	}
	return nil
}

// readFrame reads and validates one api.Frame.
func readFrame(r io.Reader) (api.Frame, error) {
	var f api.Frame
	if err := readMessage(r, MaxFrameBytes, &f); err != nil {
		return api.Frame{}, err
	}
	return f, checkFrame(&f)
}

// checkFrame rejects frames with an unknown kind, or a negative call ID or timeout, which
// no release sends.
func checkFrame(f *api.Frame) error {
	switch f.Kind {
	case api.FrameKindRequest, api.FrameKindResponse, api.FrameKindError:
	default:
		return errkind.New(errkind.ProtocolMismatch, "kind", "unknown frame kind %q", f.Kind)
	}
	if f.CallId < 0 || f.TimeoutMs < 0 {
		return errkind.New(errkind.ProtocolMismatch, "frame", "negative call ID or timeout")
	}
	return nil
}

// encodeMessage returns the length prefix and the encoded message.
func encodeMessage(in msgp.Marshaler) ([]byte, error) {
	out := make([]byte, lengthBytes, 256)
	out, err := in.MarshalMsg(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	n := len(out) - lengthBytes
	if n > MaxFrameBytes {
		return nil, errkind.New(errkind.FrameTooLarge, "frame", "%d bytes, limit %d", n, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(out, uint32(n))
	return out, nil
}

// Decode decodes the payload of a request into in. The error for a malformed payload is
// invalid_argument.
func Decode(payload []byte, in msgp.Unmarshaler) error {
	if _, err := in.UnmarshalMsg(payload); err != nil {
		return errkind.Wrap(err, errkind.InvalidArgument, "payload", "malformed message")
	}
	return nil
}
