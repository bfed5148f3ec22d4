package rows

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/clock"
)

// Timing of a follower.
const (
	minFollowBackoff = 50 * time.Millisecond
	maxFollowBackoff = 400 * time.Millisecond
	responseSlack    = 800 * time.Millisecond // time that a call may take beyond its wait
)

// FollowOptions configures a Follower.
type FollowOptions struct {
	Store Store
	Table string
	Clock clock.Clock
	Wait  func() time.Duration // how long a call of Feed waits for a change
	Pause time.Duration        // between two successful calls
	// OnChange is called with all rows by key after each change and each reload.
	OnChange func(rows map[string]Row)
	// OnCurrent is called after each successful call, with the boot time as of which
	// the rows are current.
	OnCurrent func(asOf time.Duration)
	// OnError is called with the error of the first call that fails, and with nil when a
	// call succeeds again.
	OnError func(err error)
}

// Follower keeps a copy of those rows of a table whose part is empty.
type Follower struct {
	options FollowOptions
	rows    map[string]Row
	version int64
	loaded  bool
	failing bool
	behind  bool // the last answer did not have all changes
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(o FollowOptions) *Follower {
	return &Follower{options: o, rows: map[string]Row{}}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minFollowBackoff, maxFollowBackoff
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		f.reportFailure(err)
		pause := f.options.Pause
		if f.behind {
			pause = 0
		}
		if err != nil {
			pause = delay.NextBackOff()
		} else {
			delay.Reset()
		}
		clock.Sleep(ctx, pause)
	}
}

func (f *Follower) reportFailure(err error) {
	if failing := err != nil; failing != f.failing {
		f.failing = failing
		if f.options.OnError != nil {
			f.options.OnError(err)
		}
	}
}

// poll waits for the next changes, or reads all rows if there is no copy to continue
// from.
func (f *Follower) poll(ctx context.Context) error {
	requestedAt := f.options.Clock.Boot()
	f.behind = false
	if !f.loaded {
		return f.reload(ctx, requestedAt)
	}
	wait := f.options.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	page, err := f.options.Store.Feed(ctx, f.options.Table, f.version, wait)
	if errors.Is(err, ErrCompacted) {
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	f.version = max(f.version, page.Version)
	f.behind = page.Truncated
	for _, r := range page.Rows {
		f.applyChange(r)
	}
	if len(page.Rows) > 0 {
		f.options.OnChange(f.rows)
	}
	f.options.OnCurrent(requestedAt)
	return nil
}

// reload replaces the copy by all rows of the table whose part is empty.
func (f *Follower) reload(ctx context.Context, requestedAt time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	all, timestamp, err := All(ctx, f.options.Store, f.options.Table, "")
	if err != nil {
		return err
	}
	f.rows = make(map[string]Row, len(all))
	for _, r := range all {
		f.rows[r.Key] = r
	}
	f.version, f.loaded = timestamp.Version, true
	f.options.OnChange(f.rows)
	f.options.OnCurrent(requestedAt)
	return nil
}

// applyChange applies a row of the feed to the copy. The feed may repeat changes, so a
// row that is older than the copy is ignored.
func (f *Follower) applyChange(r Row) {
	if r.Part != "" {
		return
	}
	if old, ok := f.rows[r.Key]; ok && old.Version > r.Version {
		return
	}
	if r.Removed {
		delete(f.rows, r.Key)
		return
	}
	f.rows[r.Key] = r
}
