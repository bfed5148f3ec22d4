package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	// keyPrefix is the prefix of the partition rows.
	keyPrefix = "partition/"
	// scanPageSize is the number of partition rows in one read.
	scanPageSize = 200
)

// Owner returns the newest known ownership of a partition.
func (o *Ownership) Owner(partition string) (api.PartitionLease, bool) {
	o.mu.Lock()
	lease, ok := o.latest[partition]
	o.mu.Unlock()
	if !ok || lease.Released {
		return api.PartitionLease{}, false
	}
	if alive, known := o.options.Membership.Alive(lease.Incarnation); known && !alive {
		return api.PartitionLease{}, false
	}
	return lease, true
}

// Refresh reads the ownership of all partitions.
func (o *Ownership) Refresh(ctx context.Context) error { return o.readAll(ctx) }

// readAll reads all partition rows, unless another call has read them within
// minReadInterval.
func (o *Ownership) readAll(ctx context.Context) error {
	requested := o.options.Clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := o.readLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer o.readLock.Release(1)
	o.mu.Lock()
	recent := o.lastRead != 0 && o.lastRead > requested-minReadInterval
	o.mu.Unlock()
	if recent {
		return nil
	}
	start := o.options.Clock.Boot()
	rows, err := o.scan(ctx)
	if err != nil {
		return err
	}
	o.recordRows(rows, start)
	return nil
}

func (o *Ownership) scan(ctx context.Context) ([]api.PartitionLease, error) {
	var all []api.PartitionLease
	after := ""
	for {
		rows, err := o.options.Table.Scan(ctx, keyPrefix, after, scanPageSize)
		if err != nil {
			return nil, errors.Wrap(err, "read partitions")
		}
		for _, row := range rows {
			if lease, err := decodeLease(row); err == nil { // a row that cannot be decoded names no owner to forward to
				all = append(all, lease)
			}
		}
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (o *Ownership) recordRows(rows []api.PartitionLease, start time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, lease := range rows {
		o.recordLeaseLocked(lease)
	}
	o.lastRead = start
}

// recordLeaseLocked records a lease if it is newer than the latest known lease, and drops
// a partition of this node that another owner has claimed.
func (o *Ownership) recordLeaseLocked(lease api.PartitionLease) {
	old, ok := o.latest[lease.Partition]
	if ok && !newer(lease, old) {
		return
	}
	o.latest[lease.Partition] = lease
	h := o.held[lease.Partition]
	if h != nil && (lease.Epoch > h.lease.Epoch || lease.Incarnation != h.lease.Incarnation) {
		o.dropLocked(h)
	}
}

// newer reports whether a is newer than b. In the same epoch, a row of the table
// service is newer than a report of a member, which has no row version, and a
// released lease is newer than the lease in force.
func newer(a, b api.PartitionLease) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.RowVersion > b.RowVersion
}

// DropSuperseded drops a partition at once if epoch is above that of this node. The
// caller has seen that epoch, for example in a "fenced" answer of an upstream.
func (o *Ownership) DropSuperseded(partition string, epoch int) {
	o.mu.Lock()
	if h := o.held[partition]; h != nil && epoch > h.lease.Epoch {
		o.dropLocked(h)
	}
	o.mu.Unlock()
	o.Wake()
}

// PingReceived implements membership.PingObserver.
func (o *Ownership) PingReceived(*api.PingRequest) {}

// PingAnswered records the partitions that a member reports to own in its response.
func (o *Ownership) PingAnswered(_ time.Duration, out *api.PingResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range out.Loads {
		o.recordLeaseLocked(api.PartitionLease{
			Partition:   l.Partition,
			Node:        out.Member.Node,
			Incarnation: out.Member.Incarnation,
			Address:     out.Member.PeerAddress,
			Epoch:       l.Epoch,
		})
	}
}

func decodeLease(row platform.Row) (api.PartitionLease, error) {
	var lease api.PartitionLease
	if _, err := lease.UnmarshalMsg(row.Value); err != nil {
		return lease, errors.Wrapf(err, "decode row %q", row.Key)
	}
	lease.RowVersion = int(row.Version)
	lease.Partition = strings.TrimPrefix(row.Key, keyPrefix)
	return lease, nil
}

// Unowned reports whether a partition is not in the configuration and has no owner that
// may still lead, and returns the version of its row.
func (o *Ownership) Unowned(partition string) (storedVersion int64, unowned bool) {
	partitions, ok := o.options.Partitions()
	if !ok || slices.Contains(partitions, partition) {
		return 0, false
	}
	o.mu.Lock()
	row := o.latest[partition]
	read := o.lastRead != 0
	o.mu.Unlock()
	ended := row.Epoch == 0 || row.Released || o.options.Membership.CannotLead(row.Incarnation)
	return int64(row.RowVersion), read && ended
}

// RowKey returns the key of the row of a partition. A write that checks the version of
// that row is refused once the partition has a newer owner.
func RowKey(partition string) string { return keyPrefix + partition }
