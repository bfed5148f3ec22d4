package hostpool

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// ErrNotSent is the error of a request that has waited too long for a connection in use.
var ErrNotSent = errors.New("no connection was free in time")

type connWaitKey struct{}

// WithConnWait returns a context whose requests fail with ErrNotSent if they still wait for
// a connection in use after d. One that opens a connection goes on. A d of 0 stands for no
// limit.
func WithConnWait(ctx context.Context, d time.Duration) context.Context {
	if d <= 0 {
		return ctx
	}
	return context.WithValue(ctx, connWaitKey{}, d)
}

// connUse tells how far a request is on its way to a connection.
type connUse struct {
	dials, got, reused atomic.Bool
	giveUp             context.CancelCauseFunc
}

// watch returns the context for a request. It is released with ctx.
func (c *connUse) watch(ctx context.Context) context.Context {
	ctx, c.giveUp = context.WithCancelCause(ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { c.dials.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
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
	return !c.got.Load() && context.Cause(ctx) == ErrNotSent
}
