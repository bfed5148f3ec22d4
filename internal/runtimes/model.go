// Package runtimes learns run times from finished runs and predicts them. It groups the
// runs by queue, image and team; docs/design/run-times.md describes the model.
//
// The package has no I/O, clock or goroutines. Its callers pass the time since boot, and
// don't use a Model from several goroutines at once.
package runtimes

import (
	"math"
	"time"
)

// Bounds of the estimates and predictions.
const (
	MinModeled    = 50 * time.Millisecond // a shorter estimate is taken as it is and adds no sample
	minTimeFactor = 0.2                   // lowest prediction, as a factor of the estimate
	maxTimeFactor = 6.0                   // highest prediction, as a factor of the estimate
	maxRunTime    = 1000 * time.Hour      // longer estimates and run times are reduced to it
)

// Key identifies the work whose run times are predicted. An image or team that is not
// known is empty.
type Key struct {
	Queue, Image, Team string
}

// Model holds the learned run times.
type Model struct {
	groups  groups
	samples uint64
}

// New returns a model without samples.
func New() *Model { return &Model{groups: newGroups()} }

// Samples returns the number of samples that have been added to the model in this process.
func (m *Model) Samples() uint64 { return m.samples }

// Groups returns the number of groups.
func (m *Model) Groups() int { return len(m.groups.byID) }

// AddRun adds the run time of a done run.
func (m *Model) AddRun(now time.Duration, key Key, estimate, actual time.Duration) {
	m.add(now, kindRun, key, estimate, actual, 1)
}

// AddStep adds the run time of the longest task of a done step with the given number of
// tasks.
func (m *Model) AddStep(now time.Duration, key Key, estimate, longest time.Duration, tasks int) {
	m.add(now, kindStep, key, estimate, longest, tasks)
}

// Task predicts the run time of a task.
func (m *Model) Task(now time.Duration, key Key, estimate time.Duration) Prediction {
	p, _ := m.predict(now, levelsOf(kindRun, key), estimate, 1)
	return p
}

// Longest predicts the run time of the longest task of a step with the given number of
// tasks.
func (m *Model) Longest(now time.Duration, key Key, estimate time.Duration, tasks int) Prediction {
	p, _ := m.predict(now, levelsOf(kindStep, key), estimate, tasks)
	return p
}

func (m *Model) add(now time.Duration, kind kind, key Key, estimate, actual time.Duration, tasks int) {
	if estimate < MinModeled {
		return
	}
	levels := levelsOf(kind, key)
	prediction, learned := m.predict(now, levels, estimate, tasks)
	actualMs := max(1, milliseconds(min(actual, maxRunTime)))
	x := math.Log(milliseconds(min(estimate, maxRunTime)))
	y := math.Log(actualMs) - longestOffset(tasks)
	// From specific to general, so that a group never outlives its parent in the order of
	// use.
	for i := levels.count - 1; i >= 0; i-- {
		g := m.groups.touch(levels.ids[i], now)
		g.sums.add(x, y, decayAt(i))
		// While nothing is learned, the ratio shows the error of the estimates.
		if learned {
			g.histogram.add(actualMs / prediction.base())
		}
		m.groups.promote(g)
	}
	m.samples++
}

// predict returns the prediction, and whether it comes from samples of the most general
// group rather than from the estimate alone.
func (m *Model) predict(now time.Duration, levels levels, estimate time.Duration, tasks int) (p Prediction, learned bool) {
	estimateMs := milliseconds(min(max(estimate, 0), maxRunTime))
	p = Prediction{ms: estimateMs, spread: defaultSpread, shares: *priorShares}
	if estimate < MinModeled {
		return p, false
	}
	offset := longestOffset(tasks)
	l := estimateLine(-offset)
	for i := range levels.count {
		g := m.groups.byID[levels.ids[i]]
		if g == nil {
			continue
		}
		n := agedWeight(g.sums.n, minFitSamples, now-g.updatedAt)
		mixed := agedWeight(g.histogram.total, histogramFloor, now-g.updatedAt)
		switch {
		case i > 0:
			l = g.sums.refine(l, n)
			p.shares = g.histogram.mix(&p.shares, mixed, parentHistogram)
		case n >= minFitSamples:
			l, learned = g.sums.fit(n), true
			p.shares = g.histogram.mix(&p.shares, mixed, priorHistogram)
		}
	}
	predicted := math.Exp(l.at(math.Log(estimateMs)) + offset)
	p.ms = min(max(predicted, minTimeFactor*estimateMs), maxTimeFactor*estimateMs)
	p.spread = math.Sqrt(l.variance)
	return p, learned
}

// decayAt returns the decay of the groups at a level.
func decayAt(level int) float64 {
	if level == 0 {
		return rootDecay
	}
	return refinedDecay
}
