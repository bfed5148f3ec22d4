package election

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pausableClock is the simulated clock of a bubble whose nodes can be paused together.
type pausableClock struct {
	bubbleClock
	paused *atomic.Int64 // nanoseconds
}

func (c pausableClock) Boot() time.Duration {
	return c.bubbleClock.Boot() + time.Duration(c.paused.Load())
}

func (c pausableClock) pause(d time.Duration) { c.paused.Add(int64(d)) }

// Guards against a weak node that claims the cell after a pause of the machine of all nodes,
// because it counts the pause as time in which the strong node had not claimed it.
func TestStrongNodeOwnsTheCellAfterAPause(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for phase := range 15 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			c := pausableClock{bubbleClock{time.Now()}, &atomic.Int64{}}
			e.clock = c
			e.startWithDelays("weak", 6, 192)
			e.startWithDelays("strong", 2, 800)
			e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
			time.Sleep(700 * time.Millisecond)
			first := e.owner()
			e.kill(first)
			time.Sleep(time.Duration(phase) * 10 * time.Millisecond)
			c.pause(pause)
			e.waitForNewOwner(3*time.Second, first)
			if now := e.owner(); !strings.HasPrefix(now, "strong") {
				t.Errorf("paused %d ms after the kill: %q owns the cell after %s", phase*10, now, first)
			}
		})
	}
}
