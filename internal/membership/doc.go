// Package membership keeps the session of this node in the table service, the
// list of the other nodes, and the evidence on which nodes may still act.
//
// Each node writes its session row every second. A row that stays unchanged for
// the lease and a margin, on the clock of an observer that could read it all the
// time, is marked as expired; its node then gives up and rejoins with a new
// incarnation. Nodes ping each other twice a second.
//
// A node leads while its session was written within the lease, or, without a
// gap, while every other known member reports that the table service is
// unreachable for it too. Once that evidence had a gap, only a write of the
// session restores it. Other nodes conclude from the same facts when an
// incarnation can lead no more (Excluded) and when one that does not answer can
// serve no stale view of the registry (Settled).
package membership

import "time"

// Times of sessions and pings.
const (
	// HeartbeatInterval is how often a node writes its session.
	HeartbeatInterval = 1 * time.Second
	// Lease is how long a write of the session lets its node lead.
	Lease = 4 * time.Second
	// observerMargin is added to the lease by observers, which see a write later
	// than its node sent it only by the time of the write itself.
	observerMargin = 500 * time.Millisecond
	// PingInterval is how often a node pings each member.
	PingInterval = 500 * time.Millisecond
	pingTimeout  = 1 * time.Second
	storeTimeout = 1 * time.Second
	// UnreachableAfter is the age of the last answer of the table service from
	// which on a node reports it as unreachable. It is below the lease, so that
	// members learn of an outage for all before the evidence of their own last
	// write or read ends, and above two heartbeats.
	UnreachableAfter = 2500 * time.Millisecond
	// SilenceWindow is how long a member must have had no report of an
	// unreachable table service from this node before it cannot rely on one any
	// more. It exceeds the lease, for which such a report counts.
	SilenceWindow = 5 * time.Second
	// maxScanGap is the longest time between two scans of the sessions over which
	// an unchanged row counts as unchanged. After a longer one, as in an outage,
	// every row is observed anew.
	maxScanGap = 2500 * time.Millisecond
	// vmListLag bounds how long the VM list may lag behind: a VM that was never
	// seen in it counts as gone only after this time.
	vmListLag = 60 * time.Second
	// learnedRetention is how long a node without a session row is remembered after
	// its last ping. Its view of the registry is stale after the lease.
	learnedRetention = 10 * time.Second
	// rowRetention is how long the row of a session that nobody needs any more is
	// kept, so that every member has seen it.
	rowRetention = 30 * time.Second
)
