package rows

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Guards against a copy that counts as current although the store has more changes than the
// answer: a key that was withdrawn in one of these would stay valid.
func TestFollowerIsNotCurrentWhileItIsBehind(t *testing.T) {
	store := &scriptedStore{
		pages: []Page{{Timestamp: Timestamp{Version: 1}}},
		feedAnswers: []feedAnswer{
			{page: Page{Rows: []Row{row("a", "1", 2)}, Truncated: true, Timestamp: Timestamp{Version: 2}}},
			{err: ErrUnavailable},
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	confirmed := 0
	NewFollower(FollowOptions{
		Store: store, Table: "t", Clock: clock.System{}, Wait: func() time.Duration { return 0 },
		OnChange: func(map[string]Row) {}, OnCurrent: func(time.Duration) { confirmed++ },
	}).Run(ctx)
	if confirmed != 1 {
		t.Errorf("the copy counted as current %d times, want once, after the first read", confirmed)
	}
}
