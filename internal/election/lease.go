// Package election decides which node owns the cell. One row of the table service
// names the owner. Every commit of the owner rewrites that row under the condition
// that it is unchanged, so a commit of an earlier owner, or a commit that is applied
// late, fails.
package election

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// Key of the ownership row. All rows of the owner are in the same part, so that one
// transaction can write them together with the ownership row.
const (
	Part      = "cell"
	tableCell = "cell"
	keyOwner  = "owner"
)

// TableLeaseEnds is the table of the row of lease ends, an api.LeaseEndsRow. The ownership row
// names the epoch of the owner that has written the row that holds.
const TableLeaseEnds = "leaseends"

// ErrLost is returned once another node owns the cell.
var ErrLost = errors.New("another node owns the cell")

// Holder identifies the node that claims the cell.
type Holder struct {
	Node        string
	Incarnation string
	Address     string // address of the peer listener
}

// Lease is the ownership of the cell by this process.
type Lease struct {
	store  rows.Store
	clock  clock.Clock
	holder Holder

	claimedAt        time.Duration
	priorIncarnation string // of the earlier owner
	priorCommitAge   time.Duration
	priorCommitKnown bool
	priorLost        bool
	priorSentAtMs    int // of the ownership row at the claim
	leaseEndsEpoch   int // see LeaseEndsEpoch
	claimClock       claimClock

	mu      sync.Mutex // held during a commit
	record  api.CellLease
	load    *loadRecord   // written with each commit
	next    api.CellLease // record of the next commit, in all its tries; the zero value before the first try
	version int64         // of the ownership row
	unused  bool          // see ReleaseUnused
	// A reading of the clock of the table service, and a boot time that is not after it.
	storeClock   time.Duration
	storeClockAt time.Duration
}

// PriorCommitAge returns the least time that has passed between the last commit of the
// earlier owner and the claim; false if it is not known.
func (l *Lease) PriorCommitAge() (time.Duration, bool) { return l.priorCommitAge, l.priorCommitKnown }

// LeaseEndsEpoch returns the epoch of the row of lease ends that held at the claim; 0 for none.
func (l *Lease) LeaseEndsEpoch() int { return l.leaseEndsEpoch }

// ClaimedAt returns a boot time that is not after the claim.
func (l *Lease) ClaimedAt() time.Duration { return l.claimedAt }

// PriorOwnerLost reports whether the earlier owner neither released the cell nor asked this node
// to claim it.
func (l *Lease) PriorOwnerLost() bool { return l.priorLost }

// tokensPerOwner is the number of fencing tokens that each owner has for its calls.
const tokensPerOwner = 1 << 20

// Epoch returns the epoch of this owner, which is its highest fencing token.
func (l *Lease) Epoch() int { return l.record.Epoch }

// FirstToken returns the lowest fencing token of this owner. It is higher than all tokens of
// earlier owners.
func (l *Lease) FirstToken() int { return l.record.Epoch - tokensPerOwner + 1 }

// nextEpoch returns the epoch that follows one, which an owner of an earlier release may have
// had. Those count the claims, and their epoch is their only token.
func nextEpoch(epoch int) int {
	if epoch < tokensPerOwner {
		epoch *= tokensPerOwner
	}
	return epoch + tokensPerOwner
}

// epochBound returns an epoch that no owner before a version of the table service has exceeded.
// Each claim raises the version by at least one.
func epochBound(version int64) int { return int(version) * tokensPerOwner }

// ownershipRow is the ownership row as it was read.
type ownershipRow struct {
	record  api.CellLease
	version int64 // 0 if there is no row
	damaged bool  // it can't be decoded
}

// readOwnershipRow reads the ownership row. A row that can't be decoded counts as
// released.
//
// Without a readable row the highest epoch so far is not known, so a bound of it counts.
func readOwnershipRow(ctx context.Context, store rows.Store) (ownershipRow, error) {
	page, err := store.Range(ctx, tableCell, Part, keyOwner)
	if err != nil {
		return ownershipRow{}, err
	}
	for _, r := range page.Rows {
		if r.Key == keyOwner {
			return decodeOwnershipRow(r), nil
		}
	}
	return ownershipRow{record: api.CellLease{Epoch: epochBound(page.Version)}}, nil
}

func decodeOwnershipRow(r rows.Row) ownershipRow {
	out := ownershipRow{version: r.Version}
	if _, err := out.record.UnmarshalMsg(r.Value); err != nil {
		out.record, out.damaged = api.CellLease{Epoch: epochBound(r.Version), Released: true}, true
	}
	return out
}

// leaseEndsEpoch returns the epoch of the row of lease ends that holds; 0 for none. An owner of an
// earlier release does not name it, and writes the row with its release only.
func (r *ownershipRow) leaseEndsEpoch() int {
	if r.record.LeaseEndsEpoch == 0 && r.record.Released && !r.damaged {
		return r.record.Epoch
	}
	return r.record.LeaseEndsEpoch
}

