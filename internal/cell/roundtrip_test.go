package cell

import (
	"slices"
	"testing"
	"time"
)

// Guards against calls that are overdue too early after few or varying samples, or that
// leave the bounds.
func TestRoundTripTimeout(t *testing.T) {
	ms := func(samples ...time.Duration) []time.Duration {
		for i := range samples {
			samples[i] *= time.Millisecond
		}
		return samples
	}
	const shortest, longest = 150 * time.Millisecond, 1500 * time.Millisecond
	for _, test := range []struct {
		name     string
		samples  []time.Duration
		from, to time.Duration
	}{
		{"no sample", nil, shortest, shortest},
		{"a first sample counts with twice its time as deviation", ms(100), 300 * time.Millisecond, 300 * time.Millisecond},
		{"a first sample below the bound", ms(2), shortest, shortest},
		{"a first sample above the bound", ms(4000), longest, longest},
		{"a negative sample counts as zero", ms(-500), shortest, shortest},
		{"steady samples need no deviation", slices.Repeat(ms(200), 60), 200 * time.Millisecond, 202 * time.Millisecond},
		{"jitter is waited for", slices.Repeat(ms(50, 250), 60), 500 * time.Millisecond, 600 * time.Millisecond},
		{"one slow answer", append(slices.Repeat(ms(20), 60), ms(1000)...), 1000 * time.Millisecond, 1200 * time.Millisecond},
		{"slow samples", slices.Repeat(ms(1000), 60), 1000 * time.Millisecond, 1010 * time.Millisecond},
	} {
		var r roundTrip
		for _, sample := range test.samples {
			r.observe(sample)
		}
		if got := r.timeout(shortest, longest); got < test.from || got > test.to {
			t.Errorf("%s: the timeout is %v, want %v to %v", test.name, got, test.from, test.to)
		}
	}
}

// Guards against a worker that stays slow for the owner long after its answers are fast.
func TestRoundTripRecovers(t *testing.T) {
	const fast, mostSamples = 5 * time.Millisecond, 40
	for _, test := range []struct {
		slow     time.Duration
		samples  int
		shortest time.Duration
	}{
		{time.Second, 1, shortestPollTimeout},
		{time.Second, 60, shortestPollTimeout},
		{time.Second, 60, shortestRetryTimeout},
		{time.Second, 60, shortestCommandTimeout},
		{CallTimeLimit, 60, shortestCommandTimeout},
	} {
		var r roundTrip
		for range test.samples {
			r.observe(test.slow)
		}
		n := 0
		for r.timeout(test.shortest, CallTimeLimit) > test.shortest && n <= mostSamples {
			r.observe(fast)
			n++
		}
		t.Logf("%d samples of %v, then %d of %v until the timeout is %v", test.samples, test.slow, n, fast, test.shortest)
		if n > mostSamples {
			t.Errorf("the timeout is not back at %v after %d fast answers", test.shortest, mostSamples)
		}
	}
}
