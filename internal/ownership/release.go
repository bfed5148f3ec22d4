package ownership

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// handOverLocked starts the release of a partition, which first finishes its work.
func (o *Ownership) handOverLocked(h *heldPartition) {
	if h.releasing {
		return
	}
	h.releasing = true
	o.pendingReleases.Add(1)
	go func() {
		defer o.pendingReleases.Done()
		o.finishRelease(h)
	}()
}

// dropLocked releases a partition without finishing its work, because a newer owner
// exists or may exist.
func (o *Ownership) dropLocked(h *heldPartition) {
	if !h.superseded {
		h.superseded = true
		event.PartitionDropped.Log(o.options.Logger, "partition", h.lease.Partition, "epoch", h.lease.Epoch)
	}
	h.cancelRelease()
	o.handOverLocked(h)
}

// finishRelease waits for the runner to stop and marks the row as released.
func (o *Ownership) finishRelease(h *heldPartition) {
	<-h.acquired
	ctx, cancel := context.WithTimeout(h.ctx, HandoverTimeout)
	h.runner.Release(ctx)
	cancel()
	o.writeReleased(h)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.held, h.lease.Partition)
	h.cancelRelease()
	o.Wake()
}

// releaseUnheldClaims marks the row of each partition as released that names the present
// incarnation as owner although this node neither holds nor is assigned the partition.
// Such a row comes from a claim whose answer was lost.
func (o *Ownership) releaseUnheldClaims(ctx context.Context, self api.Member, assigned map[string]string) {
	var rows []api.PartitionLease
	o.mu.Lock()
	for p, row := range o.latest {
		held := o.held[p] != nil
		if row.Incarnation == self.Incarnation && !row.Released && !held && assigned[p] != self.Node {
			rows = append(rows, row)
		}
	}
	o.mu.Unlock()
	for _, row := range rows {
		storedVersion := row.RowVersion
		row.Released = true
		row.Stamp = rand.Text()
		if _, err := o.writeRow(ctx, row, storedVersion); err != nil {
			event.OwnershipWriteFailed.Log(o.options.Logger, "partition", row.Partition, "err", err)
		}
	}
}

// writeReleased marks the row as released, so that the assigned node can claim it at
// once. It retries until the write is applied, conflicts, or the partition is dropped.
func (o *Ownership) writeReleased(h *heldPartition) {
	row := h.lease
	row.Released = true
	if row.PreviousIncarnation != "" && o.options.Membership.CannotLead(row.PreviousIncarnation) {
		row.PreviousIncarnation = ""
	}
	row.Stamp = rand.Text()
	for h.ctx.Err() == nil {
		version, err := o.writeRow(h.ctx, row, h.lease.RowVersion)
		if err == nil {
			row.RowVersion = int(version)
			o.mu.Lock()
			o.recordLeaseLocked(row)
			o.mu.Unlock()
			event.PartitionReleased.Log(o.options.Logger, "partition", row.Partition, "epoch", row.Epoch)
			return
		}
		if errors.Is(err, platform.ErrConflict) {
			return // a newer owner has claimed the row, or an earlier attempt was applied late
		}
		clock.Sleep(h.ctx, releaseRetry)
	}
}
