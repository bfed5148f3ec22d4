package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Links that are slow while each call is answered within longestRoundTrip.
const (
	longestRoundTrip = 1200 * time.Millisecond
	longestDelay     = longestRoundTrip/2 - networkDelay - simTick // one way; polls are answered at the next tick
)

// slowLink is a time in which the link of a worker is slow.
type slowLink struct {
	Worker   int
	Delay    time.Duration // the longest one way
	For, Gap time.Duration
}

func drawSlowLink(workers int) *rapid.Generator[slowLink] {
	return rapid.Custom(func(t *rapid.T) slowLink {
		return slowLink{
			Worker: rapid.IntRange(0, workers-1).Draw(t, "worker"),
			Delay:  time.Duration(rapid.Int64Range(1, longestDelay.Milliseconds()).Draw(t, "delay")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(1, 100).Draw(t, "for")) * 100 * time.Millisecond,
			Gap:    time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * 50 * time.Millisecond,
		}
	})
}

// Guards against runs that are lost or stopped because their worker answers late.
func TestSlowWorkerKeepsItsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := rapid.SliceOfN(drawSlowLink(workersWithFaults), 1, 12).Draw(t, "links")
		takeOver := rapid.IntRange(-1, len(links)-1).Draw(t, "takeover after")
		sim := newSimulation(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"))
		sim.addWorkers(workersWithFaults)
		sim.startOwner()
		sim.runFor(time.Second)
		for n, link := range links {
			sim.submitFor(n, 0)
			f := sim.workers[fmt.Sprintf("w%d", link.Worker)]
			f.slowLink = link.Delay
			sim.after(link.For, func() { f.slowLink = 0 })
			sim.runFor(link.Gap)
			if n == takeOver {
				sim.checkNothingLost()
				sim.takeOver()
			}
		}
		sim.runFor(20 * time.Second)
		sim.checkNothingLost()
	})
}

// checkNothingLost checks that the present owner has declared no run lost and stopped none.
func (sim *simulation) checkNothingLost() {
	sim.t.Helper()
	if n := sim.cell.stats.Lost.Total(); n > 0 {
		sim.t.Errorf("%d runs were lost: %v", n, sim.cell.stats.Lost)
	}
	if sim.stops > 0 {
		sim.t.Errorf("%d stops were sent", sim.stops)
	}
}
