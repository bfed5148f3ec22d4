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

// errGoAway is the cause of errors on a connection that was closed at the server's request.
var errGoAway = errors.New("the node is stopping")

// errClosed is the cause of errors on a connection that Client.Close closed.
var errClosed = errors.New("the connection was closed")

// errSilent is the cause of errors on a connection that was closed because it was silent.
var errSilent = errors.New("the other node did not answer on the connection")

// byteCounters counts the bytes received and sent.
type byteCounters struct{ in, out atomic.Int64 }

// readTracker holds when bytes last arrived on a connection.
type readTracker struct {
	openedAt time.Time
	lastRead atomic.Int64 // nanoseconds since openedAt
}

func (r *readTracker) record() { r.lastRead.Store(int64(time.Since(r.openedAt))) }

func (r *readTracker) last() time.Time { return r.openedAt.Add(time.Duration(r.lastRead.Load())) }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *byteCounters
	reads    *readTracker // nil if not needed
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.in.Add(int64(n))
	if c.reads != nil && n > 0 {
		c.reads.record()
	}
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.out.Add(int64(n))
	return n, err
}

// clientConn is one connection of a client. It multiplexes calls: each call waits for
// the frame with its call ID.
type clientConn struct {
	conn     net.Conn
	addr     string
	reads    *readTracker
	policy   SilencePolicy
	link     *linkMonitor
	onSilent func(SilentConn) // called when the connection is closed as silent
	// verify starts to open a second connection because the probe sent at probedAt has no answer.
	verify     func(probedAt time.Time)
	writeToken chan struct{} // holds a token while no call is writing

	mu              sync.Mutex
	silence         silenceDetector
	check           *time.Timer // runs checkSilence
	silenceReported bool        // the connection is being closed as silent
	uploading       bool        // a large frame is being written
	pending         map[int]chan api.Frame
	sent            sentRequests // those that the other node answers at once
	nextID          int
	closing         bool          // the server requested that the connection be closed
	err             error         // why the connection ended
	done            chan struct{} // closed when err is set
}

func newClientConn(c net.Conn, addr string, reads *readTracker, policy SilencePolicy, link *linkMonitor, onSilent func(SilentConn)) *clientConn {
	cc := &clientConn{
		conn:       c,
		addr:       addr,
		reads:      reads,
		policy:     policy,
		link:       link,
		onSilent:   onSilent,
		silence:    silenceDetector{policy: policy},
		writeToken: make(chan struct{}, 1),
		pending:    map[int]chan api.Frame{},
		done:       make(chan struct{}),
	}
	cc.writeToken <- struct{}{}
	return cc
}

// closeWithError closes the connection, which ends all its pending calls.
func (cc *clientConn) closeWithError(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	cc.err = err
	close(cc.done)
	if cc.check != nil {
		cc.check.Stop()
	}
	_ = cc.conn.Close()
}

// refusesCalls reports whether the server asked for the end of the connection and the
// connection has not ended. The server process then still runs.
func (cc *clientConn) refusesCalls() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closing && cc.err == nil
}

// goAwayError returns the error of a call that was not sent because the server is
// stopping.
func goAwayError() error {
	return errkind.Wrap(errGoAway, errkind.OwnerUnavailable, "", "the connection accepts no more calls")
}

// unusable reports whether the connection accepts no more calls.
func (cc *clientConn) unusable() bool {
	cc.mu.Lock()
	closing := cc.closing
	cc.mu.Unlock()
	return closing || cc.ended()
}

func (cc *clientConn) ended() bool {
	select {
	case <-cc.done:
		return true
	default:
		return false
	}
}

// readLoop reads responses and delivers them to their calls until the connection is
// closed.
func (cc *clientConn) readLoop() {
	for {
		if err := cc.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout)); err != nil {
			cc.closeWithError(err)
			return
		}
		f, err := readFrame(cc.conn)
		if err != nil {
			cc.closeWithError(err)
			return
		}
		if isGoAway(&f) {
			cc.closeWhenIdle()
			continue
		}
		cc.deliver(f)
	}
}

// closeWhenIdle closes the connection once no calls are pending. Until then the server
// still answers calls in transit, so that none has an unknown outcome.
func (cc *clientConn) closeWhenIdle() {
	cc.mu.Lock()
	cc.closing = true
	cc.mu.Unlock()
	cc.closeIfIdle()
}

// closeIfIdle closes a connection that is closing and has no pending calls.
func (cc *clientConn) closeIfIdle() {
	cc.mu.Lock()
	idle := cc.closing && len(cc.pending) == 0
	cc.mu.Unlock()
	if idle {
		cc.closeWithError(errGoAway)
	}
}

