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

// plan is the change of one row.
type plan struct {
	name string
	team *team
	over int64 // version of the row
	next allotments
	// granted is what the partitions of this node get.
	granted map[string]amount
	// involved are the versions of the rows of the partitions that change.
	involved map[string]int64
}

// flush writes the rows of teams whose allotments change, in one transaction.
func (m *Manager) flush(ctx context.Context) error {
	stamp := rand.Text()
	plans := m.plans()
	if len(plans) == 0 {
		return nil
	}
	checks, writes, err := transaction(plans, stamp)
	if err != nil {
		return err
	}
	version, err := m.options.Table.Commit(ctx, checks, writes)
	if errors.Is(err, platform.ErrAmbiguous) {
		version, err = m.readBack(ctx, writes[0].Key, stamp, err)
	}
	m.finish(plans, version, err)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// plans returns the changes of as many teams as fit a transaction.
func (m *Manager) plans() []*plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Boot()
	var out []*plan
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		if !t.dirty || t.stale || now < t.notBefore || len(out) == m.batch {
			continue
		}
		p := m.plan(name, t)
		if p.next.equal(t.row) && !t.unresolved {
			t.dirty = false
			continue
		}
		m.lowerCeilings(p)
		out = append(out, p)
	}
	return out
}

// plan computes the next row of a team: partitions of this node return what they
// do not hold any more and take what they need of what is free.
func (m *Manager) plan(name string, t *team) *plan {
	p := &plan{
		name: name, team: t, over: t.version,
		next: maps.Clone(t.row), granted: map[string]amount{}, involved: map[string]int64{},
	}
	m.freeVacant(p)
	partitions := slices.Sorted(maps.Keys(m.ledgers))
	for _, partition := range partitions {
		l := m.ledgers[partition]
		if s := l.shares[name]; s != nil && l.loaded {
			p.set(l, s.keep(t.row[partition]))
		}
	}
	for _, partition := range partitions {
		l := m.ledgers[partition]
		if s := l.shares[name]; s != nil && l.loaded {
			m.raise(p, l, s)
		}
	}
	return p
}

// set changes the allotment of a partition of this node.
func (p *plan) set(l *ledger, v amount) {
	if p.next[l.lease.Partition] == v {
		return
	}
	p.next.put(l.lease.Partition, v)
	p.involved[l.lease.Partition] = int64(l.lease.RowVersion)
}

// raise grants a partition what it needs, as far as the limit allows.
func (m *Manager) raise(p *plan, l *ledger, s *share) {
	limit := amountOf(m.options.Limit(p.name))
	sum := p.next.sum()
	var free amount
	for i := range free {
		free[i] = limit[i] - sum[i]
	}
	have := p.next[l.lease.Partition]
	granted := grant(have, s.need.lower(s.target), free, limit)
	if granted != (amount{}) {
		p.granted[l.lease.Partition] = granted
		p.set(l, have.plus(granted))
	}
	if s.need.exceeds(have.plus(granted)) {
		m.readSoon() // others may return something
	}
}

// freeVacant removes the allotments of partitions that no longer exist.
func (m *Manager) freeVacant(p *plan) {
	now := m.options.Clock.Boot()
	for partition := range p.team.row {
		since, known := m.vacant[partition]
		if !known || now-since < vacancyDelay {
			continue
		}
		if version, vacant := m.options.Vacant(partition); vacant {
			delete(p.next, partition)
			p.involved[partition] = version
		}
	}
}

// lowerCeilings keeps the partitions from using again what a write returns, from
// before it is sent until it is known that it cannot arrive any more.
func (m *Manager) lowerCeilings(p *plan) {
	for partition, l := range m.ledgers {
		if s := l.shares[p.name]; s != nil {
			s.ceiling = s.ceiling.lower(p.next[partition])
		}
	}
}

// transaction returns the checks and writes of several plans. The rows of the
// partitions are checked, so that a superseded owner changes nothing.
func transaction(plans []*plan, stamp string) ([]platform.Check, []platform.Write, error) {
	var checks []platform.Check
	var writes []platform.Write
	involved := map[string]int64{}
	for _, p := range plans {
		value, err := encodeRow(p.name, stamp, p.next)
		if err != nil {
			return nil, nil, err
		}
		checks = append(checks, platform.Check{Key: keyPrefix + p.name, Version: p.over})
		writes = append(writes, platform.Write{Key: keyPrefix + p.name, Value: value})
		maps.Copy(involved, p.involved)
	}
	for _, partition := range slices.Sorted(maps.Keys(involved)) {
		checks = append(checks, platform.Check{Key: ownership.RowKey(partition), Version: involved[partition]})
	}
	return checks, writes, nil
}

// readBack finds out whether a transaction whose answer was lost was applied. All
// its rows have the same stamp.
func (m *Manager) readBack(ctx context.Context, key, stamp string, lost error) (int64, error) {
	row, err := m.options.Table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return 0, lost
	}
	if got, _, err := decodeRow(row); err != nil || got != stamp {
		return 0, lost
	}
	return row.Version, nil
}

// finish takes the result of a transaction over.
func (m *Manager) finish(plans []*plan, version int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.failing = false
		m.batch = min(maxBatchTeams, m.batch*2)
	case errors.Is(err, platform.ErrConflict):
		// Smaller transactions conflict less often.
		m.batch = max(1, m.batch/2)
		m.readAt = 0
	}
	for _, p := range plans {
		m.finishOne(p, version, err)
	}
}

func (m *Manager) finishOne(p *plan, version int64, err error) {
	t := p.team
	if err == nil {
		t.conflicts = 0
		m.takeRow(p.name, version, p.next)
		for partition, granted := range p.granted {
			if l := m.ledgers[partition]; l != nil && l.shares[p.name] != nil {
				l.shares[p.name].raise(granted, p.next[partition])
			}
		}
		m.review(p.name, t)
		return
	}
	if errors.Is(err, platform.ErrAmbiguous) {
		t.unresolved = true
		return
	}
	if errors.Is(err, platform.ErrConflict) {
		t.stale = true
		t.conflicts = min(t.conflicts+1, maxConflictShift)
		t.notBefore = m.options.Clock.Boot() + flushInterval<<t.conflicts/4
	}
	if !t.unresolved {
		m.takeRow(p.name, t.version, t.row) // lifts the ceilings
	}
}

// failed logs an error and delays the next call.
func (m *Manager) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		event.QuotaWriteFailed.Log(m.options.Logger, "err", err)
	}
	m.failing = true
	m.waitUntil = m.options.Clock.Boot() + retryDelay
}
