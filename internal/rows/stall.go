package rows

import (
	"context"
	"fmt"
	"time"
)

// maxTransferTime bounds a read whose response arrives in parts without a long pause.
const maxTransferTime = 15 * time.Second

// errStalled is the cause of a context that WithStallTimeout has ended.
var errStalled = fmt.Errorf("no part of the response arrived in time: %w", context.DeadlineExceeded)

// progressKey is the key of the function that ReportProgress calls.
type progressKey struct{}

// ReportProgress is called by a Store when a part of the response to a read has arrived.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// WithStallTimeout returns a context for a read. It ends when the first part of the response
// has not arrived after first, or a further one after stall. The time of the whole transfer
// depends on the amount of data and on the link, so a limit for it would end each try of a
// large read on a narrow link. onPart, if not nil, is called with each part.
func WithStallTimeout(ctx context.Context, first, stall time.Duration, onPart func()) (context.Context, context.CancelFunc) {
	ctx, stopTotal := context.WithTimeout(ctx, first+maxTransferTime)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(errStalled) })
	report := func() {
		if timer.Stop() { // otherwise the context has ended
			timer.Reset(stall)
		}
		if onPart != nil {
			onPart()
		}
	}
	return context.WithValue(ctx, progressKey{}, report), func() {
		timer.Stop()
		cancel(context.Canceled)
		stopTotal()
	}
}
