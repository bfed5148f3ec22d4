package hostpool

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// ErrNotSent is the error of a request that has waited too long for a connection.
var ErrNotSent = errors.New("no connection was free in time")

type (
	connWaitKey  struct{}
	sendCheckKey struct{}
)

// WithConnWait returns a context whose requests fail with ErrNotSent if they still wait for
// a connection in use after d. One that opens a connection goes on. A d of 0 stands for no
// limit.
func WithConnWait(ctx context.Context, d time.Duration) context.Context {
	if d <= 0 {
		return ctx
	}
	return context.WithValue(ctx, connWaitKey{}, d)
}

// WithSendCheck returns a context whose requests fail with ErrNotSent if mayBeSent returns false
// once they have got a connection, however long they have waited for it.
func WithSendCheck(ctx context.Context, mayBeSent func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, mayBeSent)
}

// connUse tells how far a request is on its way to a connection.
type connUse struct {
	dials, got, reused atomic.Bool
	tooLate            atomic.Bool // the check of WithSendCheck has failed
	giveUp             context.CancelCauseFunc
}

// watch returns the context for a request. It is released with ctx.
func (c *connUse) watch(ctx context.Context) context.Context {
	mayBeSent, checked := ctx.Value(sendCheckKey{}).(func() bool)
	ctx, c.giveUp = context.WithCancelCause(ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { c.dials.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			if checked && !mayBeSent() {
				// A canceled context does not keep net/http from writing the request.
				c.tooLate.Store(true)
				_ = info.Conn.Close()
				return
			}
			c.reused.Store(info.Reused)
			c.got.Store(true)
		},
	})
}

// giveUpIfWaiting cancels a request that waits for a connection which another one uses.
func (c *connUse) giveUpIfWaiting() {
	if !c.dials.Load() && !c.got.Load() {
		c.giveUp(ErrNotSent)
	}
}

// notSent reports whether a request that has failed was given up before it was sent.
func (c *connUse) notSent(ctx context.Context) bool {
	return !c.got.Load() && (c.tooLate.Load() || context.Cause(ctx) == ErrNotSent)
}
