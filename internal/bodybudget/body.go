package bodybudget

import (
	"errors"
	"io"
)

// Sizes of the segments of a body that is being received. Each is twice as large as the one
// before, up to the largest, so that a sender that announces a large body and sends little
// takes little memory.
const (
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 16 << 10
)

// Body is a body that has been received.
type Body struct {
	segments [][]byte
	size     int
}

// Size returns the number of bytes.
func (b *Body) Size() int { return b.size }

// Bytes returns the content. For a large body it makes a copy, so the caller needs a decode
// slot.
func (b *Body) Bytes() []byte {
	switch len(b.segments) {
	case 0:
		return nil
	case 1:
		return b.segments[0]
	}
	joined := make([]byte, 0, b.size)
	for _, s := range b.segments {
		joined = append(joined, s...)
	}
	b.segments = [][]byte{joined}
	return joined
}

// Receive reads a body and charges its memory to c. length is the announced length, or -1
// if it is unknown. The reader limits the size of the body. An error of the budget is of
// kind overloaded; errors of the reader are returned as they are.
func Receive(r io.Reader, length int64, c *Charge) (*Body, error) {
	if err := c.announce(length); err != nil {
		return nil, err
	}
	b := &Body{}
	segment := int64(firstSegmentBytes)
	switch {
	case length < 0:
		segment = UnknownBodyBytes
	case length <= SmallBodyBytes:
		segment = length
	}
	for length < 0 || int64(b.size) < length {
		if length >= 0 {
			segment = min(segment, length-int64(b.size))
		}
		if err := c.Grow(segment); err != nil {
			return nil, err
		}
		complete, err := b.readSegment(r, segment, c)
		if err != nil {
			if refused := c.Evicted(); refused != nil {
				return nil, refused
			}
			return nil, err
		}
		if complete {
			break
		}
		segment = min(2*segment, maxSegmentBytes)
	}
	if length >= 0 && int64(b.size) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return b, c.Complete()
}

// readSegment reads up to n bytes as the next segment. It reports whether the body ended.
func (b *Body) readSegment(r io.Reader, n int64, c *Charge) (bool, error) {
	segment := make([]byte, n)
	filled := 0
	for filled < len(segment) {
		read, err := r.Read(segment[filled:])
		filled += read
		c.Progress(read)
		if errors.Is(err, io.EOF) {
			b.add(segment[:filled])
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	b.add(segment)
	return false, nil
}

func (b *Body) add(segment []byte) {
	if len(segment) > 0 {
		b.segments = append(b.segments, segment)
		b.size += len(segment)
	}
}
