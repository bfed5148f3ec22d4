package election

import (
	"testing"
	"time"
)

// Guards against a peak that is lost at once or kept for ever, a counter that starts with a
// high value, and one that goes back.
func TestPeakRate(t *testing.T) {
	const start = 1000 * time.Hour
	var p PeakRate
	at := func(seconds int) time.Duration { return start + time.Duration(seconds)*time.Second }
	if got := p.Observe(1<<40, at(0)); got != 0 || p.Kbps(at(0)) != 0 {
		t.Errorf("first observation: %d kbit/s, peak %d", got, p.Kbps(at(0)))
	}
	if got := p.Observe(1<<40+125_000, at(1)); got != 1000 {
		t.Errorf("%d kbit/s, want 1000", got)
	}
	if got := p.Observe(1<<40+125_000+250_000, at(5)); got != 500 {
		t.Errorf("%d kbit/s, want 500", got)
	}
	if got := p.Observe(0, at(6)); got != 0 {
		t.Errorf("%d kbit/s of a counter that has gone back", got)
	}
	for _, tt := range []struct{ seconds, want int }{{6, 1000}, {500, 1000}, {700, 0}, {100_000, 0}} {
		if got := p.Kbps(at(tt.seconds)); got != tt.want {
			t.Errorf("peak %d after %d s, want %d", got, tt.seconds, tt.want)
		}
	}
}
