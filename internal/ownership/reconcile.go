package ownership

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// reconcile reads the partition rows, drops partitions that others own, hands over
// partitions that are assigned to others and claims assigned partitions that are free.
// It returns the time until the next call.
func (o *Ownership) reconcile(ctx context.Context) time.Duration {
	if err := o.readAll(ctx); err != nil {
		return reconcileInterval // without the rows nothing can be claimed or handed over
	}
	self := o.options.Membership.Self()
	partitions, ok := o.options.Partitions()
	if self.Incarnation == "" || !ok {
		return reconcileInterval
	}
	assigned := Assign(partitions, o.options.Membership.Candidates())
	o.handOverUnassigned(self.Node, assigned)
	o.releaseUnheldClaims(ctx, self, assigned)
	wait := reconcileInterval
	for _, p := range slices.Sorted(slices.Values(partitions)) {
		if assigned[p] != self.Node {
			continue
		}
		if !o.claimIfFree(ctx, self, p) {
			wait = handoverPollInterval
		}
	}
	return wait
}

// handOverUnassigned hands over the partitions that are not assigned to this node.
func (o *Ownership) handOverUnassigned(node string, assigned map[string]string) {
	if len(assigned) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for p, h := range o.held {
		if assigned[p] != node {
			o.handOverLocked(h)
		}
	}
}

// claimIfFree claims a partition if it is free. It returns false while another live
// node owns it, or while the sessions cannot be read to rule that out.
func (o *Ownership) claimIfFree(ctx context.Context, self api.Member, partition string) bool {
	o.mu.Lock()
	_, held := o.held[partition]
	row := o.latest[partition]
	blocked := held || o.stopping
	o.mu.Unlock()
	if blocked {
		return true
	}
	if !o.isFree(ctx, row, self) {
		return false
	}
	if err := o.options.Membership.CheckLead(); err != nil {
		return true
	}
	o.claim(ctx, self, partition, row)
	return true
}

// isFree reports whether a partition has no live owner.
func (o *Ownership) isFree(ctx context.Context, row api.PartitionLease, self api.Member) bool {
	if row.Epoch == 0 || row.Released || row.Incarnation == self.Incarnation {
		// A row of the present incarnation for a partition that is not held comes
		// from a claim whose answer was lost; its epoch was never used.
		return true
	}
	m := o.options.Membership
	alive, known := m.Alive(row.Incarnation)
	if known {
		return !alive
	}
	// The owner may have joined since the last scan of the sessions.
	if err := m.Refresh(ctx); err != nil {
		return false
	}
	alive, _ = m.Alive(row.Incarnation)
	return !alive
}

// claim writes the row of a free partition with the next epoch.
func (o *Ownership) claim(ctx context.Context, self api.Member, partition string, row api.PartitionLease) {
	lease := api.PartitionLease{
		Partition:           partition,
		Node:                self.Node,
		Incarnation:         self.Incarnation,
		Address:             self.PeerAddress,
		Epoch:               row.Epoch + 1,
		PreviousIncarnation: o.previousIncarnation(row, self),
		Stamp:               rand.Text(),
	}
	version, err := o.writeRow(ctx, lease, row.RowVersion)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) { // a conflict means that another node has claimed the partition
			event.OwnershipWriteFailed.Log(o.options.Logger, "partition", partition, "err", err)
		}
		return
	}
	lease.RowVersion = int(version)
	o.acquirePartition(lease)
}

// previousIncarnation returns the last incarnation that may still lead the partition, or
// "". Owners before it are covered by Membership.CannotLead, which takes all incarnations
// that lost their session into account.
func (o *Ownership) previousIncarnation(row api.PartitionLease, self api.Member) string {
	previous := row.Incarnation
	if row.Released || previous == self.Incarnation {
		previous = row.PreviousIncarnation
	}
	if previous == "" || o.options.Membership.CannotLead(previous) {
		return ""
	}
	return previous
}

// writeRow replaces a partition row of the given version. If the answer is lost it reads
// the row to learn whether the write was applied.
func (o *Ownership) writeRow(ctx context.Context, lease api.PartitionLease, storedVersion int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease.RowVersion = 0 // not stored
	value, err := lease.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Wrap(err, "encode partition row")
	}
	key := RowKey(lease.Partition)
	version, err := o.options.Table.Commit(ctx,
		[]platform.Check{{Key: key, Version: int64(storedVersion)}},
		[]platform.Write{{Key: key, Value: value}})
	if !errors.Is(err, platform.ErrAmbiguous) {
		return version, err
	}
	row, getErr := o.options.Table.Get(ctx, key)
	if getErr != nil {
		return 0, err
	}
	current, getErr := decodeLease(row)
	if getErr == nil && current.Stamp == lease.Stamp {
		return row.Version, nil
	}
	return 0, err
}

// runnerOf returns the runner of a partition, and creates it at the first call. Only the
// loop of Run calls it.
func (o *Ownership) runnerOf(partition string) PartitionRunner {
	o.mu.Lock()
	r := o.runners[partition]
	o.mu.Unlock()
	if r != nil {
		return r
	}
	r = o.options.NewRunner(partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runners[partition] = r
	return r
}

// recordHeld records a claimed partition as held. It returns nil if the partition must
// not run, because the node is stopping or the session was lost.
func (o *Ownership) recordHeld(lease api.PartitionLease, r PartitionRunner) *heldPartition {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordLeaseLocked(lease)
	if o.stopping || o.options.Membership.Self().Incarnation != lease.Incarnation {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &heldPartition{lease: lease, runner: r, ctx: ctx, cancelRelease: cancel, acquired: make(chan struct{})}
	o.held[lease.Partition] = h
	return h
}

// acquirePartition starts the runner of a claimed partition, unless the node is stopping
// or the session was lost meanwhile.
func (o *Ownership) acquirePartition(lease api.PartitionLease) {
	r := o.runnerOf(lease.Partition)
	h := o.recordHeld(lease, r)
	if h == nil {
		return
	}
	r.Acquire(lease)
	close(h.acquired)
	event.PartitionClaimed.Log(o.options.Logger, "partition", lease.Partition, "epoch", lease.Epoch, "previous", lease.PreviousIncarnation)
}
