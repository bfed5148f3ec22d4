package rows

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/clock"
)

// scriptedStore is a Store with scripted answers.
type scriptedStore struct {
	mu           sync.Mutex
	pages        []Page
	feedAnswers  []feedAnswer
	feedVersions []int64 // versions after which Feed was called
}

type feedAnswer struct {
	page Page
	err  error
}

func (s *scriptedStore) Commit(context.Context, *Tx) (Timestamp, error) {
	return Timestamp{}, ErrUnavailable
}

func (s *scriptedStore) Range(context.Context, string, string, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pages) == 0 {
		return Page{}, ErrUnavailable
	}
	p := s.pages[0]
	s.pages = s.pages[1:]
	return p, nil
}

func (s *scriptedStore) Feed(ctx context.Context, _ string, after int64, _ time.Duration) (Page, error) {
	s.mu.Lock()
	s.feedVersions = append(s.feedVersions, after)
	if len(s.feedAnswers) > 0 {
		f := s.feedAnswers[0]
		s.feedAnswers = s.feedAnswers[1:]
		s.mu.Unlock()
		return f.page, f.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func row(key, value string, version int64) Row {
	return Row{Table: "t", Key: key, Value: []byte(value), Version: version}
}

// Guards against a removal that is missed when the history of a table is compacted, and
// against an older row that replaces a newer one.
func TestFollowerReloadsAfterCompaction(t *testing.T) {
	s := &scriptedStore{
		pages: []Page{
			{Rows: []Row{row("a", "1", 1), row("b", "1", 2)}, Timestamp: Timestamp{Version: 2}},
			{Rows: []Row{row("b", "2", 5)}, Timestamp: Timestamp{Version: 6}},
		},
		feedAnswers: []feedAnswer{
			{page: Page{Rows: []Row{row("a", "2", 3)}, Timestamp: Timestamp{Version: 3}}},
			{err: ErrCompacted}, // the feed never returned the removal of "a"
			{page: Page{Rows: []Row{row("b", "old", 4), row("c", "1", 7)}, Timestamp: Timestamp{Version: 7}}},
		},
	}
	var mu sync.Mutex
	var last map[string]string
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f := NewFollower(FollowOptions{
		Store: s, Table: "t", Clock: clock.System{}, Wait: func() time.Duration { return 0 },
		OnCurrent: func(time.Duration) {},
		OnChange: func(rows map[string]Row) {
			mu.Lock()
			defer mu.Unlock()
			last = map[string]string{}
			for k, r := range rows {
				last[k] = string(r.Value)
			}
			if last["c"] != "" {
				cancel()
			}
		},
	})
	f.Run(ctx)
	mu.Lock()
	defer mu.Unlock()
	if diff := cmp.Diff(map[string]string{"b": "2", "c": "1"}, last); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]int64{2, 3, 6}, s.feedVersions[:3]); diff != "" {
		t.Error("versions passed to Feed: " + diff)
	}
}

// Guards against a first page that is taken for the whole part, and against a feed that
// starts too late for rows that changed between two pages.
func TestAllReadsEveryPage(t *testing.T) {
	s := &scriptedStore{pages: []Page{
		{Rows: []Row{row("a", "1", 1)}, Truncated: true, Timestamp: Timestamp{Version: 10}},
		{Rows: []Row{row("b", "1", 12)}, Timestamp: Timestamp{Version: 13}},
	}}
	all, timestamp, err := All(t.Context(), s, "t", "")
	if err != nil || len(all) != 2 || timestamp.Version != 10 {
		t.Errorf("%d rows as of %d, %v", len(all), timestamp.Version, err)
	}
}

// Guards against a copy that falls behind because the follower pauses between the pages of a
// long list of changes.
func TestFollowerDoesNotPauseWhileItIsBehind(t *testing.T) {
	store := &scriptedStore{
		pages: []Page{{Timestamp: Timestamp{Version: 1}}},
		feedAnswers: []feedAnswer{
			{page: Page{Rows: []Row{row("a", "1", 2)}, Truncated: true, Timestamp: Timestamp{Version: 2}}},
			{page: Page{Rows: []Row{row("b", "1", 3)}, Timestamp: Timestamp{Version: 3}}},
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	complete := make(chan struct{})
	done := make(chan struct{})
	const pause = 300 * time.Millisecond
	var first, second time.Time
	f := NewFollower(FollowOptions{
		Store: store, Table: "t", Clock: clock.System{}, Wait: func() time.Duration { return 0 }, Pause: pause,
		OnCurrent: func(time.Duration) {},
		OnChange: func(rows map[string]Row) {
			switch len(rows) {
			case 1:
				first = time.Now()
			case 2:
				second = time.Now()
				close(complete)
			}
		},
	})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	<-complete
	cancel()
	<-done
	if waited := second.Sub(first); waited >= pause {
		t.Errorf("the second page came %v after the first", waited)
	}
}

// silentStore does not answer calls that are made while it is down, not even afterwards.
type silentStore struct {
	scriptedStore
	downFrom, upFrom time.Time
	down             atomic.Int64 // calls made while it is down
}

func (s *silentStore) Feed(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
	if now := time.Now(); !now.Before(s.downFrom) && now.Before(s.upFrom) {
		s.down.Add(1)
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	clock.Sleep(ctx, wait)
	if now := time.Now(); !now.Before(s.downFrom) && now.Before(s.upFrom) {
		<-ctx.Done()
	}
	return Page{Timestamp: Timestamp{Version: after}}, ctx.Err()
}

// Guards against a copy that is confirmed as current only a second after the service has
// recovered, because a call from before has to time out and the next one waits for a change.
func TestFollowerIsCurrentSoonAfterAnOutage(t *testing.T) {
	const wait, outage = 500 * time.Millisecond, 3 * time.Second
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			down := time.Now().Add(2*time.Second + time.Duration(phase)*90*time.Millisecond)
			s := &silentStore{scriptedStore: scriptedStore{pages: []Page{{}}}, downFrom: down, upFrom: down.Add(outage)}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var current time.Time
			f := NewFollower(FollowOptions{
				Store: s, Table: "t", Clock: clock.System{}, Wait: func() time.Duration { return wait },
				OnChange: func(map[string]Row) {},
				OnCurrent: func(time.Duration) {
					if current = time.Now(); !current.Before(s.upFrom) {
						cancel()
					}
				},
			})
			f.Run(ctx)
			if late := current.Sub(s.upFrom); late < 0 || late > minResendAfter+maxFollowBackoff {
				t.Errorf("phase %d: the copy is current %v after the outage", phase, late)
			}
			if calls, most := s.down.Load(), int64(outage/minResendAfter)+2; calls > most {
				t.Errorf("phase %d: %d calls while the service was down, at most %d", phase, calls, most)
			}
		})
	}
}
