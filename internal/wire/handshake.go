package wire

import (
	"net"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Identity is what a node sends about itself in the handshake.
type Identity struct {
	Node        string
	Incarnation string
	// Supported protocol versions; ProtocolMin and ProtocolMax if 0.
	MinVersion, MaxVersion int
}

func (id Identity) hello() *api.Hello {
	h := &api.Hello{Node: id.Node, Incarnation: id.Incarnation, MinVersion: id.MinVersion, MaxVersion: id.MaxVersion}
	if h.MaxVersion == 0 {
		h.MinVersion, h.MaxVersion = ProtocolMin, ProtocolMax
	}
	return h
}

// exchangeHello exchanges the api.Hello frames within the handshake timeout and returns
// the protocol version to use.
func exchangeHello(c net.Conn, own *api.Hello) (int, error) {
	deadline := time.Now().Add(handshakeTimeout)
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	frame, err := encodeMessage(own)
	if err != nil {
		return 0, err
	}
	if _, err := c.Write(frame); err != nil {
		return 0, err
	}
	var peer api.Hello
	if err := readMessage(c, maxHelloBytes, &peer); err != nil {
		return 0, err
	}
	if peer.Refusal != "" {
		return 0, errkind.New(errkind.ConnectionLimit, "", "%s", peer.Refusal)
	}
	version, err := commonVersion(own, &peer)
	if err != nil {
		return 0, err
	}
	return version, c.SetDeadline(time.Time{})
}

// commonVersion returns the highest protocol version that both sides support.
func commonVersion(own, peer *api.Hello) (int, error) {
	low := max(own.MinVersion, peer.MinVersion)
	high := min(own.MaxVersion, peer.MaxVersion)
	if low < 1 || low > high {
		return 0, errkind.New(errkind.ProtocolMismatch, "version",
			"node %q supports protocol versions %d to %d, this node %d to %d",
			peer.Node, peer.MinVersion, peer.MaxVersion, own.MinVersion, own.MaxVersion)
	}
	return high, nil
}
