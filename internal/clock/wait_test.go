package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that continues after the end of its context or a wake-up, and
// against waiting for a duration that is not positive.
func TestWait(t *testing.T) {
	cases := []struct {
		name           string
		d, end, wakeAt time.Duration // end of the context and time of the wake-up, 0 for none
		took           time.Duration
		running        bool
	}{
		{"time", time.Second, 0, 0, time.Second, true},
		{"end", time.Minute, time.Second, 0, time.Second, false},
		{"wake", time.Minute, 0, time.Second, time.Second, true},
		{"due", -time.Second, 0, 0, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, wake := t.Context(), make(chan struct{}, 1)
				if tc.end > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.end)
					defer cancel()
				}
				if tc.wakeAt > 0 {
					time.AfterFunc(tc.wakeAt, func() { wake <- struct{}{} })
				}
				began := time.Now()
				running := Wait(ctx, tc.d, wake)
				if took := time.Since(began); took != tc.took || running != tc.running {
					t.Errorf("returned %v after %v, want %v after %v", running, took, tc.running, tc.took)
				}
			})
		})
	}
}

// Guards against a wait that reports an ended context as active.
func TestWaitAfterTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if Wait(ctx, 0, nil) || Sleep(ctx, time.Minute) {
		t.Error("an ended context is reported as active")
	}
}
