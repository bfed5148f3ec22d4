package cellnode

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// heldAdviser answers a call after a time.
type heldAdviser time.Duration

func (a heldAdviser) Advise(context.Context, *api.AdviceCall) (*api.AdviceAnswer, error) {
	time.Sleep(time.Duration(a))
	return &api.AdviceAnswer{}, nil
}

// Guards against a stopping node that ends while the owner sends it calls to the adviser, and
// against one that stays without any.
func TestStoppingNodeWaitsForCallsToTheAdviser(t *testing.T) {
	for _, tt := range []struct {
		name            string
		call            time.Duration // 0 for none
		limit           time.Duration
		atLeast, atMost time.Duration
	}{
		{"no call", 0, time.Minute, 0, 200 * time.Millisecond},
		{"a call", 300 * time.Millisecond, time.Minute, 300*time.Millisecond + advisingIdleTime, 3 * time.Second},
		{"until its time is over", 5 * time.Second, 400 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := &countingAdviser{Adviser: heldAdviser(tt.call), clock: clock.System{}}
			began := time.Now()
			if tt.call > 0 {
				go func() { _, _ = a.Advise(t.Context(), &api.AdviceCall{}) }()
				time.Sleep(50 * time.Millisecond)
			}
			a.waitIdle(t.Context(), a.clock.Boot()+tt.limit)
			if took := time.Since(began); took < tt.atLeast || took > tt.atMost {
				t.Errorf("waited %v, want %v to %v", took, tt.atLeast, tt.atMost)
			}
		})
	}
}
