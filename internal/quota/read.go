package quota

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// readRows reads the rows of all teams.
func (m *Manager) readRows(ctx context.Context) error {
	start := m.options.Clock.Boot()
	var all []platform.Row
	after := ""
	for {
		rows, err := m.options.Table.Scan(ctx, keyPrefix, after, scanPageRows)
		if err != nil {
			return errors.Wrap(err, "read quota rows")
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	m.mergeRows(all, start)
	m.mu.Lock()
	m.failing = false
	m.mu.Unlock()
	return nil
}

// mergeRows records the rows of a read that began at start. Ledgers that were
// opened before the read are usable from then on.
func (m *Manager) mergeRows(rows []platform.Row, start time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]bool{}
	malformed := map[string]bool{}
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, keyPrefix)
		found[name] = true
		_, a, err := decodeRow(row)
		if err != nil {
			event.QuotaUpdateFailed.Log(m.options.Logger, "err", err)
			malformed[name] = true
			m.setMalformedRow(name, row.Version)
			continue
		}
		m.setRow(name, row.Version, a)
	}
	for name, t := range m.teams {
		if !found[name] {
			m.setRow(name, 0, allotments{})
		}
		t.stale = malformed[name]
	}
	for _, l := range m.ledgers {
		l.loaded = l.loaded || l.openedAt <= start
	}
	m.nextRead = start + idleReadInterval
	m.updateUnowned(start)
	for name, t := range m.teams {
		m.updateTargets(name, t)
	}
}

// setMalformedRow records that the newest row of a team cannot be decoded. The partitions
// of this node keep their allotments, as those of other nodes do, within the ceilings of
// writes that may have been applied. A partition that was opened since the last read of a
// valid row has none: another node may have changed its allotment.
func (m *Manager) setMalformedRow(name string, version int64) {
	t := m.ensureTeam(name)
	if version == t.version && !t.malformed {
		return // the row was decoded before
	}
	kept := allotments{}
	for partition, l := range m.ledgers {
		if l.loaded {
			kept.set(partition, t.row[partition])
		}
	}
	t.version, t.row, t.malformed, t.writeUnresolved = version, kept, true, false
}

// setRow records the newest row of a team. A write that replaces an older
// version can no longer be applied.
func (m *Manager) setRow(name string, version int64, a allotments) {
	t := m.ensureTeam(name)
	if version == t.version && t.writeUnresolved {
		return
	}
	t.version, t.row, t.malformed, t.writeUnresolved = version, a, false, false
	for _, l := range m.ledgers {
		if tl := l.teams[name]; tl != nil {
			tl.ceiling = unlimited
		}
	}
}

// updateTargets sets the reduction targets of the partitions of this node if
// the row exceeds the limit, and removes them otherwise.
func (m *Manager) updateTargets(name string, t *team) {
	limit := toResourceVec(m.options.Limit(name))
	sum := t.row.sum()
	over := sum.exceeds(limit)
	for partition, l := range m.ledgers {
		tl := l.teams[name]
		if tl == nil {
			continue
		}
		tl.target = unlimited
		if over {
			tl.target = reductionTarget(t.row[partition], sum, limit, max(1, len(t.row)))
		}
	}
	if over {
		t.dirty = true
		m.scheduleRead()
	}
}

// scheduleRead schedules a read of the rows after readInterval.
func (m *Manager) scheduleRead() {
	m.nextRead = min(m.nextRead, m.options.Clock.Boot()+readInterval)
}

// updateUnowned records since when partitions with an allotment have been
// unowned.
func (m *Manager) updateUnowned(now time.Duration) {
	current := map[string]time.Duration{}
	for _, t := range m.teams {
		for partition := range t.row {
			if _, unowned := m.options.Unowned(partition); !unowned {
				continue
			}
			since, known := m.unownedSince[partition]
			if !known {
				since = now
			}
			current[partition] = since
			t.dirty = t.dirty || now-since >= unownedDelay
		}
	}
	m.unownedSince = current
}
