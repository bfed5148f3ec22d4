package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// withTail returns a model of runs of which 3 in 100 take seven times as long, and some
// more such run times.
func withTail(seed uint64) (m *Model, key Key, runs []time.Duration) {
	m, key = New(), Key{"render", "", "films"}
	r := rand.New(rand.NewPCG(seed, 7))
	for i := range 3000 {
		actual := spreadRun(r, 2*second, 0.4)
		if r.IntN(100) < 3 {
			actual *= 7
		}
		if i < 2000 {
			m.AddRun(testNow, key, 3*second, actual)
		} else {
			runs = append(runs, actual)
		}
	}
	return m, key, runs
}

// Guards against quantiles and means that ignore the tail or are off in the body. The share
// of runs below a quantile is taken over several seeds, because a single prediction follows
// the last runs.
func TestQuantilesFollowTheRuns(t *testing.T) {
	const seeds = 20
	shares := []float64{0.1, 0.25, 0.5, 0.75, 0.9, 0.99}
	below, total := make([]float64, len(shares)), 0.0
	meanRatio := 0.0
	for seed := range uint64(seeds) {
		m, key, runs := withTail(seed)
		p := m.Task(testNow, key, 3*second)
		sum := time.Duration(0)
		for _, run := range runs {
			sum += run
			for i, share := range shares {
				if run <= p.Quantile(share) {
					below[i]++
				}
			}
		}
		total += float64(len(runs))
		meanRatio += float64(p.Mean()) * float64(len(runs)) / float64(sum) / seeds
		if p.Mean() <= p.Time() {
			t.Errorf("seed %d: mean %v, typical %v", seed, p.Mean(), p.Time())
		}
	}
	for i, share := range shares {
		if got := below[i] / total; math.Abs(got-share) > 0.03 {
			t.Errorf("%v of the runs are below the quantile %v", got, share)
		}
	}
	if math.Abs(meanRatio-1) > 0.05 {
		t.Errorf("predicted mean times are %v of the actual ones", meanRatio)
	}
}

// Guards against a run that is expected to end soon for as long as it runs: once it has
// passed the body of the distribution, it belongs to the tail.
func TestRemainingTimeGrowsBeyondTheBody(t *testing.T) {
	m, key, runs := withTail(2)
	p := m.Task(testNow, key, 3*second)
	atBodyEnd, beyond := p.Remaining(2*second), p.Remaining(5*second)
	if beyond < 2*atBodyEnd {
		t.Errorf("remaining %v after 2 s, %v after 5 s", atBodyEnd, beyond)
	}
	for _, elapsed := range []time.Duration{0, second, 2 * second, 5 * second} {
		sum, count := time.Duration(0), time.Duration(0)
		for _, run := range runs {
			if run > elapsed {
				sum += run - elapsed
				count++
			}
		}
		want, got := sum/count, p.Remaining(elapsed)
		if got < want*6/10 || got > want*14/10 {
			t.Errorf("after %v: remaining %v, want about %v (%d runs)", elapsed, got, want, count)
		}
	}
	if p.Remaining(20*second) <= 0 || p.Remaining(time.Hour) < 20*time.Minute {
		t.Errorf("remaining %v after 20 s, %v after an hour", p.Remaining(20*second), p.Remaining(time.Hour))
	}
}

// Guards against stragglers that are found too late, or ordinary runs that count as such.
func TestTailChanceTellsStragglers(t *testing.T) {
	m, key, _ := withTail(3)
	p := m.Task(testNow, key, 3*second)
	for _, tc := range []struct {
		elapsed         time.Duration
		lowest, highest float64
	}{{0, 0.01, 0.07}, {2 * second, 0.02, 0.15}, {5 * second, 0.5, 1}, {10 * second, 1, 1}} {
		if chance := p.TailChance(tc.elapsed); chance < tc.lowest || chance > tc.highest {
			t.Errorf("after %v: chance %v, want %v to %v", tc.elapsed, chance, tc.lowest, tc.highest)
		}
	}
	if tail := p.TailTime(); tail < 4*second || tail > 10*second {
		t.Errorf("the tail begins at %v", tail)
	}
}

