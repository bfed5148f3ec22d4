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

// handOverLocked gives a partition up after its work has been finished.
func (o *Ownership) handOverLocked(h *holding) {
	if h.releasing {
		return
	}
	h.releasing = true
	o.releases.Add(1)
	go func() {
		defer o.releases.Done()
		o.release(h)
	}()
}

// dropLocked gives a partition up at once, because a newer owner exists or may
// exist.
func (o *Ownership) dropLocked(h *holding) {
	if !h.superseded {
		h.superseded = true
		event.PartitionSuperseded.Log(o.options.Logger, "partition", h.lease.Partition, "epoch", h.lease.Epoch)
	}
	h.drop()
	o.handOverLocked(h)
}

// release waits for the tenant and marks the row as released.
func (o *Ownership) release(h *holding) {
	<-h.acquired
	ctx, cancel := context.WithTimeout(h.ctx, HandoverTimeout)
	h.tenant.Release(ctx)
	cancel()
	o.writeReleased(h)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.held, h.lease.Partition)
	h.drop()
	o.Wake()
}

// releaseUnheld marks rows of the present incarnation as released that this node
// does not hold and is not to hold: claims whose answers were lost.
func (o *Ownership) releaseUnheld(ctx context.Context, self api.Member, assigned map[string]string) {
	var rows []api.PartitionLease
	o.mu.Lock()
	for p, row := range o.known {
		held := o.held[p] != nil
		if row.Incarnation == self.Incarnation && !row.Released && !held && assigned[p] != self.Node {
			rows = append(rows, row)
		}
	}
	o.mu.Unlock()
	for _, row := range rows {
		over := row.RowVersion
		row.Released = true
		row.Stamp = rand.Text()
		if _, err := o.write(ctx, row, over); err != nil {
			event.ClaimFailed.Log(o.options.Logger, "partition", row.Partition, "err", err)
		}
	}
}

// writeReleased marks the row as released, so that the designated node can claim
// it at once. It tries until it is known what became of the row.
func (o *Ownership) writeReleased(h *holding) {
	row := h.lease
	row.Released = true
	if row.PreviousIncarnation != "" && o.options.Membership.Excluded(row.PreviousIncarnation) {
		row.PreviousIncarnation = ""
	}
	row.Stamp = rand.Text()
	for h.ctx.Err() == nil {
		version, err := o.write(h.ctx, row, h.lease.RowVersion)
		if err == nil {
			row.RowVersion = int(version)
			o.mu.Lock()
			o.noteLocked(row)
			o.mu.Unlock()
			event.PartitionReleased.Log(o.options.Logger, "partition", row.Partition, "epoch", row.Epoch)
			return
		}
		if errors.Is(err, platform.ErrConflict) {
			return // a newer owner, or an earlier attempt that arrived late
		}
		clock.Sleep(h.ctx, releaseRetry)
	}
}
