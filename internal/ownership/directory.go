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
	// scanPage is the number of partition rows read at once.
	scanPage = 200
)

// Owner returns the newest known ownership of a partition.
func (o *Ownership) Owner(partition string) (api.PartitionLease, bool) {
	o.mu.Lock()
	lease, ok := o.known[partition]
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
func (o *Ownership) Refresh(ctx context.Context) error { return o.read(ctx) }

// read reads all partition rows, unless another call has just done so.
func (o *Ownership) read(ctx context.Context) error {
	asked := o.options.Clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := o.reading.Acquire(ctx, 1); err != nil {
		return err
	}
	defer o.reading.Release(1)
	o.mu.Lock()
	recent := o.readAt != 0 && o.readAt > asked-minRefreshGap
	o.mu.Unlock()
	if recent {
		return nil
	}
	start := o.options.Clock.Boot()
	rows, err := o.scan(ctx)
	if err != nil {
		return err
	}
	o.merge(rows, start)
	return nil
}

func (o *Ownership) scan(ctx context.Context) ([]api.PartitionLease, error) {
	var all []api.PartitionLease
	after := ""
	for {
		rows, err := o.options.Table.Scan(ctx, keyPrefix, after, scanPage)
		if err != nil {
			return nil, errors.Wrap(err, "read partitions")
		}
		for _, row := range rows {
			if lease, err := decodeLease(row); err == nil { // a row that cannot be read has no owner to forward to
				all = append(all, lease)
			}
		}
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (o *Ownership) merge(rows []api.PartitionLease, start time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, lease := range rows {
		o.noteLocked(lease)
	}
	o.readAt = start
}

// noteLocked takes a lease over if it is newer than what is known, and drops a
// partition that another owner has taken over.
func (o *Ownership) noteLocked(lease api.PartitionLease) {
	old, ok := o.known[lease.Partition]
	if ok && !newer(lease, old) {
		return
	}
	o.known[lease.Partition] = lease
	h := o.held[lease.Partition]
	if h != nil && (lease.Epoch > h.lease.Epoch || lease.Incarnation != h.lease.Incarnation) {
		o.dropLocked(h)
	}
}

// newer reports whether a is newer than b. Of the same epoch, a row read from the
// table service is newer than a report, and a released one than one in force.
func newer(a, b api.PartitionLease) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.RowVersion > b.RowVersion
}

// Superseded tells that an epoch above that of this node was seen, as in a
// "fenced" answer of an upstream. The partition is dropped at once.
func (o *Ownership) Superseded(partition string, epoch int) {
	o.mu.Lock()
	if h := o.held[partition]; h != nil && epoch > h.lease.Epoch {
		o.dropLocked(h)
	}
	o.mu.Unlock()
	o.Wake()
}

// PingReceived implements membership.PingObserver.
func (o *Ownership) PingReceived(*api.PingRequest) {}

// PingAnswered takes the ownership over that a member reports in its response.
func (o *Ownership) PingAnswered(_ time.Duration, out *api.PingResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range out.Loads {
		o.noteLocked(api.PartitionLease{
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

// Vacant reports whether a partition neither belongs to the configuration nor has
// an owner that may lead it, and the version of its row.
func (o *Ownership) Vacant(partition string) (storedVersion int64, vacant bool) {
	partitions, ok := o.options.Partitions()
	if !ok || slices.Contains(partitions, partition) {
		return 0, false
	}
	o.mu.Lock()
	row := o.known[partition]
	read := o.readAt != 0
	o.mu.Unlock()
	ended := row.Epoch == 0 || row.Released || o.options.Membership.Excluded(row.Incarnation)
	return int64(row.RowVersion), read && ended
}

// RowKey returns the key of the row of a partition. A write that checks its
// version is refused once the partition has a newer owner.
func RowKey(partition string) string { return keyPrefix + partition }
