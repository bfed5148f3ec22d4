// Package wire carries msgpack messages between nodes over TCP.
//
// A frame is a 4-byte big-endian length followed by one msgpack api.Frame. The
// first frame of each side is an api.Hello instead; both sides use the highest
// protocol version that they have in common. Requests and responses are matched
// by call ID, so a late response never reaches another call. A server that stops
// asks its clients to end the connections, so that no call is cut off on its way.
package wire

import "time"

// Range of protocol versions that this release speaks.
const (
	ProtocolMin = 1
	ProtocolMax = 1
)

// Bounds of a connection.
const (
	// MaxFrameBytes is the largest frame, its length prefix not counted.
	MaxFrameBytes = 8 << 20
	// maxHelloBytes bounds the first frame, which comes from a peer that is not
	// known yet.
	maxHelloBytes = 4 << 10
	// maxIdleBytes is the largest frame that is read without a reservation from
	// the memory budget of the server, so that pings pass when it is used up.
	maxIdleBytes = 4 << 10
	// defaultMaxInflightBytes bounds the requests that a server holds at once.
	defaultMaxInflightBytes = 64 << 20
	defaultMaxCalls         = 256 // running calls of one connection
	defaultMaxConns         = 128 // connections of one server
	maxPendingCalls         = 1024
	readChunkBytes          = 64 << 10
)

// Time bounds of a connection.
const (
	handshakeTimeout = 2 * time.Second
	dialTimeout      = 1 * time.Second
	// frameTimeout bounds the transfer of one frame, so that a slow peer does not
	// hold memory for longer.
	frameTimeout = 10 * time.Second
	// goodbyeTimeout bounds the wait for clients to end their connections at the
	// end of a planned stop. A client needs one round trip; one that cannot be
	// reached or is of a release without the goodbye never does.
	goodbyeTimeout = 2 * time.Second
	// idleTimeout closes connections that carry nothing. Members ping each other
	// twice a second.
	idleTimeout = 2 * time.Minute
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 30 * time.Second
	backoffInitial     = 20 * time.Millisecond
	// backoffMax stays below the ping interval of 500 ms, so that each ping
	// reports a recent attempt to connect.
	backoffMax = 250 * time.Millisecond
)
