package owner

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
)

// publishInterval is the time between two publications, and so the age that the
// published backlog may reach.
const publishInterval = 200 * time.Millisecond

// publishStats publishes the backlog and the counters for other goroutines.
func (t *tenure) publishStats(now time.Duration) {
	if now-t.publishedAt < publishInterval {
		return
	}
	t.publishedAt = now
	backlog := t.cell.Backlog()
	t.backlog.Store(&backlog)
	stats := t.cell.Stats()
	t.stats.Store(&stats)
}

// Backlog returns the number of waiting works of each queue. It reports false until
// the first pass after the records of the current tenure are loaded.
func (o *Owner) Backlog() ([]api.QueueBacklog, bool) {
	if b := o.backlog.Load(); b != nil {
		return *b, true
	}
	return nil, false
}

// Stats returns the counters that were published last, nil if none were published yet.
func (o *Owner) Stats() *cell.Stats { return o.stats.Load() }
