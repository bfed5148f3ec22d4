// Package membership maintains the session of this node in the table service,
// tracks the sessions of the other nodes, and determines which incarnations may
// still place work or serve callers.
//
// Each node writes its session row every second and reads the rows of all nodes. A
// node marks the session of another as expired if it has read the row without a gap
// and the row has stayed unchanged for the lease and a margin, on the clock of the
// reading node. The node of an expired session drops it and rejoins with a new
// incarnation. Nodes ping each other twice a second.
//
// A node leads, that is, may place work and renew task leases, while its session
// was written within the lease. In a cell-wide outage of the table service it goes
// on to lead while every other known member reports without a gap that the table
// service is unreachable for it too. After a gap in these reports only a write of
// the session restores the lead. Other nodes derive from the same facts when an
// incarnation can no longer lead (CannotLead) and when a node that does not answer
// can no longer serve a stale view of the registry (CannotServeStale).
package membership

import "time"

// Intervals, timeouts and retention times of sessions and pings.
const (
	// HeartbeatInterval is how often a node writes its session.
	HeartbeatInterval = 1 * time.Second
	// LeaseDuration is how long a node may lead after a write of its session.
	LeaseDuration = 4 * time.Second
	// expiryMargin is added to the lease by the nodes that read a session row. It
	// covers the time between the moment at which a node sends a write and the moment
	// at which another node can read that write.
	expiryMargin = 500 * time.Millisecond
	// PingInterval is how often a node pings each member.
	PingInterval = 500 * time.Millisecond
	pingTimeout  = 1 * time.Second
	storeTimeout = 1 * time.Second
	// StoreUnreachableAfter is the age of the last answer of the table service at
	// which a node reports the service as unreachable. It is below the lease, so
	// that members learn of a cell-wide outage before the lease of their own last
	// write or read ends, and above two heartbeats.
	StoreUnreachableAfter = 2500 * time.Millisecond
	// OutageReportExpiry is the time after which a member can no longer rely on a
	// report of this node that the table service is unreachable. It exceeds the
	// lease, for which such a report counts.
	OutageReportExpiry = 5 * time.Second
	// maxScanGap is the longest time between two scans of the sessions over which
	// an unchanged row counts towards expiry. After a longer gap, as in an outage,
	// the time for which a row is unchanged is counted anew for every row.
	maxScanGap = 2500 * time.Millisecond
	// maxVMListLag is how long the VM list may be out of date: a VM that was never
	// in the list counts as gone only after this time.
	maxVMListLag = 60 * time.Second
	// sessionlessRetention is how long a node without a session row is kept after its
	// last ping. The view of the registry at such a node is stale after the lease.
	sessionlessRetention = 10 * time.Second
	// endedRowRetention is how long the row of an ended session is kept, so that every
	// member has read it.
	endedRowRetention = 30 * time.Second
)
