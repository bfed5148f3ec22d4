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
	callSlack        = 800 * time.Millisecond // a call may take this long beyond its wait
)

// FollowOptions configures a Follower.
type FollowOptions struct {
	Store Store
	Table string
	Clock clock.Clock
	Wait  func() time.Duration // how long one call waits for a change
	Pause time.Duration        // between two calls
	// OnChange is called with all rows by key after each change.
	OnChange func(rows map[string]Row)
	// OnSeen is called with the boot time as of which the rows are current.
	OnSeen func(asOf time.Duration)
	// OnError is called when a call fails, with nil when one succeeds again.
	OnError func(err error)
}

// Follower keeps a copy of the rows of a table with an empty part.
type Follower struct {
	options FollowOptions
	rows    map[string]Row
	version int64
	synced  bool
	failing bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(o FollowOptions) *Follower {
	return &Follower{options: o, rows: map[string]Row{}}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minFollowBackoff, maxFollowBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		pause := f.options.Pause
		if err != nil {
			pause = delay.NextBackOff()
		} else {
			delay.Reset()
		}
		clock.Sleep(ctx, pause)
	}
}

func (f *Follower) report(err error) {
	if failing := err != nil; failing != f.failing {
		f.failing = failing
		if f.options.OnError != nil {
			f.options.OnError(err)
		}
	}
}

// step reads all rows, or waits for the next changes.
func (f *Follower) step(ctx context.Context) error {
	asked := f.options.Clock.Boot()
	if !f.synced {
		return f.sync(ctx, asked)
	}
	wait := f.options.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	page, err := f.options.Store.Feed(ctx, f.options.Table, f.version, wait)
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	f.version = max(f.version, page.Version)
	for _, r := range page.Rows {
		f.apply(r)
	}
	if len(page.Rows) > 0 {
		f.options.OnChange(f.rows)
	}
	f.options.OnSeen(asked)
	return nil
}

func (f *Follower) sync(ctx context.Context, asked time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	all, stamp, err := All(ctx, f.options.Store, f.options.Table, "")
	if err != nil {
		return err
	}
	f.rows = make(map[string]Row, len(all))
	for _, r := range all {
		f.rows[r.Key] = r
	}
	f.version, f.synced = stamp.Version, true
	f.options.OnChange(f.rows)
	f.options.OnSeen(asked)
	return nil
}

// apply takes a change. A row that is older than the copy is a repetition.
func (f *Follower) apply(r Row) {
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
