package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// View is what other packages see of the membership.
type View interface {
	// Self returns this node in its present incarnation.
	Self() api.Member
	// Members returns the live members, self included, sorted by node.
	Members() []api.Member
	// Lead returns nil while this node may place work and renew task leases.
	Lead() error
	// Excluded reports whether an incarnation cannot be leading any more. It is
	// false as long as any incarnation that lost its session may still lead,
	// because the partition may have had several owners since.
	Excluded(incarnation string) bool
}

// HeadSource tells what a ping carries about the registry.
type HeadSource interface {
	// Head returns the head in force at this node.
	Head() api.Head
	// HeadAge returns the time since the last own successful read of the head;
	// ok is false if there was none.
	HeadAge() (age time.Duration, ok bool)
	// KeysSince returns every key changed after a revision, or nothing if they
	// are too many for a ping.
	KeysSince(revision int) []api.Key
}

// LoadSource tells the loads of the partitions that this node owns.
type LoadSource interface {
	Loads() []api.PartitionLoad
}

// PingObserver is told of pings. Its methods must not block.
type PingObserver interface {
	// Pinged is called for each ping that this node received.
	Pinged(in *api.PingRequest)
	// Answered is called for each response to a ping that this node sent at the
	// given boot time.
	Answered(sent time.Duration, out *api.PingResponse)
}
