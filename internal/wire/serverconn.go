package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// serverConn is one connection of a server.
type serverConn struct {
	server    *Server
	raw       net.Conn
	conn      net.Conn // raw or the TLS connection over raw; nil before the handshake
	ctx       context.Context
	cancel    context.CancelFunc
	callSlots chan struct{} // one token per running call
	writeMu   sync.Mutex
	usedAt    atomic.Int64 // Unix time of the last request in nanoseconds
}

func newServerConn(s *Server, raw net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	sc := &serverConn{server: s, raw: raw, ctx: ctx, cancel: cancel, callSlots: make(chan struct{}, s.options.MaxCalls)}
	sc.usedAt.Store(time.Now().UnixNano())
	return sc
}

// lastUsed returns when the last request arrived, or when the connection was opened.
func (sc *serverConn) lastUsed() time.Time { return time.Unix(0, sc.usedAt.Load()) }

func (sc *serverConn) close() {
	sc.cancel()
	_ = sc.raw.Close()
}

// serve serves the connection until it is closed. Its running calls are then canceled,
// because their responses can no longer be delivered.
func (sc *serverConn) serve() {
	defer sc.close()
	conn, err := sc.server.handshake(sc.raw)
	if err != nil {
		sc.server.logRefused(sc.raw, err)
		return
	}
	sc.server.handshakeDone(sc, conn)
	for {
		f, reserved, err := sc.readRequest()
		if err != nil {
			if errkind.Is(err, errkind.ProtocolMismatch) || errkind.Is(err, errkind.FrameTooLarge) {
				sc.server.logRefused(sc.raw, err)
			}
			return
		}
		sc.dispatch(f, reserved)
	}
}

// readRequest reads a request frame and returns how many bytes it has reserved in the
// memory budget.
func (sc *serverConn) readRequest() (api.Frame, int64, error) {
	if err := sc.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return api.Frame{}, 0, err
	}
	n, err := readLength(sc.conn, MaxFrameBytes)
	if err != nil {
		return api.Frame{}, 0, err
	}
	sc.usedAt.Store(time.Now().UnixNano())
	reserved, err := sc.reserveMemory(n)
	if err != nil {
		return api.Frame{}, 0, err
	}
	f, err := sc.readFrameBody(n)
	if err != nil {
		sc.server.memoryBudget.Release(reserved)
		return api.Frame{}, 0, err
	}
	return f, reserved, nil
}

func (sc *serverConn) readFrameBody(n int) (api.Frame, error) {
	var f api.Frame
	if err := sc.conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return f, err
	}
	body, err := readBody(sc.conn, n)
	if err != nil {
		return f, err
	}
	if err := decode(body, &f); err != nil {
		return f, err
	}
	if f.Kind != api.FrameKindRequest {
		return f, errkind.New(errkind.ProtocolMismatch, "kind", "frame kind %q from a client", f.Kind)
	}
	return f, checkFrame(&f)
}

// dispatch starts the call of a frame, or refuses it.
func (sc *serverConn) dispatch(f api.Frame, reserved int64) {
	refuse := func(err error) {
		sc.server.memoryBudget.Release(reserved)
		sc.respond(sc.ctx, f, nil, err, func() {})
	}
	if f.Method == api.MethodKeepalive {
		sc.server.memoryBudget.Release(reserved)
		go sc.respond(sc.ctx, f, &api.Empty{}, nil, func() {})
		return
	}
	h := sc.server.handlers[f.Method]
	if h == nil {
		refuse(errkind.New(errkind.ProtocolMismatch, "method", "unknown method %q", f.Method))
		return
	}
	select {
	case sc.callSlots <- struct{}{}:
	default:
		refuse(errkind.New(errkind.Overloaded, "", "%d calls are running on the connection", cap(sc.callSlots)))
		return
	}
	if !sc.server.beginCall() {
		<-sc.callSlots
		refuse(errkind.New(errkind.ShuttingDown, "", "the node is stopping"))
		return
	}
	go sc.serveCall(f, reserved, h)
}

// serveCall runs one call and sends its response.
func (sc *serverConn) serveCall(f api.Frame, reserved int64, h Handler) {
	defer func() {
		sc.server.memoryBudget.Release(reserved)
		sc.server.runningCalls.Done()
	}()
	timeout := defaultCallTimeout
	if f.TimeoutMs > 0 {
		timeout = time.Duration(f.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(sc.ctx, timeout)
	defer cancel()
	out, err := h(ctx, f.Payload)
	// The call slot is released before the peer can read the response, so that a peer
	// with one call at a time is never refused.
	sc.respond(ctx, f, out, err, func() { <-sc.callSlots })
}

// respond sends the response or error of a call. It calls beforeWrite once, immediately before
// the write. A response is encoded only when it can be written, so that those that wait for a
// slow peer take no memory, and not at all once the time of the call is over.
func (sc *serverConn) respond(ctx context.Context, request api.Frame, out msgp.Marshaler, err error, beforeWrite func()) {
	sc.writeMu.Lock()
	defer sc.writeMu.Unlock()
	beforeWrite()
	if err == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "the caller does not wait for the response to %s any more", request.Method)
	}
	frame, encErr := encodeResponse(request, out, err)
	if encErr != nil {
		// The call has run, so the outcome of this error must not be not_run.
		e := errkind.Wrap(encErr, errkind.Internal, "", "encode the response to %s", request.Method)
		frame, encErr = encodeResponse(request, nil, e)
	}
	if encErr != nil {
		sc.close()
		return
	}
	sc.writeFrameLocked(frame)
}

func encodeResponse(request api.Frame, out msgp.Marshaler, err error) ([]byte, error) {
	response := api.Frame{CallId: request.CallId, Kind: api.FrameKindResponse, Method: request.Method}
	if err != nil {
		e := errkind.From(err)
		reason := e.Reason
		if cause := e.Unwrap(); cause != nil {
			reason += ": " + cause.Error()
		}
		response.Kind = api.FrameKindError
		out = &api.WireError{Kind: string(e.Kind), Field: e.Field, Reason: reason}
	}
	payload, encErr := out.MarshalMsg(nil)
	if encErr != nil {
		return nil, encErr
	}
	response.Payload = payload
	return encodeMessage(&response)
}

// writeFrameLocked writes a frame. It closes the connection if the peer does not read in time.
// writeMu is held.
func (sc *serverConn) writeFrameLocked(frame []byte) {
	if err := sc.conn.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		sc.close()
		return
	}
	if _, err := sc.conn.Write(frame); err != nil {
		sc.close()
	}
}
