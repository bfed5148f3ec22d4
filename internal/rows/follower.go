package rows

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/clock"
)

// Timing of a follower.
const (
	minFollowBackoff = 50 * time.Millisecond
	maxFollowBackoff = 400 * time.Millisecond
	responseSlack    = 800 * time.Millisecond // time beyond the wait of a call until its response begins, and between two parts of it
	minResendAfter   = 250 * time.Millisecond // after a failure, time until a call without an answer is made again
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
	// Boot times of the first and of the last part of the response that is arriving; 0 for none.
	firstPartAt, partAt atomic.Int64
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
	f.responseEnded() // a call that was given up may have received a part since
	defer f.responseEnded()
	f.behind = false
	if !f.loaded {
		return f.reload(ctx, requestedAt)
	}
	page, err := f.nextPage(ctx)
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
	if !f.behind {
		f.options.OnCurrent(requestedAt)
	}
	return nil
}

// nextPage waits for the next changes. After a failure it does not wait for a change,
// because any answer shows that the copy is current.
func (f *Follower) nextPage(ctx context.Context) (Page, error) {
	wait := f.options.Wait()
	if f.failing {
		return f.firstAnswer(ctx, max(minResendAfter, wait/2))
	}
	ctx, cancel := WithStallTimeout(ctx, wait+responseSlack, responseSlack, f.recordPart)
	defer cancel()
	return f.options.Store.Feed(ctx, f.options.Table, f.version, wait)
}

// feedResult is the result of a call of Feed.
type feedResult struct {
	page Page
	err  error
}

// firstAnswer asks for changes and returns the first result. Until a response begins, it asks
// again at intervals, because a service that has recovered may never answer the earlier call.
// At most two calls run at a time: the first and the last one.
func (f *Follower) firstAnswer(ctx context.Context, interval time.Duration) (Page, error) {
	var responding atomic.Bool
	ctx, cancel := WithStallTimeout(ctx, responseSlack, responseSlack, func() {
		responding.Store(true)
		f.recordPart()
	})
	defer cancel()
	results := make(chan feedResult)
	version := f.version
	ask := func(callCtx context.Context) {
		page, err := f.options.Store.Feed(callCtx, f.options.Table, version, 0)
		if callCtx.Err() != nil {
			return
		}
		select {
		case results <- feedResult{page, err}:
		case <-callCtx.Done():
		}
	}
	go ask(ctx)
	again := time.NewTicker(interval)
	defer again.Stop()
	stopLast := func() {}
	defer func() { stopLast() }()
	for {
		select {
		case r := <-results:
			return r.page, r.err
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-again.C:
			if responding.Load() { // a second response would take up the link of the first
				continue
			}
			stopLast()
			lastCtx, stop := context.WithCancel(ctx)
			stopLast = stop
			go ask(lastCtx)
		}
	}
}

// reload replaces the copy by all rows of the table whose part is empty.
func (f *Follower) reload(ctx context.Context, requestedAt time.Duration) error {
	ctx, cancel := WithStallTimeout(ctx, responseSlack, responseSlack, f.recordPart)
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

func (f *Follower) recordPart() {
	now := int64(f.options.Clock.Boot())
	f.firstPartAt.CompareAndSwap(0, now)
	f.partAt.Store(now)
}

func (f *Follower) responseEnded() {
	f.firstPartAt.Store(0)
	f.partAt.Store(0)
}

// Receiving reports whether a response is arriving, of which a part has come within maxPause and
// the first one within maxTransfer. It may be called by any goroutine.
func (f *Follower) Receiving(maxPause, maxTransfer time.Duration) bool {
	first, last := f.firstPartAt.Load(), f.partAt.Load()
	if first == 0 || last == 0 {
		return false
	}
	now := f.options.Clock.Boot()
	return now-time.Duration(last) < maxPause && now-time.Duration(first) < maxTransfer
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
