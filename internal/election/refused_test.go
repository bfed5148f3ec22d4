package election

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fiveNodes returns an election of five equal nodes with simulated time.
func fiveNodes(t *testing.T, idle bool) (e *election, owner string) {
	e = newElection(t)
	e.clock = bubbleClock{time.Now()}
	for n := range 5 {
		e.start(fmt.Sprint("n", n), 400)
	}
	for _, o := range e.owners {
		o.mu.Lock()
		o.idle = idle
		o.mu.Unlock()
	}
	e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	time.Sleep(500 * time.Millisecond)
	return e, e.owner()
}

// Guards against a live owner that is replaced, and replaces its successor in turn, because
// connections between it and one other node are refused.
func TestRefusedConnectionsOfOneNodeDoNotReplaceALiveOwner(t *testing.T) {
	for _, idle := range []bool{false, true} {
		for cut := range 4 {
			t.Run(fmt.Sprintf("idle owner %t, node %d", idle, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, first := fiveNodes(t, idle)
					epoch := e.owners[first].epoch()
					e.net.refuse(first, e.others(first)[cut])
					time.Sleep(5 * time.Second)
					e.waitFor(time.Second, "an owner", func() bool { return e.owner() != "" })
					if now := e.owner(); e.owners[now].epoch() != epoch {
						t.Errorf("%d claims in 5 s, by %s last", e.owners[now].epoch()-epoch, now)
					}
				})
			})
		}
	}
}

// Guards against a slow takeover after the process of the owner has ended, while connections
// between two of the other nodes are refused.
func TestTakeoverAfterAKillDespiteRefusedConnectionsBetweenOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, first := fiveNodes(t, false)
		others := e.others(first)
		e.net.refuse(others[0], others[1])
		e.kill(first)
		e.waitForNewOwner(1500*time.Millisecond, first)
	})
}
