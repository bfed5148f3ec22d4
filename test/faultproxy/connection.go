package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// maxDelayedChunks limits the chunks that are buffered per direction of a connection.
const maxDelayedChunks = 64

// connection is a relayed connection: one from the client and one to the target.
type connection struct {
	proxy  *Proxy
	client net.Conn
	ctx    context.Context // canceled when the connection is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	server net.Conn // nil until connected
	closed bool

	silentRequests, silentAnswers atomic.Bool // set by Proxy.SilenceOpen

	countVersion int // of the faults for which answerBytes is counted; used by relayDirection only
	answerBytes  int
}

// connect dials the target and reports success.
func (c *connection) connect(target string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(c.ctx, "tcp", target)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = conn
	if c.closed {
		_ = conn.Close() // the client connection was closed during the dial
	}
	return !c.closed
}

// close closes the connections to the client and to the target.
func (c *connection) close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.client.Close() // may be closed already
	if c.server != nil {
		_ = c.server.Close()
	}
}

// chunk is data to be relayed, or the end of a direction.
type chunk struct {
	data       []byte
	err        error     // ends the direction after data
	receivedAt time.Time // when it arrived at the proxy
}

// relayDirection relays one direction until it ends or a fault closes the connection. It
// keeps reading while earlier data is delayed. answers says whether src is the target.
func (c *connection) relayDirection(dst, src net.Conn, answers bool) {
	chunks := make(chan chunk, maxDelayedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { c.readChunks(src, chunks) })
	defer wg.Wait()
	for next := range chunks {
		if !c.forward(dst, next, answers) {
			c.close()
			return
		}
	}
}

// readChunks sends the data read from src to chunks until the direction ends.
func (c *connection) readChunks(src net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, bufferBytes)
		n, err := src.Read(buffer)
		select {
		case chunks <- chunk{buffer[:n], err, time.Now()}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// forward relays a chunk, subject to the current faults, and reports whether the
// connection stays open. It holds back the end of a direction while a fault drops the
// data of that direction.
func (c *connection) forward(dst net.Conn, next chunk, answers bool) bool {
	f, _ := c.proxy.currentFaults()
	if delay := f.delay(answers); delay > 0 && !clock.Sleep(c.ctx, time.Until(next.receivedAt.Add(delay))) {
		return false
	}
	if len(next.data) > 0 && !c.write(dst, next.data, answers) {
		return false
	}
	if next.err == nil {
		return true
	}
	if c.silent(answers) {
		<-c.ctx.Done()
		return false
	}
	for changed := c.proxy.faultChangeIfDropped(answers); changed != nil; changed = c.proxy.faultChangeIfDropped(answers) {
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
	if next.err != io.EOF {
		return false
	}
	halfClose(dst)
	return true
}

// write relays data, subject to the current faults, and reports whether the connection
// stays open.
func (c *connection) write(dst net.Conn, data []byte, answers bool) bool {
	f, version := c.proxy.currentFaults()
	if f.CloseOnData {
		return false
	}
	if answers && f.DropAnswers || !answers && f.DropRequests || c.silent(answers) {
		return true
	}
	keep := true
	if answers && f.CutAnswerAfter > 0 {
		data, keep = c.limitAnswer(data, f.CutAnswerAfter, version)
	}
	if _, err := dst.Write(data); err != nil {
		return false
	}
	return keep
}

// silent reports whether a direction was silenced.
func (c *connection) silent(answers bool) bool {
	if answers {
		return c.silentAnswers.Load()
	}
	return c.silentRequests.Load()
}

// halfClose relays the end of one direction.
func halfClose(dst net.Conn) {
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails if the other side has closed the connection
	}
}

// limitAnswer returns the part of data up to the byte at which answers are cut, and
// reports whether the connection stays open after it.
func (c *connection) limitAnswer(data []byte, after, version int) ([]byte, bool) {
	if c.countVersion != version {
		c.countVersion, c.answerBytes = version, 0
	}
	left := after - c.answerBytes
	if len(data) < left {
		c.answerBytes += len(data)
		return data, true
	}
	return data[:left], false
}
