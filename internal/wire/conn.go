package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// errGoodbye is why a connection ended that the server asked to end.
var errGoodbye = errors.New("the node is stopping")

// errClosed is the cause of calls that end because the client was closed.
var errClosed = errors.New("the connection was closed")

// errDropped is the cause of calls whose connection was given up.
var errDropped = errors.New("the other node did not answer on the connection")

// traffic counts bytes.
type traffic struct{ in, out atomic.Int64 }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// clientConn is one connection of a client. Its calls share the connection; each
// waits for the frame with its own call ID.
type clientConn struct {
	conn    net.Conn
	writing chan struct{} // holds one token while nothing is being written

	mu      sync.Mutex
	pending map[int]chan api.Frame
	nextID  int
	closing bool          // the server asked to end the connection
	err     error         // why the connection ended
	done    chan struct{} // closed when err is set
}

func newClientConn(c net.Conn) *clientConn {
	cc := &clientConn{
		conn:    c,
		writing: make(chan struct{}, 1),
		pending: map[int]chan api.Frame{},
		done:    make(chan struct{}),
	}
	cc.writing <- struct{}{}
	return cc
}

// fail ends the connection and all calls that wait on it.
func (cc *clientConn) fail(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	cc.err = err
	close(cc.done)
	_ = cc.conn.Close()
}

// broken reports whether the connection takes no calls any more.
func (cc *clientConn) broken() bool {
	cc.mu.Lock()
	closing := cc.closing
	cc.mu.Unlock()
	if closing {
		return true
	}
	select {
	case <-cc.done:
		return true
	default:
		return false
	}
}

// readLoop delivers responses to their calls until the connection ends.
func (cc *clientConn) readLoop() {
	for {
		if err := cc.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			cc.fail(err)
			return
		}
		f, err := readFrame(cc.conn)
		if err != nil {
			cc.fail(err)
			return
		}
		if isGoodbye(&f) {
			cc.finish()
			continue
		}
		cc.deliver(f)
	}
}

// finish ends the connection once no call waits for a response. The server goes on
// to answer the calls that were on their way, so that none has an unknown outcome.
func (cc *clientConn) finish() {
	cc.mu.Lock()
	cc.closing = true
	cc.mu.Unlock()
	cc.endIfIdle()
}

// endIfIdle ends a connection that is closing and on which no call waits.
func (cc *clientConn) endIfIdle() {
	cc.mu.Lock()
	idle := cc.closing && len(cc.pending) == 0
	cc.mu.Unlock()
	if idle {
		cc.fail(errGoodbye)
	}
}

// deliver hands a frame to the call with its ID. A frame whose call has ended is
// dropped.
func (cc *clientConn) deliver(f api.Frame) {
	cc.mu.Lock()
	defer cc.mu.Unlock() // the connection must not count as idle before ch has the frame
	ch := cc.pending[f.CallId]
	delete(cc.pending, f.CallId)
	if ch != nil && f.Kind != api.FrameKindRequest {
		ch <- f
	}
}

// register adds a call and returns its ID, which is never used again on this
// connection.
func (cc *clientConn) register() (int, chan api.Frame, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return 0, nil, errkind.Wrap(cc.err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	if cc.closing {
		return 0, nil, errkind.Wrap(errGoodbye, errkind.OwnerUnavailable, "", "the connection takes no more calls")
	}
	if len(cc.pending) >= maxPendingCalls {
		return 0, nil, errkind.New(errkind.Overloaded, "", "%d calls wait on one connection", maxPendingCalls)
	}
	cc.nextID++
	ch := make(chan api.Frame, 1)
	cc.pending[cc.nextID] = ch
	return cc.nextID, ch, nil
}

func (cc *clientConn) unregister(id int) {
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.mu.Unlock()
	cc.endIfIdle()
}

// roundTrip sends a request and waits for its response.
func (cc *clientConn) roundTrip(ctx context.Context, method api.Method, payload []byte) (api.Frame, error) {
	id, ch, err := cc.register()
	if err != nil {
		return api.Frame{}, err
	}
	defer cc.unregister(id)
	request := api.Frame{CallId: id, Kind: api.FrameKindRequest, Method: method, Payload: payload, TimeoutMs: timeoutMs(ctx)}
	frame, err := encodeMessage(&request)
	if err != nil {
		return api.Frame{}, err
	}
	if err := cc.write(ctx, frame); err != nil {
		return api.Frame{}, err
	}
	return cc.await(ctx, ch, method)
}

// await waits for the response of a call whose request has been written.
func (cc *clientConn) await(ctx context.Context, ch chan api.Frame, method api.Method) (api.Frame, error) {
	select {
	case f := <-ch:
		return cc.accept(f, method)
	case <-ctx.Done():
		return api.Frame{}, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response to %s in time", method)
	case <-cc.done:
	}
	select { // the response may have arrived just before the connection ended
	case f := <-ch:
		return cc.accept(f, method)
	default:
		return api.Frame{}, errkind.Wrap(cc.err, errkind.OutcomeUnknown, "", "the connection ended during %s", method)
	}
}

// accept checks that a response is for the method that was called.
func (cc *clientConn) accept(f api.Frame, method api.Method) (api.Frame, error) {
	if f.Method != method {
		err := errkind.New(errkind.ProtocolMismatch, "method", "response to %q for a call of %q", f.Method, method)
		cc.fail(err)
		return api.Frame{}, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the response belongs to another call")
	}
	return f, nil
}

// write sends a frame. Until it holds the token nothing has been sent, so ending
// there is certain; afterwards any failure leaves the outcome unknown.
func (cc *clientConn) write(ctx context.Context, frame []byte) error {
	select {
	case <-cc.writing:
	case <-ctx.Done():
		return notSent(ctx.Err())
	case <-cc.done:
		return errkind.Wrap(cc.err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	defer func() { cc.writing <- struct{}{} }()
	if ctx.Err() != nil {
		return notSent(ctx.Err())
	}
	if err := cc.conn.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		cc.fail(err)
		return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	if _, err := cc.conn.Write(frame); err != nil {
		cc.fail(err)
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "the connection ended while the call was sent")
	}
	return nil
}

// notSent describes a call whose context ended before anything was sent.
func notSent(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "", "the deadline passed before the call was sent")
	}
	return errkind.Wrap(err, errkind.Canceled, "", "the call was canceled before it was sent")
}

// timeoutMs returns the time left in ctx, at least 1 ms, and 0 for no deadline.
func timeoutMs(ctx context.Context) int {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, int(time.Until(deadline)/time.Millisecond))
}
