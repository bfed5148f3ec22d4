package cellnode

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
)

// silencePolicy ends calls on a silent connection early enough that a caller, who waits for
// a few seconds, is still answered after a second try.
var silencePolicy = wire.SilencePolicy{ProbeAfter: 300 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond}

func (n *Node) recordSilentPeer(s wire.SilentConn) {
	n.metrics.silentTotal.WithLabelValues("node_" + s.Class).Inc()
	event.PeerSilent.Log(n.logger, "address", s.Address, "class", s.Class,
		"age_ms", s.Age.Milliseconds(), "silence_ms", s.Silence.Milliseconds(), "calls", s.Calls)
}
