// Package wire implements calls between nodes, as msgpack messages over TCP.
//
// A frame is a 4-byte big-endian length followed by one msgpack api.Frame. The first
// frame of each side is an api.Hello instead; both sides use the highest common
// protocol version. Requests and responses are matched by call ID, so a late response
// never reaches another call. A stopping server asks its clients to close their
// connections, so that no call is interrupted in transit.
package wire

import "time"

// Range of protocol versions that this release supports.
const (
	ProtocolMin = 1
	ProtocolMax = 1
)

// Size limits.
const (
	// MaxFrameBytes is the maximum size of a frame without its length prefix.
	MaxFrameBytes = 8 << 20
	// maxHelloBytes limits the first frame, which comes from a peer that is not yet
	// identified.
	maxHelloBytes = 4 << 10
	// maxUnreservedBytes is the largest frame that is read without a reservation in
	// the server's memory budget, so that pings are served when the budget is
	// exhausted.
	maxUnreservedBytes = 4 << 10
	// defaultMaxInflightBytes limits the memory of requests being read or served.
	defaultMaxInflightBytes = 64 << 20
	defaultMaxCalls         = 256      // running calls of one connection
	defaultMaxConns         = 1024     // connections of one server
	maxPendingCalls         = 1024     // calls of one connection that wait for a response
	readChunkBytes          = 64 << 10 // memory allocated for a body before its bytes arrive, at most
)

// Timeouts.
const (
	handshakeTimeout = 2 * time.Second
	dialTimeout      = 1 * time.Second
	// frameTimeout limits the transfer of one frame, so that a slow peer does not
	// hold memory for longer.
	frameTimeout = 10 * time.Second
	// goAwayTimeout limits the wait for clients to close their connections at the end
	// of a planned stop. A client needs one round trip. An unreachable client, or one
	// of a release without the go-away frame, never closes its connection.
	goAwayTimeout = 2 * time.Second
	// idleTimeout is how long a server keeps a connection without traffic. A client
	// closes it earlier, so that the server does not close it under a call.
	idleTimeout       = 2 * time.Minute
	clientIdleTimeout = idleTimeout / 2
	// defaultCallTimeout limits a call whose context has no deadline.
	defaultCallTimeout = 30 * time.Second
	minDialBackoff     = 20 * time.Millisecond
	// maxDialBackoff is below the ping interval of 500 ms, so that the result of each
	// ping reflects a recent connection attempt.
	maxDialBackoff = 250 * time.Millisecond
)
