package quota

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// read reads all rows.
func (m *Manager) read(ctx context.Context) error {
	start := m.options.Clock.Boot()
	var all []platform.Row
	after := ""
	for {
		rows, err := m.options.Table.Scan(ctx, keyPrefix, after, scanPage)
		if err != nil {
			return errors.Wrap(err, "read quota rows")
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	m.merge(all, start)
	m.mu.Lock()
	m.failing = false
	m.mu.Unlock()
	return nil
}

// merge takes the rows over. Ledgers that were opened before the read can be used
// from then on.
func (m *Manager) merge(rows []platform.Row, start time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]bool{}
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, keyPrefix)
		_, a, err := decodeRow(row)
		if err != nil {
			event.QuotaWriteFailed.Log(m.options.Logger, "err", err)
			continue
		}
		found[name] = true
		m.takeRow(name, row.Version, a)
	}
	for name, t := range m.teams {
		if !found[name] {
			m.takeRow(name, 0, allotments{})
		}
		t.stale = false
	}
	for _, l := range m.ledgers {
		l.loaded = l.loaded || l.opened <= start
	}
	m.readAt = start + auditInterval
	m.noteVacant(start)
	for name, t := range m.teams {
		m.review(name, t)
	}
}

// takeRow records the newest row of a team. A write over an older version cannot
// arrive any more.
func (m *Manager) takeRow(name string, version int64, a allotments) {
	t := m.team(name)
	if version == t.version && t.unresolved {
		return
	}
	t.version, t.row, t.unresolved = version, a, false
	for _, l := range m.ledgers {
		if s := l.shares[name]; s != nil {
			s.ceiling = unlimited
		}
	}
}

// review compares a row with the limit and sets what the partitions of this node
// reduce to.
func (m *Manager) review(name string, t *team) {
	limit := amountOf(m.options.Limit(name))
	sum := t.row.sum()
	over := sum.exceeds(limit)
	for p, l := range m.ledgers {
		s := l.shares[name]
		if s == nil {
			continue
		}
		s.target = unlimited
		if over {
			s.target = target(t.row[p], sum, limit, max(1, len(t.row)))
		}
	}
	if over {
		t.dirty = true
		m.readSoon()
	}
}

// readSoon has the rows read after the read interval.
func (m *Manager) readSoon() {
	m.readAt = min(m.readAt, m.options.Clock.Boot()+readInterval)
}

// noteVacant records since when partitions with an allotment have been vacant.
func (m *Manager) noteVacant(now time.Duration) {
	current := map[string]time.Duration{}
	for _, t := range m.teams {
		for p := range t.row {
			if _, vacant := m.options.Vacant(p); !vacant {
				continue
			}
			since, known := m.vacant[p]
			if !known {
				since = now
			}
			current[p] = since
			t.dirty = t.dirty || now-since >= vacancyDelay
		}
	}
	m.vacant = current
}
