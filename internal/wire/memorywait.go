package wire

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// memoryWaitCallID is the call ID of the frames that a server sends while it waits for
	// memory. No call has this ID, so a client of any release discards them.
	memoryWaitCallID = 0
	// memoryWaitInterval is the time between these frames. It is below the time in which a
	// client expects the answer to a probe.
	memoryWaitInterval = 100 * time.Millisecond
)

// reserveMemory reserves n bytes in the memory budget, except for small frames. While it
// waits, nothing is read from the connection, so the client is told that it is not silent.
func (sc *serverConn) reserveMemory(n int) (int64, error) {
	if n <= maxUnreservedBytes {
		return 0, nil
	}
	size := int64(n)
	if sc.server.memoryBudget.TryAcquire(size) {
		return size, nil
	}
	ctx, cancel := context.WithTimeout(sc.ctx, frameTimeout)
	defer cancel()
	go sc.sendKeepalives(ctx.Done())
	if err := sc.server.memoryBudget.Acquire(ctx, size); err != nil {
		return 0, err
	}
	return size, nil
}

// sendKeepalives sends frames that the client discards, until done is closed.
func (sc *serverConn) sendKeepalives(done <-chan struct{}) {
	ticker := time.NewTicker(memoryWaitInterval)
	defer ticker.Stop()
	for {
		sc.respond(sc.ctx, api.Frame{CallId: memoryWaitCallID, Method: api.MethodKeepalive}, &api.Empty{}, nil, func() {})
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}
