package quota

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
)

// rowUpdate is a change of the row of one team.
type rowUpdate struct {
	teamName    string
	team        *team
	baseVersion int64 // version of the row that the update replaces
	newRow      allotments
	// granted is added to the allotments of partitions of this node.
	granted map[string]resourceVec
	// partitionVersions holds the row versions of the partitions whose
	// allotments change.
	partitionVersions map[string]int64
}

// flush writes the rows of teams whose allotments change, in one transaction
// with a random stamp.
func (m *Manager) flush(ctx context.Context) error {
	stamp := rand.Text()
	updates := m.planUpdates()
	if len(updates) == 0 {
		return nil
	}
	checks, writes, err := buildTransaction(updates, stamp)
	if err != nil {
		return err
	}
	version, err := m.options.Table.Commit(ctx, checks, writes)
	if errors.Is(err, platform.ErrAmbiguous) {
		version, err = m.resolveAmbiguous(ctx, writes[0].Key, stamp, err)
	}
	m.applyResult(updates, version, err)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// planUpdates returns the updates of as many teams as one transaction may
// contain.
func (m *Manager) planUpdates() []*rowUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Boot()
	var updates []*rowUpdate
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		if !t.dirty || t.stale || now < t.retryAt || len(updates) == m.batchSize {
			continue
		}
		u := m.planUpdate(name, t)
		if u.newRow.equal(t.row) && !t.writeUnresolved {
			t.dirty = false
			continue
		}
		m.lowerCeilings(u)
		updates = append(updates, u)
	}
	return updates
}

// planUpdate computes the next row of a team: partitions of this node return
// what they no longer hold, and are granted what they want as far as the limit
// has free capacity.
func (m *Manager) planUpdate(name string, t *team) *rowUpdate {
	u := &rowUpdate{
		teamName: name, team: t, baseVersion: t.version,
		newRow: maps.Clone(t.row), granted: map[string]resourceVec{}, partitionVersions: map[string]int64{},
	}
	m.removeUnowned(u)
	partitions := slices.Sorted(maps.Keys(m.ledgers))
	for _, partition := range partitions {
		l := m.ledgers[partition]
		if tl := l.teams[name]; tl != nil && l.loaded {
			u.setAllotment(l, tl.retained(t.row[partition]))
		}
	}
	for _, partition := range partitions {
		l := m.ledgers[partition]
		if tl := l.teams[name]; tl != nil && l.loaded {
			m.grantWanted(u, l, tl)
		}
	}
	return u
}

// setAllotment sets the allotment of a partition of this node in the new row.
func (u *rowUpdate) setAllotment(l *ledger, v resourceVec) {
	if u.newRow[l.lease.Partition] == v {
		return
	}
	u.newRow.set(l.lease.Partition, v)
	u.partitionVersions[l.lease.Partition] = int64(l.lease.RowVersion)
}

// grantWanted grants a partition what it wants, as far as the limit allows.
func (m *Manager) grantWanted(u *rowUpdate, l *ledger, tl *teamLedger) {
	limit := toResourceVec(m.options.Limit(u.teamName))
	sum := u.newRow.sum()
	var free resourceVec
	for i := range free {
		free[i] = limit[i] - sum[i]
	}
	have := u.newRow[l.lease.Partition]
	granted := grantFor(have, tl.wanted.min(tl.target), free, limit)
	if granted != (resourceVec{}) {
		u.granted[l.lease.Partition] = granted
		u.setAllotment(l, have.add(granted))
	}
	if tl.wanted.exceeds(have.add(granted)) {
		m.scheduleRead() // other partitions may return allotments
	}
}

// removeUnowned removes the allotments of partitions that no longer exist.
func (m *Manager) removeUnowned(u *rowUpdate) {
	now := m.options.Clock.Boot()
	for partition := range u.team.row {
		since, known := m.unownedSince[partition]
		if !known || now-since < unownedDelay {
			continue
		}
		if version, unowned := m.options.Unowned(partition); unowned {
			delete(u.newRow, partition)
			u.partitionVersions[partition] = version
		}
	}
}

// lowerCeilings keeps the partitions of this node from using allotments that the
// update returns, from before its write is sent until the write has been applied
// or can no longer be applied.
func (m *Manager) lowerCeilings(u *rowUpdate) {
	for partition, l := range m.ledgers {
		if tl := l.teams[u.teamName]; tl != nil {
			tl.ceiling = tl.ceiling.min(u.newRow[partition])
		}
	}
}

// buildTransaction returns the checks and writes of several updates. It checks
// the row versions of the partitions, so that a superseded owner cannot change
// allotments.
func buildTransaction(updates []*rowUpdate, stamp string) ([]platform.Check, []platform.Write, error) {
	var checks []platform.Check
	var writes []platform.Write
	involved := map[string]int64{}
	for _, u := range updates {
		value, err := encodeRow(u.teamName, stamp, u.newRow)
		if err != nil {
			return nil, nil, err
		}
		checks = append(checks, platform.Check{Key: keyPrefix + u.teamName, Version: u.baseVersion})
		writes = append(writes, platform.Write{Key: keyPrefix + u.teamName, Value: value})
		maps.Copy(involved, u.partitionVersions)
	}
	for _, partition := range slices.Sorted(maps.Keys(involved)) {
		checks = append(checks, platform.Check{Key: ownership.RowKey(partition), Version: involved[partition]})
	}
	return checks, writes, nil
}

// resolveAmbiguous finds out whether a transaction without a known result was
// applied. All rows of a transaction have the same stamp.
func (m *Manager) resolveAmbiguous(ctx context.Context, key, stamp string, commitErr error) (int64, error) {
	row, err := m.options.Table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return 0, commitErr
	}
	if got, _, err := decodeRow(row); err != nil || got != stamp {
		return 0, commitErr
	}
	return row.Version, nil
}

// applyResult applies the result of a transaction to the state of the manager.
func (m *Manager) applyResult(updates []*rowUpdate, version int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.failing = false
		m.batchSize = min(maxBatchTeams, m.batchSize*2)
	case errors.Is(err, platform.ErrConflict):
		// Smaller transactions conflict less often.
		m.batchSize = max(1, m.batchSize/2)
		m.nextRead = 0
	}
	for _, u := range updates {
		m.applyTeamResult(u, version, err)
	}
}

func (m *Manager) applyTeamResult(u *rowUpdate, version int64, err error) {
	t := u.team
	if err == nil {
		t.conflicts = 0
		m.setRow(u.teamName, version, u.newRow)
		for partition, granted := range u.granted {
			if l := m.ledgers[partition]; l != nil && l.teams[u.teamName] != nil {
				l.teams[u.teamName].applyGrant(granted, u.newRow[partition])
			}
		}
		m.updateTargets(u.teamName, t)
		return
	}
	if errors.Is(err, platform.ErrAmbiguous) {
		t.writeUnresolved = true
		return
	}
	if errors.Is(err, platform.ErrConflict) {
		t.stale = true
		t.conflicts = min(t.conflicts+1, maxConflictBackoffShift)
		t.retryAt = m.options.Clock.Boot() + flushInterval<<t.conflicts/4
	}
	if !t.writeUnresolved {
		m.setRow(u.teamName, t.version, t.row) // removes the ceilings
	}
}

// recordFailure logs the first of consecutive failures and delays the next call
// to the table.
func (m *Manager) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		event.QuotaUpdateFailed.Log(m.options.Logger, "err", err)
	}
	m.failing = true
	m.retryAt = m.options.Clock.Boot() + retryDelay
}