// deliver passes a frame to the call with its call ID. It discards a frame whose call
// has ended.
func (cc *clientConn) deliver(f api.Frame) {
	cc.mu.Lock()
	// The lock is held until ch has the frame, so that closeIfIdle does not close the
	// connection before.
	defer cc.mu.Unlock()
	now := time.Now()
	if sentAt, ok := cc.sent.take(f.CallId); ok {
		cc.link.answered(cc.addr, now.Sub(sentAt), now)
	} else {
		cc.link.received(cc.addr, now)
	}
	ch := cc.pending[f.CallId]
	delete(cc.pending, f.CallId)
	if !cc.silence.frameReceived(now, len(cc.pending) > 0 || cc.uploading) && cc.check != nil {
		cc.check.Stop()
	}
	if ch != nil && f.Kind != api.FrameKindRequest {
		ch <- f
	}
}

// registerCall adds a pending call and returns its call ID, which is not reused on this
// connection.
func (cc *clientConn) registerCall() (int, chan api.Frame, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return 0, nil, errkind.Wrap(cc.err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	if cc.closing {
		return 0, nil, goAwayError()
	}
	if len(cc.pending) >= maxPendingCalls {
		return 0, nil, errkind.New(errkind.Overloaded, "", "%d calls are pending on the connection", maxPendingCalls)
	}
	cc.nextID++
	ch := make(chan api.Frame, 1)
	cc.pending[cc.nextID] = ch
	cc.checkIn(cc.silence.requestSent(time.Now()))
	return cc.nextID, ch, nil
}

// recordSent records when a request is sent, if the other node answers its method at once, so
// that the answer gives a sample of the round trip.
func (cc *clientConn) recordSent(id int, method api.Method) {
	if !answeredAtOnce(method) {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.sent.add(id, time.Now())
}

func (cc *clientConn) unregisterCall(id int) {
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.mu.Unlock()
	cc.closeIfIdle()
}

// roundTrip sends a request and waits for its response.
func (cc *clientConn) roundTrip(ctx context.Context, method api.Method, payload []byte) (api.Frame, error) {
	id, ch, err := cc.registerCall()
	if err != nil {
		return api.Frame{}, err
	}
	defer cc.unregisterCall(id)
	cc.recordSent(id, method)
	request := api.Frame{CallId: id, Kind: api.FrameKindRequest, Method: method, Payload: payload, TimeoutMs: timeoutMs(ctx)}
	frame, err := encodeMessage(&request)
	if err != nil {
		return api.Frame{}, err
	}
	if err := cc.writeFrame(ctx, frame); err != nil {
		return api.Frame{}, err
	}
	return cc.awaitResponse(ctx, ch, method)
}

// awaitResponse waits for the response to a written request.
func (cc *clientConn) awaitResponse(ctx context.Context, ch chan api.Frame, method api.Method) (api.Frame, error) {
	select {
	case f := <-ch:
		return cc.checkResponse(f, method)
	case <-ctx.Done():
		return api.Frame{}, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response to %s in time", method)
	case <-cc.done:
	}
	select { // the response may have arrived just before the connection ended
	case f := <-ch:
		return cc.checkResponse(f, method)
	default:
		return api.Frame{}, errkind.Wrap(cc.err, errkind.OutcomeUnknown, "", "the connection ended during %s", method)
	}
}

// checkResponse checks that a response is for the method that was called.
func (cc *clientConn) checkResponse(f api.Frame, method api.Method) (api.Frame, error) {
	if f.Method != method {
		err := errkind.New(errkind.ProtocolMismatch, "method", "response to %q for a call of %q", f.Method, method)
		cc.closeWithError(err)
		return api.Frame{}, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the response belongs to another call")
	}
	return f, nil
}

// writeFrame sends a frame. The error has the kind outcome_unknown only if the write
// itself failed or was not complete in time; any other error means that nothing was sent.
func (cc *clientConn) writeFrame(ctx context.Context, frame []byte) error {
	select {
	case <-cc.writeToken:
	case <-ctx.Done():
		return notSentError(ctx.Err())
	case <-cc.done:
		return errkind.Wrap(cc.err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	if ctx.Err() != nil {
		cc.writeToken <- struct{}{}
		return notSentError(ctx.Err())
	}
	if len(frame) > maxQuickWriteBytes {
		return cc.writeLargeFrame(ctx, frame)
	}
	return cc.writeAndReturnToken(frame)
}

// writeAndReturnToken writes a frame for a caller that holds the write token.
func (cc *clientConn) writeAndReturnToken(frame []byte) error {
	defer func() { cc.writeToken <- struct{}{} }()
	if err := cc.conn.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		cc.closeWithError(err)
		return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the connection ended before the call was sent")
	}
	if err := cc.write(frame); err != nil {
		cc.closeWithError(err)
		return errkind.Wrap(cc.err, errkind.OutcomeUnknown, "", "the connection ended while the call was sent")
	}
	return nil
}

// notSentError returns the error of a call whose context ended before anything was sent.
func notSentError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "", "the deadline passed before the call was sent")
	}
	return errkind.Wrap(err, errkind.Canceled, "", "the call was canceled before it was sent")
}

// timeoutMs returns the remaining time of ctx, at least 1 ms, or 0 without a deadline.
func timeoutMs(ctx context.Context) int {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, int(time.Until(deadline)/time.Millisecond))
}
