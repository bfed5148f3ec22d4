package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// View is the membership as other packages use it.
type View interface {
	// Self returns this node in its present incarnation.
	Self() api.Member
	// Members returns the live members, self included, sorted by node.
	Members() []api.Member
	// CheckLead returns nil while this node may place work and renew task leases.
	CheckLead() error
	// CannotLead reports whether an incarnation can no longer be leading. It is
	// false while any incarnation with an expired session may still lead, because
	// the partition may have had several owners since.
	CannotLead(incarnation string) bool
}

// HeadSource provides the state of the registry that a ping carries.
type HeadSource interface {
	// Head returns the head in force at this node.
	Head() api.Head
	// HeadAge returns the time since the last successful read of the head by this
	// node; ok is false if there was none.
	HeadAge() (age time.Duration, ok bool)
	// KeysSince returns every key changed after a revision, or nil if there are too
	// many for a ping.
	KeysSince(revision int) []api.Key
}

// LoadSource provides the loads of the partitions that this node owns.
type LoadSource interface {
	Loads() []api.PartitionLoad
}

// PingObserver receives the pings of other nodes and their responses. Its methods must
// not block.
type PingObserver interface {
	// PingReceived is called for each ping that this node receives.
	PingReceived(in *api.PingRequest)
	// PingAnswered is called for each response to a ping that this node sent at the
	// given boot time.
	PingAnswered(sent time.Duration, out *api.PingResponse)
}
