package cellnode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Intervals between checks during a stop.
const (
	acceptQueuePoll       = time.Millisecond
	closedConnectionsPoll = 5 * time.Millisecond
)

// maxAcceptWait limits the time for accepting connections during a stop. The load balancer sends
// no new ones by then.
const maxAcceptWait = 500 * time.Millisecond

// firstRequestWait is the time after the end of accepting for which connections are kept that
// have received nothing: their callers may be about to send a request.
const firstRequestWait = 500 * time.Millisecond

// callerServer serves callers and responds to every request that it reads.
// http.Server.Shutdown alone closes a connection without a response if it reads a request
// after the shutdown has begun, and http.Server.SetKeepAlivesEnabled if a request has arrived
// that it has not parsed.
type callerServer struct {
	server      *http.Server
	limiter     *connlimit.Limiter
	listener    net.Listener
	served      chan struct{} // closed when no more connections are accepted
	connections atomic.Int64  // open connections
	// endRequests ends the contexts of all requests, also of those that are still to be read.
	endRequests context.CancelCauseFunc
}

func newCallerServer(s *http.Server, l *connlimit.Limiter) *callerServer {
	requests, end := context.WithCancelCause(context.Background())
	c := &callerServer{server: s, limiter: l, served: make(chan struct{}), endRequests: end}
	s.BaseContext = func(net.Listener) context.Context { return requests }
	s.ConnState = c.countConnection
	l.Install(s)
	return c
}

func (c *callerServer) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.connections.Add(-1)
	}
}

// start listens on an address and serves connections until stop is called.
func (c *callerServer) start(address string) error {
	l, err := c.limiter.Listen(address)
	if err != nil {
		return err
	}
	c.serve(l)
	return nil
}

func (c *callerServer) serve(l net.Listener) {
	c.listener = l
	go func() {
		defer close(c.served)
		_ = c.server.Serve(c.limiter.Listener(l)) // ends when stop closes the listener
	}()
}

// stop stops accepting connections, closes idle and stalled ones and waits until each of the
// others is closed after its response, at most until ctx ends. Callers may go on using open
// connections meanwhile, until their requests are ended after answerWithin. It returns the
// connections that are cut.
func (c *callerServer) stop(ctx context.Context, answerWithin time.Duration) (connlimit.Unfinished, error) {
	endRequests := time.AfterFunc(answerWithin, func() {
		c.endRequests(errkind.New(errkind.ShuttingDown, "", "the node is stopping"))
	})
	defer endRequests.Stop()
	c.acceptPending(ctx)
	_ = c.listener.Close()
	<-c.served
	firstRequestsUntil := time.Now().Add(firstRequestWait)
	for c.connections.Load() > 0 && clock.Sleep(ctx, closedConnectionsPoll) {
		c.limiter.CloseIdle(time.Now().After(firstRequestsUntil))
		c.limiter.CloseStalled()
	}
	return c.limiter.Unfinished(), c.server.Shutdown(ctx)
}

// acceptPending waits until the connections are accepted that the system has established, because
// closing the listener resets them. Callers that keep coming can't delay the stop for long.
func (c *callerServer) acceptPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptWait)
	defer cancel()
	for connlimit.Pending(c.listener) && clock.Sleep(ctx, acceptQueuePoll) {
	}
}
