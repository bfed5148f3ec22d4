package packing

import (
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/endivehill/endivehill/internal/work"
)

// suggestedWeight is the weight of the cost against the tight fit in the score of the core.
const suggestedWeight = 4

// Streams of a load.
const (
	wideStream = iota
	smallStream
)

// mixedLoad has wide tasks of one of the numbers of accelerators, and small ones that run for
// longer. The other terms of the score spread the tasks.
func mixedLoad(workers []work.Resources, widePerSecond, smallPerSecond float64, accelerators ...int) load {
	return load{
		workers: workers, spread: 2, length: time.Minute,
		streams: []stream{
			wideStream:  {perSecond: widePerSecond, tasks: 3, size: resources(62, 64, 0), accelerators: accelerators, run: 5600 * time.Millisecond, latestStart: 7700 * time.Millisecond},
			smallStream: {perSecond: smallPerSecond, tasks: 10, size: resources(11, 16, 1), run: 10 * time.Second, latestStart: 33 * time.Second},
		},
	}
}

// workersOfTwoSizes: small tasks fit on workers that the widest tasks cannot use.
func workersOfTwoSizes() load {
	workers := slices.Repeat([]work.Resources{resources(64, 128, 4)}, 20)
	workers = append(workers, slices.Repeat([]work.Resources{acceleratorWorker}, 14)...)
	return mixedLoad(workers, 0.55, 0.9, 2, 4, 8)
}

// wholeWorkersAfterAShift: tasks that need all accelerators of a worker arrive from one moment
// on, at a pool that has served only small ones.
func wholeWorkersAfterAShift() load {
	l := mixedLoad(slices.Repeat([]work.Resources{acceleratorWorker}, 24), 0.8, 0.8, 8)
	l.streams[wideStream].from, l.streams[wideStream].until = 30*time.Second, 45*time.Second
	return l
}

// acceleratorsOfTutoring is the accelerator pool of docs/design/hard-load.md (diagram and
// handwriting), with a burst of both queues.
func acceleratorsOfTutoring() load {
	l := load{
		workers: slices.Repeat([]work.Resources{acceleratorWorker}, 98), spread: 2, length: 30 * time.Second,
		streams: []stream{
			wideStream:  {perSecond: 4.47, tasks: 3, size: resources(62, 64, 0), accelerators: []int{2, 3, 4, 5, 6, 7, 8}, run: 5600 * time.Millisecond, latestStart: 7700 * time.Millisecond},
			smallStream: {perSecond: 5.05, tasks: 20, size: resources(11, 16, 1), run: 2400 * time.Millisecond, latestStart: 10200 * time.Millisecond},
		},
	}
	for _, st := range l.streams {
		st.from, st.until = 10*time.Second, 14*time.Second
		l.streams = append(l.streams, st)
	}
	return l
}

// acceleratorsOfPricing is the accelerator pool of docs/design/hard-load.md (stress and
// curve), at half as much again of its load.
func acceleratorsOfPricing() load {
	return load{
		workers: slices.Repeat([]work.Resources{resources(64, 256, 8)}, 98), spread: 2, length: 30 * time.Second,
		streams: []stream{
			wideStream:  {perSecond: 5.34, tasks: 3, size: resources(31, 64, 0), accelerators: []int{2, 3, 4, 5, 6, 7, 8}, run: 4800 * time.Millisecond, latestStart: 6760 * time.Millisecond},
			smallStream: {perSecond: 6.05, tasks: 13, size: resources(5.6, 16, 1), run: 3200 * time.Millisecond, latestStart: 12600 * time.Millisecond},
		},
	}
}

// comparison is the results of a load, by stream, by tight fit alone and by tight fit with the
// cost.
type comparison struct {
	tight, withCost []result
	waits           [][]float64 // by stream and seed: by how much the mean wait in seconds differs
}

// compare simulates a load with the seeds from 1 to count.
func compare(l load, count uint64) comparison {
	n := len(l.streams)
	c := comparison{make([]result, n), make([]result, n), make([][]float64, n)}
	for seed := uint64(1); seed <= count; seed++ {
		tight, withCost := simulate(l, 0, seed), simulate(l, suggestedWeight, seed)
		for i := range n {
			c.tight[i] = c.tight[i].plus(tight[i])
			c.withCost[i] = c.withCost[i].plus(withCost[i])
			c.waits[i] = append(c.waits[i], (withCost[i].meanWait() - tight[i].meanWait()).Seconds())
		}
	}
	return c
}

// Guards against a cost that does not help wide tasks, or helps them at the expense of small
// ones, where the other terms of the score spread the tasks.
func TestCostShortensTheWaitOfWideTasks(t *testing.T) {
	for _, tc := range []struct {
		name string
		load load
	}{
		{"workers of two sizes", workersOfTwoSizes()},
		{"whole workers after a shift", wholeWorkersAfterAShift()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := compare(tc.load, 500)
			c.log(t)
			mean, deviation := stat.MeanStdDev(c.waits[wideStream], nil)
			if noise := 2 * stat.StdErr(deviation, float64(len(c.waits[wideStream]))); mean+noise >= 0 {
				t.Errorf("the wait of wide tasks differs by %.3f s, no less than the noise of %.3f s", mean, noise)
			}
			if with, without := c.withCost[wideStream].inTime, c.tight[wideStream].inTime; with < without {
				t.Errorf("%d wide tasks start in time, by tight fit alone %d", with, without)
			}
			c.checkNoLoss(t, smallStream)
		})
	}
}

// Guards against a cost that does harm where tight fit alone leaves enough room for wide
// tasks.
func TestCostDoesNoHarmWhereTightFitSuffices(t *testing.T) {
	for _, tc := range []struct {
		name string
		load load
	}{
		{"tutoring with a burst", acceleratorsOfTutoring()},
		{"pricing", acceleratorsOfPricing()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := compare(tc.load, 20)
			c.log(t)
			for stream := range tc.load.streams {
				c.checkNoLoss(t, stream)
			}
		})
	}
}

// maxLoss is the part of the tasks of a stream by which fewer may start in time.
const maxLoss = 0.005

func (c *comparison) checkNoLoss(t *testing.T, stream int) {
	t.Helper()
	if with, without := c.withCost[stream].share(), c.tight[stream].share(); with < without-maxLoss {
		t.Errorf("stream %d: %.4f of the tasks start in time, by tight fit alone %.4f", stream, with, without)
	}
}

func (c *comparison) log(t *testing.T) {
	t.Helper()
	for i := range c.tight {
		tight, withCost := c.tight[i], c.withCost[i]
		t.Logf("stream %d: %d tasks, in time %.4f by tight fit alone, %.4f with the cost; mean wait %v, %v", i, tight.tasks,
			tight.share(), withCost.share(), tight.meanWait().Round(time.Millisecond), withCost.meanWait().Round(time.Millisecond))
	}
}
