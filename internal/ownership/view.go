// Package ownership divides the partitions among the live members and elects one
// owner for each through its row in the table service.
//
// Every node computes the same assignment from the same members. The designated
// node claims a partition that has no living owner with the next epoch; an owner
// that is no longer designated finishes its work and marks the row as released.
package ownership

import (
	"context"

	"github.com/endivehill/endivehill/internal/api"
)

// Tenant runs one partition on this node. The node makes one for each partition.
type Tenant interface {
	// Acquire is called with a new epoch, never while Release runs. It must not
	// block.
	Acquire(lease api.PartitionLease)
	// Release stops taking work, finishes or hands over what is in flight, and
	// returns when nothing is. If ctx has ended, a newer owner exists or the
	// session is lost: it drops the work at once.
	Release(ctx context.Context)
}

// Directory knows the owners of partitions.
type Directory interface {
	// Owner returns the newest known ownership of a partition; false if it has no
	// owner.
	Owner(partition string) (api.PartitionLease, bool)
	// Refresh reads the ownership of all partitions from the table service. Calls
	// that come close together share one read.
	Refresh(ctx context.Context) error
}
