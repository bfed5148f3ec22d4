package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// maxDelayedChunks bounds what is held back per direction of a link.
const maxDelayedChunks = 64

// link is one relayed connection.
type link struct {
	proxy  *Proxy
	client net.Conn
	ctx    context.Context // ends when the link is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	server net.Conn // nil until connected
	closed bool

	version  int // of the faults that answered is counted for; of pump only
	answered int
}

// connect dials the target and reports success.
func (l *link) connect(target string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(l.ctx, "tcp", target)
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server = conn
	if l.closed {
		_ = conn.Close() // closed while it was dialed
	}
	return !l.closed
}

// close closes both connections.
func (l *link) close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.client.Close() // may be closed already
	if l.server != nil {
		_ = l.server.Close()
	}
}

// chunk is data on its way, or the end of a direction.
type chunk struct {
	data []byte
	err  error     // ends the direction after data
	read time.Time // when it arrived at the proxy
}

// pump relays one direction until an end or a fault closes the link. Reading
// goes on while earlier data is delayed.
func (l *link) pump(dst, src net.Conn, answers bool) {
	chunks := make(chan chunk, maxDelayedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.read(src, chunks) })
	defer wg.Wait()
	for c := range chunks {
		if !l.forward(dst, c, answers) {
			l.close()
			return
		}
	}
}

// read passes on what arrives until the end.
func (l *link) read(src net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, bufferBytes)
		n, err := src.Read(buffer)
		select {
		case chunks <- chunk{buffer[:n], err, time.Now()}:
		case <-l.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// forward relays a chunk under the faults and reports whether the link stays
// open.
func (l *link) forward(dst net.Conn, c chunk, answers bool) bool {
	if f, _ := l.proxy.current(); f.Delay > 0 && !clock.Sleep(l.ctx, time.Until(c.read.Add(f.Delay))) {
		return false
	}
	if len(c.data) > 0 && !l.write(dst, c.data, answers) {
		return false
	}
	if c.err == nil {
		return true
	}
	for changed := l.proxy.dropped(answers); changed != nil; changed = l.proxy.dropped(answers) {
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
	if c.err != io.EOF {
		return false
	}
	halfClose(dst)
	return true
}

// write relays data under the faults and reports whether the link stays open.
func (l *link) write(dst net.Conn, data []byte, answers bool) bool {
	f, version := l.proxy.current()
	if f.Cut {
		return false
	}
	if answers && f.DropAnswers || !answers && f.DropRequests {
		return true
	}
	keep := true
	if answers && f.CutAnswerAfter > 0 {
		data, keep = l.untilCut(data, f.CutAnswerAfter, version)
	}
	if _, err := dst.Write(data); err != nil {
		return false
	}
	return keep
}

// halfClose passes the end of one direction on.
func halfClose(dst net.Conn) {
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the other side may have closed
	}
}

// untilCut returns the data to relay before the answer is cut, and whether the
// link stays open after it.
func (l *link) untilCut(data []byte, after, version int) ([]byte, bool) {
	if l.version != version {
		l.version, l.answered = version, 0
	}
	left := after - l.answered
	if len(data) < left {
		l.answered += len(data)
		return data, true
	}
	return data[:left], false
}
