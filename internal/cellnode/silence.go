package cellnode

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/platform"
)

// silencePolicy ends calls on a silent connection early enough that a caller, who waits for
// a few seconds, is still answered after a second try.
var silencePolicy = wire.SilencePolicy{
	ProbeAfter: 150 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond,
	VerifyAfter: 100 * time.Millisecond, VerifiedTimeout: 250 * time.Millisecond,
}

// newPlatformClient returns a client of a service of the platform, or of the workers, that
// counts silent connections.
func (n *Node) newPlatformClient(service string, o platform.ClientOptions) *platform.Client {
	o.OnSilent = func(address string) {
		n.metrics.silentTotal.WithLabelValues(service).Inc()
		event.PlatformSilent.Log(n.logger, "service", service, "address", address)
	}
	return platform.NewClient(o)
}

func (n *Node) recordSilentPeer(s wire.SilentConn) {
	n.metrics.silentTotal.WithLabelValues("node_" + s.Class).Inc()
	event.PeerSilent.Log(n.logger, s.LogFields()...)
}
