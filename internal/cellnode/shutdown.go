package cellnode

import (
	"context"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/event"
)

// Timing of a planned stop.
const (
	unreadyWait     = 2300 * time.Millisecond // from becoming not ready to the shutdown of the servers
	shutdownReserve = 700 * time.Millisecond  // left of the grace time when shutdown ends, before the platform kills the process
	answerReserve   = 500 * time.Millisecond  // left of the time to stop when requests are ended, for their responses and other nodes
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
// is not ready, hands the cell over, and completes the calls in progress, those to the adviser
// that the owner still sends, and what ended tenures of this node owe the next owner. Callers are
// not delayed by a slow release.
func (n *Node) shutdown() {
	grace := n.settings.GraceTime - shutdownReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	advisesUntil := n.clock.Boot() + grace - advisingReserve
	n.stopping.Store(true)
	n.election.Stop(advisesUntil)
	release := newPhaseTimer(n.clock)
	released := make(chan struct{})
	go func() {
		defer close(released)
		releaseCell(ctx, grace, n.election, n.owner)
		release.end("release_ms")
	}()
	phases := newPhaseTimer(n.clock)
	cut := n.stopCallers(ctx, grace, phases)
	<-released
	phases.end("release_rest_ms")
	n.adviser.waitIdle(ctx, advisesUntil)
	phases.end("adviser_ms")
	n.owner.AwaitSent(ctx)
	phases.end("next_owner_ms")
	_ = n.readinessServer.Close()
	_ = n.metricsServer.Close()
	_ = n.peerServer.Shutdown(ctx)
	n.peerClient.Close()
	phases.end("peers_ms")
	keyvals := []any{"in_progress", cut.InProgress, "unread", cut.Unread}
	event.StopEnded.Log(n.logger, slices.Concat(keyvals, release.keyvals, phases.keyvals)...)
}

// stopCallers stops the server of callers in a stop that must end within the given time. Requests
// that take longer are ended so early that their responses are sent before the process ends.
func (n *Node) stopCallers(ctx context.Context, grace time.Duration, phases *phaseTimer) connlimit.Unfinished {
	began := n.clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, grace-advisingReserve)
	defer cancel()
	answerWithin := grace - answerReserve
	clock.Sleep(ctx, min(unreadyWait, answerWithin))
	phases.end("unready_ms")
	cut, err := n.callerServer.stop(ctx, answerWithin-(n.clock.Boot()-began))
	if err != nil {
		event.StopTimedOut.Log(n.logger, "err", err)
	}
	phases.end("callers_ms")
	return cut
}
