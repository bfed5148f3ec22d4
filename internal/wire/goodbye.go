package wire

import (
	"context"
	"net"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// goodbyeID is the call ID of the frame by which a server that stops asks a client
// to end the connection. No call has it, so a release that does not know the frame
// drops it.
const goodbyeID = 0

func isGoodbye(f *api.Frame) bool { return f.CallId == goodbyeID && f.Kind == api.FrameKindError }

// sayGoodbye asks the client to end the connection.
func (sc *serverConn) sayGoodbye() {
	err := errkind.New(errkind.ShuttingDown, "", "the node is stopping")
	sc.respond(api.Frame{CallId: goodbyeID}, nil, err, func() {})
}

// awaitClients waits until all clients have ended their connections, or until the
// goodbye timeout or ctx ends. Until then, calls that were on their way are refused
// as not run; closing at once would leave their outcome unknown.
func (s *Server) awaitClients(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTimeout)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		s.loops.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// established notes that the handshakes of a connection are done.
func (s *Server) established(sc *serverConn, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sc.conn = conn
	if s.stopping {
		go sc.sayGoodbye()
	}
}

// sayGoodbyeLocked asks all clients to end their connections.
func (s *Server) sayGoodbyeLocked() {
	for sc := range s.conns {
		if sc.conn != nil {
			go sc.sayGoodbye()
		}
	}
}
