package cellnode

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Timing of the release of the cell during a shutdown.
const (
	handOverTimeout  = 1500 * time.Millisecond
	usualReleaseTime = 300 * time.Millisecond // that a release takes unless the table service is slow
	responseReserve  = time.Second            // left for calls in progress after the slowest release
	tenureCheckDelay = 10 * time.Millisecond  // between two tries to end a tenure that has just begun
)

// ownership tells whether this node owns the cell, and waits before the release, see
// election.Agent.
type ownership interface {
	OwnsCell() bool
	AwaitLoss(ctx context.Context)
	AwaitFitSuccessor(ctx context.Context)
}

// cellReleaser releases the cell if this node owns it, see owner.Owner.HandOver.
type cellReleaser interface{ HandOver(ctx context.Context) }

// releaseCell releases the cell in a stop that must end within the given time. The owner goes on
// while the node serves callers anyway: where nodes are stopped one after the other, owners that
// release the cell at once follow each other faster than tasks can be placed. An owner that is
// fit goes on for a while longer if no other fit node can take over. The release is tried again
// while the owner does not know yet of a tenure that has just begun.
func releaseCell(ctx context.Context, grace time.Duration, cell ownership, owner cellReleaser) {
	latest, cancelLatest := context.WithTimeout(ctx, latestReleaseAfter(grace))
	defer cancelLatest()
	keep, cancelKeep := context.WithTimeout(latest, unreadyWait-usualReleaseTime)
	defer cancelKeep()
	cell.AwaitLoss(keep)
	cell.AwaitFitSuccessor(latest)
	release, cancelRelease := context.WithTimeout(ctx, handOverTimeout)
	defer cancelRelease()
	owner.HandOver(release)
	for cell.OwnsCell() && clock.Sleep(release, tenureCheckDelay) {
		owner.HandOver(release)
	}
}

// latestReleaseAfter returns the time after which an owner releases the cell at the latest in a
// stop that must end within the given time, so that the slowest release leaves responseReserve.
func latestReleaseAfter(grace time.Duration) time.Duration {
	return max(0, grace-handOverTimeout-responseReserve)
}
