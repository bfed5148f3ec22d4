package wire

import (
	"context"
	"net"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// goAwayCallID is the call ID of the go-away frame, with which a stopping server asks a
// client to close the connection. No call has this ID, so a release that does not know
// the frame discards it.
const goAwayCallID = 0

func isGoAway(f *api.Frame) bool { return f.CallId == goAwayCallID && f.Kind == api.FrameKindError }

// sendGoAway asks the client to close the connection.
func (sc *serverConn) sendGoAway() {
	err := errkind.New(errkind.ShuttingDown, "", "the node is stopping")
	sc.respond(sc.ctx, api.Frame{CallId: goAwayCallID}, nil, err, func() {})
}

// waitForClientsToClose waits until all clients have closed their connections, or until
// goAwayTimeout has passed or ctx ends. Meanwhile calls in transit are refused as not run;
// closing the connections immediately would leave their outcome unknown.
func (s *Server) waitForClientsToClose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goAwayTimeout)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		s.connLoops.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// handshakeDone records that the handshakes of a connection are complete. If the server
// is already stopping, it asks the client to close the connection.
func (s *Server) handshakeDone(sc *serverConn, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sc.conn = conn
	if s.stopping {
		go sc.sendGoAway()
	}
}

// sendGoAwaysLocked asks all clients to close their connections. s.mu must be held.
func (s *Server) sendGoAwaysLocked() {
	for sc := range s.conns {
		if sc.conn != nil {
			go sc.sendGoAway()
		}
	}
}
