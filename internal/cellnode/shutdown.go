package cellnode

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// Timing of a planned stop.
const (
	unreadyWait     = 2300 * time.Millisecond // from becoming not ready to the shutdown of the servers
	shutdownReserve = 700 * time.Millisecond  // left of the grace time when shutdown ends, before the platform kills the process
)

// phaseTimer measures the phases of a planned stop, which follow each other.
type phaseTimer struct {
	clock   clock.Clock
	began   time.Duration // boot time at which the current phase began
	keyvals []any         // of the log event
}

func newPhaseTimer(c clock.Clock) *phaseTimer { return &phaseTimer{clock: c, began: c.Boot()} }

// end records the duration of the current phase under a key.
func (t *phaseTimer) end(key string) {
	now := t.clock.Boot()
	t.keyvals = append(t.keyvals, key, (now - t.began).Milliseconds())
	t.began = now
}

// shutdown keeps serving until unreadyWait is over so that the load balancer sees that the node
// is not ready, hands the cell over, and completes the calls in progress and those to the
// adviser that the owner still sends.
func (n *Node) shutdown() {
	began := n.clock.Boot()
	phases := newPhaseTimer(n.clock)
	grace := n.settings.GraceTime - shutdownReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.stopping.Store(true)
	advisesUntil := began + grace - advisingReserve
	n.election.Stop(advisesUntil)
	releaseCell(ctx, grace, n.election, n.owner)
	phases.end("release_ms")
	clock.Sleep(ctx, unreadyWait-(n.clock.Boot()-began))
	phases.end("unready_ms")
	cut, err := n.callerServer.stop(ctx)
	if err != nil {
		event.StopTimedOut.Log(n.logger, "err", err)
	}
	phases.end("callers_ms")
	n.adviser.waitIdle(ctx, advisesUntil)
	phases.end("adviser_ms")
	_ = n.readinessServer.Close()
	_ = n.metricsServer.Close()
	_ = n.peerServer.Shutdown(ctx)
	n.peerClient.Close()
	phases.end("peers_ms")
	event.StopEnded.Log(n.logger, append([]any{"in_progress", cut.InProgress, "unread", cut.Unread}, phases.keyvals...)...)
}