// Guards against predictions that are not finite and positive, or beyond their bounds, for
// any samples and times.
func TestPredictionsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := New()
		now := time.Duration(0)
		part := rapid.SampledFrom([]string{"", "a", "b", "a|b"})
		key := rapid.Custom(func(rt *rapid.T) Key {
			return Key{part.Draw(rt, "queue"), part.Draw(rt, "image"), part.Draw(rt, "team")}
		})
		for range rapid.IntRange(0, 60).Draw(rt, "samples") {
			now += time.Duration(rapid.Int64Range(-int64(second), int64(time.Hour)).Draw(rt, "pause"))
			k, estimate, actual := key.Draw(rt, "key"), anyTime().Draw(rt, "estimate"), anyTime().Draw(rt, "actual")
			if rapid.Bool().Draw(rt, "step") {
				m.AddStep(now, k, estimate, actual, rapid.Int().Draw(rt, "tasks"))
			} else {
				m.AddRun(now, k, estimate, actual)
			}
		}
		if rapid.Bool().Draw(rt, "reload") {
			var dropped int
			if m, dropped = Load(m.Row(now, 1), now, 1); dropped > 0 {
				rt.Fatalf("%d valid groups dropped", dropped)
			}
		}
		k, estimate, elapsed := key.Draw(rt, "key"), anyTime().Draw(rt, "estimate"), anyTime().Draw(rt, "elapsed")
		checkPrediction(rt, m.Task(now, k, estimate), estimate, elapsed)
		checkPrediction(rt, m.Longest(now, k, estimate, rapid.Int().Draw(rt, "tasks")), estimate, elapsed)
	})
}

// anyTime draws usual, extreme and invalid times.
func anyTime() *rapid.Generator[time.Duration] {
	return rapid.OneOf(
		rapid.Map(rapid.Int64Range(0, int64(10*second)), func(ns int64) time.Duration { return time.Duration(ns) }),
		rapid.Map(rapid.Int64(), func(ns int64) time.Duration { return time.Duration(ns) }),
	)
}

// failer is the part of a test that checkPrediction needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkPrediction checks that all that a prediction tells is finite and within its bounds.
func checkPrediction(t failer, p Prediction, estimate, elapsed time.Duration) {
	t.Helper()
	estimate = min(max(estimate, 0), maxRunTime)
	if estimate < MinModeled {
		if p.Time() != estimate {
			t.Fatalf("estimate %v: predicted %v", estimate, p.Time())
		}
	} else if got := milliseconds(p.Time()) / milliseconds(estimate); !within(got, minTimeFactor-1e-6, maxTimeFactor+1e-6) {
		t.Fatalf("estimate %v: predicted %v", estimate, p.Time())
	}
	highest := ratioAt(lastBin) * math.Pow(minTailPart, -1/tailExponent)
	bound := durationOf(highest * p.base())
	for name, got := range map[string]time.Duration{
		"mean": p.Mean(), "median": p.Quantile(0.5), "quantile 0.99": p.Quantile(0.99), "quantile 1": p.Quantile(1), "tail": p.TailTime(),
	} {
		if got < 0 || got > bound || got == 0 && p.Time() >= MinModeled {
			t.Fatalf("%s of %v: %v", name, p.Time(), got)
		}
	}
	if p.Quantile(0.2) > p.Quantile(0.8) {
		t.Fatalf("quantiles 0.2 and 0.8: %v, %v", p.Quantile(0.2), p.Quantile(0.8))
	}
	rest := bound + 10*min(max(elapsed, 0), maxRunTime)
	if got := p.Remaining(elapsed); got < 0 || got > rest {
		t.Fatalf("remaining time of %v after %v: %v", p.Time(), elapsed, got)
	}
	if !within(p.TailChance(elapsed), 0, 1) || !within(p.Spread(), 0, 2*maxLog) {
		t.Fatalf("tail chance %v, spread %v", p.TailChance(elapsed), p.Spread())
	}
}

// Guards against a prediction or a sample that takes noticeable time of a pass.
func BenchmarkTask(b *testing.B) {
	m, key, _ := withTail(4)
	for b.Loop() {
		m.Task(testNow, key, 3*second)
	}
}

func BenchmarkAddRun(b *testing.B) {
	m, key, _ := withTail(4)
	for b.Loop() {
		m.AddRun(testNow, key, 3*second, 2*second)
	}
}

func BenchmarkRemaining(b *testing.B) {
	m, key, _ := withTail(4)
	p := m.Task(testNow, key, 3*second)
	for b.Loop() {
		p.Remaining(5 * second)
	}
}