// claim claims the cell with the epoch after that of the row. It returns ErrLost if
// the row has changed since it was read.
func claim(ctx context.Context, store rows.Store, c clock.Clock, h Holder, row ownershipRow) (*Lease, error) {
	l := &Lease{store: store, clock: c, holder: h, version: row.version, claimedAt: c.Boot(), priorIncarnation: row.record.Incarnation}
	l.record = api.CellLease{
		Epoch: nextEpoch(row.record.Epoch), Node: h.Node, Incarnation: h.Incarnation, Address: h.Address,
		Workers: row.record.Workers, PeakKbps: row.record.PeakKbps, LeaseEndsEpoch: row.leaseEndsEpoch(),
	}
	l.leaseEndsEpoch, l.priorSentAtMs = l.record.LeaseEndsEpoch, row.record.SentAtMs
	l.load = newLoadRecord(loadOf(row.record), l.claimedAt, nil)
	timestamp, err := l.commitWithRow(ctx, &rows.Tx{}, l.record)
	if err != nil {
		return nil, err
	}
	l.claimClock = claimClock{timestamp.Clock, c.Boot()}
	if sentAt := time.Duration(row.record.SentAtMs) * time.Millisecond; sentAt > 0 && sentAt <= timestamp.Clock {
		l.priorCommitAge, l.priorCommitKnown = timestamp.Clock-sentAt, true
	}
	return l, nil
}

// Commit applies a transaction if this process still owns the cell. After an
// error that is neither ErrLost nor a *rows.ConflictError the caller must repeat the
// same transaction before it commits another.
func (l *Lease) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.nextRecord(tx.Put)
	timestamp, err := l.commitWithRow(ctx, tx, next)
	if err == nil {
		l.record = next
	}
	return timestamp, err
}

// Release marks the cell as released, so that the successor, or any node if successor
// is empty, can claim it at once. The rows are written in the same transaction.
func (l *Lease) Release(ctx context.Context, successor string, put ...rows.Row) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.nextRecord(put)
	next.Released, next.Successor = true, successor
	_, err := l.commitWithRow(ctx, &rows.Tx{Put: put}, next)
	return err
}

// ReleaseUnused releases the cell for an owner that has made no commit and granted no task lease.
// For the next owner the last commit is that of the owner before this one.
func (l *Lease) ReleaseUnused(ctx context.Context) error {
	l.mu.Lock()
	l.unused = true
	l.mu.Unlock()
	return l.Release(ctx, "")
}

// loadOf returns the load that an ownership row records.
func loadOf(record api.CellLease) Load {
	return Load{Workers: record.Workers, PeakKbps: record.PeakKbps}
}

// nextRecord returns the record of the next commit, which writes some rows. All tries of one
// commit have the same, so that a try whose answer was lost is recognized. mu is held.
func (l *Lease) nextRecord(put []rows.Row) api.CellLease {
	if l.next.Commit != l.record.Commit+1 {
		l.next = l.record
		l.next.Commit++
		load := l.load.at(l.clock.Boot())
		l.next.Workers, l.next.PeakKbps = load.Workers, load.PeakKbps
	}
	l.next.LeaseEndsEpoch = l.record.LeaseEndsEpoch
	if slices.ContainsFunc(put, func(r rows.Row) bool { return r.Table == TableLeaseEnds }) {
		l.next.LeaseEndsEpoch = l.record.Epoch
	}
	return l.next
}

// measureLoad makes the lease record what a function returns of the load, and returns the
// load including that of earlier owners.
func (l *Lease) measureLoad(measured func() Load) *loadRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = newLoadRecord(l.load.inherited, l.claimedAt, measured)
	return l.load
}

// commitWithRow commits a transaction together with the ownership row.
func (l *Lease) commitWithRow(ctx context.Context, tx *rows.Tx, record api.CellLease) (rows.Timestamp, error) {
	sent := l.clock.Boot()
	record.SentAtMs = l.storeClockMs(sent)
	if l.unused {
		record.SentAtMs = l.priorSentAtMs
	}
	value, err := record.MarshalMsg(nil)
	if err != nil {
		return rows.Timestamp{}, err
	}
	own := &rows.Tx{
		Preconditions: append([]rows.Precondition{{Table: tableCell, Part: Part, Key: keyOwner, Version: l.version}}, tx.Preconditions...),
		Put:           append([]rows.Row{{Table: tableCell, Part: Part, Key: keyOwner, Value: value}}, tx.Put...),
		Remove:        tx.Remove,
	}
	timestamp, err := l.store.Commit(ctx, own)
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		l.version = timestamp.Version
		l.storeClock, l.storeClockAt = timestamp.Clock, sent
		return timestamp, nil
	case errors.As(err, &conflict):
		return l.resolveConflict(conflict, record)
	}
	return rows.Timestamp{}, err
}

// sameCommit reports whether two records are of the same commit, in any of its tries.
func sameCommit(a, b api.CellLease) bool {
	a.SentAtMs, b.SentAtMs = 0, 0
	return a == b
}

// resolveConflict returns success if the conflict was caused by an earlier attempt of
// the same commit, the conflict itself if the ownership row is unchanged, and ErrLost
// if another owner has written that row.
func (l *Lease) resolveConflict(conflict *rows.ConflictError, record api.CellLease) (rows.Timestamp, error) {
	for _, r := range conflict.Rows {
		if r.Table != tableCell || r.Key != keyOwner {
			continue
		}
		current := decodeOwnershipRow(r)
		if sameCommit(current.record, record) {
			l.version = r.Version
			return rows.Timestamp{Version: r.Version}, nil
		}
		if r.Version == l.version {
			return rows.Timestamp{}, conflict
		}
	}
	return rows.Timestamp{}, ErrLost
}

// claimTimeout bounds one attempt of a claim.
const claimTimeout = 900 * time.Millisecond
