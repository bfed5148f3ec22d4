package cellnode

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Timing of the release of the cell during a shutdown.
const (
	handOverTimeout  = 1500 * time.Millisecond
	usualReleaseTime = 300 * time.Millisecond // that a release takes at most unless the table service is slow
	responseReserve  = time.Second            // left for calls in progress after the slowest release
	tenureCheckDelay = 10 * time.Millisecond  // between two tries to end a tenure that has just begun
)

// ownership tells whether this node owns the cell and waits until a fit node can take it over,
// see election.Agent.
type ownership interface {
	OwnsCell() bool
	AwaitFitSuccessor(ctx context.Context)
}

// cellReleaser releases the cell if this node owns it, see owner.Owner.HandOver.
type cellReleaser interface{ HandOver(ctx context.Context) }

// releaseCell releases the cell in a stop that must end within the given time. An owner that is
// fit goes on for a while if no other fit node can take over. The release is tried again while
// the owner does not know yet of a tenure that has just begun.
func releaseCell(ctx context.Context, grace time.Duration, cell ownership, owner cellReleaser) {
	wait, cancelWait := context.WithTimeout(ctx, successorTimeout(grace))
	defer cancelWait()
	cell.AwaitFitSuccessor(wait)
	release, cancelRelease := context.WithTimeout(ctx, handOverTimeout)
	defer cancelRelease()
	owner.HandOver(release)
	for cell.OwnsCell() && clock.Sleep(release, tenureCheckDelay) {
		owner.HandOver(release)
	}
}

// successorTimeout returns how long an owner that is being stopped waits for a successor in a
// stop that must end within the given time. The wait and the usual release end before the node
// stops serving callers, so that the stop does not take longer, and the slowest release leaves
// responseReserve.
func successorTimeout(grace time.Duration) time.Duration {
	return max(0, min(unreadyWait-usualReleaseTime, grace-handOverTimeout-responseReserve))
}
