// Package ownership assigns the partitions to the live members and ensures that each
// partition has one owner, through the row of the partition in the table service.
//
// Every node computes the same assignment from the same members. The assigned node
// claims a partition that has no live owner with the next epoch; an owner that is no
// longer assigned the partition finishes its work and marks the row as released.
package ownership

import (
	"context"

	"github.com/endivehill/endivehill/internal/api"
)

// PartitionRunner runs one partition on this node. The node creates one runner
// for each partition.
type PartitionRunner interface {
	// Acquire starts the partition under a lease with a new epoch. It is not called
	// while Release runs, and must not block.
	Acquire(lease api.PartitionLease)
	// Release stops accepting work, finishes or hands over the work in flight, and
	// returns when none is in flight. If ctx ends, a newer owner exists or the
	// session is lost, and Release drops the work at once.
	Release(ctx context.Context)
}

// Directory returns the owners of partitions.
type Directory interface {
	// Owner returns the newest known ownership of a partition; false if it has no
	// owner.
	Owner(partition string) (api.PartitionLease, bool)
	// Refresh reads the ownership of all partitions from the table service. Calls
	// that come close together share one read.
	Refresh(ctx context.Context) error
}
