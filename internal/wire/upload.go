package wire

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// The server answers a probe only after it has read the frames before it. So a connection is
// not probed while a large frame is written, and only later once it is written.
const (
	maxQuickWriteBytes = 64 << 10 // size of the largest frame that a slow link transfers well within a probe
	minTransferRate    = 1 << 20  // bytes a second of the slowest link
	// sendBufferBytes limits what the operating system holds of a frame. It accepts more only
	// once a good part of its buffer is free, so with a large buffer a peer that takes a frame
	// steadily would seem to take nothing for seconds.
	sendBufferBytes = 64 << 10
)

// limitSendBuffer limits the send buffer of a TCP connection.
func limitSendBuffer(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetWriteBuffer(sendBufferBytes)
}

// writeLargeFrame writes a frame for a caller that holds the write token. If ctx ends before,
// the write goes on, because the connection is unusable after a part of a frame.
func (cc *clientConn) writeLargeFrame(ctx context.Context, frame []byte) error {
	written := make(chan error, 1)
	go func() { written <- cc.writeAndReturnToken(frame) }()
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "the call was not sent completely in time")
	}
}

// write writes a frame. It writes a large one in parts, so that a peer that takes it slowly
// can be told from one that takes nothing.
func (cc *clientConn) write(frame []byte) error {
	if len(frame) <= maxQuickWriteBytes {
		_, err := cc.conn.Write(frame)
		return err
	}
	cc.uploadStarted()
	defer cc.largeFrameWritten(len(frame))
	for part := range slices.Chunk(frame, maxQuickWriteBytes) {
		if _, err := cc.conn.Write(part); err != nil {
			return err
		}
		cc.uploadProgressed()
	}
	return nil
}

func (cc *clientConn) uploadStarted() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.uploading = true
	if cc.err == nil {
		cc.checkIn(cc.silence.uploadProgressed(time.Now()))
	}
}

// uploadProgressed records that the operating system accepted a part of a large frame.
func (cc *clientConn) uploadProgressed() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err == nil {
		cc.checkIn(cc.silence.uploadProgressed(time.Now()))
	}
}

// largeFrameWritten allows for the time until a frame of n bytes has arrived.
func (cc *clientConn) largeFrameWritten(n int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.uploading = false
	if cc.err == nil {
		cc.checkIn(cc.silence.largeFrameSent(time.Now(), time.Duration(n)*time.Second/minTransferRate))
	}
}
