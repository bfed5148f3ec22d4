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

// step reads the partition rows, drops what others own, gives up what is
// designated to others and claims what is free. It returns when to look again.
func (o *Ownership) step(ctx context.Context) time.Duration {
	if err := o.read(ctx); err != nil {
		return stepInterval // nothing can be claimed or handed over
	}
	self := o.options.Membership.Self()
	partitions, ok := o.options.Partitions()
	if self.Incarnation == "" || !ok {
		return stepInterval
	}
	assigned := Assign(partitions, o.options.Membership.Candidates())
	o.handOverOthers(self.Node, assigned)
	o.releaseUnheld(ctx, self, assigned)
	wait := stepInterval
	for _, p := range slices.Sorted(slices.Values(partitions)) {
		if assigned[p] != self.Node {
			continue
		}
		if !o.tryClaim(ctx, self, p) {
			wait = handoverInterval
		}
	}
	return wait
}

// handOverOthers gives up the partitions that are not designated to this node.
func (o *Ownership) handOverOthers(node string, assigned map[string]string) {
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

// tryClaim claims a partition if it is free. It returns false while another live
// node holds it.
func (o *Ownership) tryClaim(ctx context.Context, self api.Member, partition string) bool {
	o.mu.Lock()
	_, held := o.held[partition]
	row := o.known[partition]
	blocked := held || o.stopping
	o.mu.Unlock()
	if blocked {
		return true
	}
	if !o.free(ctx, row, self) {
		return false
	}
	if err := o.options.Membership.Lead(); err != nil {
		return true
	}
	o.claim(ctx, self, partition, row)
	return true
}

// free reports whether a partition has no living owner.
func (o *Ownership) free(ctx context.Context, row api.PartitionLease, self api.Member) bool {
	if row.Epoch == 0 || row.Released || row.Incarnation == self.Incarnation {
		// A row of the present incarnation that is not held is of a claim whose
		// answer was lost; its epoch was never used.
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
		PreviousIncarnation: o.previous(row, self),
		Stamp:               rand.Text(),
	}
	version, err := o.write(ctx, lease, row.RowVersion)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) { // a conflict is another claim
			event.ClaimFailed.Log(o.options.Logger, "partition", partition, "err", err)
		}
		return
	}
	lease.RowVersion = int(version)
	o.acquire(lease)
}

// previous returns the incarnation that may still lead the partition. Owners
// before the last one are covered by Membership.Excluded, which minds all
// incarnations that lost their session.
func (o *Ownership) previous(row api.PartitionLease, self api.Member) string {
	before := row.Incarnation
	if row.Released || before == self.Incarnation {
		before = row.PreviousIncarnation
	}
	if before == "" || o.options.Membership.Excluded(before) {
		return ""
	}
	return before
}

// write writes a partition row over one of the given version. If the answer is
// lost it reads the row back.
func (o *Ownership) write(ctx context.Context, lease api.PartitionLease, over int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease.RowVersion = 0 // not stored
	value, err := lease.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Wrap(err, "encode partition row")
	}
	key := RowKey(lease.Partition)
	version, err := o.options.Table.Commit(ctx,
		[]platform.Check{{Key: key, Version: int64(over)}},
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

// tenant returns the tenant of a partition. Only the loop of Run calls it.
func (o *Ownership) tenant(partition string) Tenant {
	o.mu.Lock()
	t := o.tenants[partition]
	o.mu.Unlock()
	if t != nil {
		return t
	}
	t = o.options.NewTenant(partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenants[partition] = t
	return t
}

// hold records a claimed partition as held; nil if it is not to be run.
func (o *Ownership) hold(lease api.PartitionLease, t Tenant) *holding {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteLocked(lease)
	if o.stopping || o.options.Membership.Self().Incarnation != lease.Incarnation {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &holding{lease: lease, tenant: t, ctx: ctx, drop: cancel, acquired: make(chan struct{})}
	o.held[lease.Partition] = h
	return h
}

// acquire starts the tenant of a claimed partition, unless the session was lost
// meanwhile.
func (o *Ownership) acquire(lease api.PartitionLease) {
	t := o.tenant(lease.Partition)
	h := o.hold(lease, t)
	if h == nil {
		return
	}
	t.Acquire(lease)
	close(h.acquired)
	event.PartitionClaimed.Log(o.options.Logger, "partition", lease.Partition, "epoch", lease.Epoch, "previous", lease.PreviousIncarnation)
}
